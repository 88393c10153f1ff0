/** Status of the replicas as the leader sees them, for operators and for planned stops. */
import {type Membership, type Replica} from '../consensus/index.js';
import {type ReplicaStatus} from './message.js';

/**
 * Silence that is reported, at least, for a replica that has not responded to this leader, in milliseconds. How long it has been
 * silent is not known; it may have been lost together with the previous leader, or have been the previous leader.
 */
const unheardSilenceMilliseconds = 60_000;

/**
 * Gets the time for which a replica has been silent, in milliseconds.
 * @param replica - Replica of the leader.
 * @param member - Replica to look up.
 * @param now - Time in milliseconds.
 */
export function getSilenceMilliseconds(replica: Replica, member: string, now: number): number {
	if (member === replica.getLeader()) {
		return 0;
	}

	const silence = now - (replica.getLastResponseAt(member) ?? 0);
	return replica.hasResponded(member) ? silence : Math.max(silence, unheardSilenceMilliseconds);
}

/**
 * Gets the members of the newest membership and, while that is not committed, also those of the committed one: a replica that is
 * being removed still counts if the leader is lost before the removal is committed.
 */
function getReportedMembership(replica: Replica): Membership {
	const newest = replica.getMembership();
	const committed = replica.getMembershipAt(replica.getCommitIndex());
	const known = new Set([...newest.voters, ...newest.learners]);
	return {
		voters: [...newest.voters, ...committed.voters.filter(voter => !known.has(voter))],
		learners: [...newest.learners, ...committed.learners.filter(learner => !known.has(learner))],
	};
}

/**
 * Gets the status of all replicas.
 * @param replica - Replica of the leader.
 * @param now - Time in milliseconds.
 */
export function getReplicaStatuses(replica: Replica, now: number): readonly ReplicaStatus[] {
	function getStatus(member: string, role: 'voter' | 'learner'): ReplicaStatus {
		return {
			replica: member,
			role: member === replica.getLeader() ? 'leader' : role,
			matchIndex: replica.getMatchIndex(member),
			silentMilliseconds: Math.round(getSilenceMilliseconds(replica, member, now)),
		};
	}

	const {voters, learners} = getReportedMembership(replica);
	return [...voters.map(voter => getStatus(voter, 'voter')), ...learners.map(learner => getStatus(learner, 'learner'))];
}
