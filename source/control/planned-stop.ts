/**
 * Decides whether a control host can stop without a loss of quorum, and which voter becomes the next leader. A planned stop
 * waits until the other voters form a quorum, so that the leases do not expire during a rolling restart. Hosts announce their
 * planned stops to each other; if several hosts are waiting to stop, the one with the lowest replica id stops first. A host counts
 * on another one only after that has answered its announcement: of two hosts that count on each other, the one that answers late
 * knows of the other's stop when it decides, and the other one knows its answer.
 */
import {maximumLearnerLagEntries, isQuorum} from '../consensus/index.js';
import {type Availability, type ReplicaStatus} from './message.js';

/** Cluster state on which a control host bases its decision to stop. */
export type StopConditions = {
	readonly self: string;
	/** Voters and learners, as reported by the leader. */
	readonly replicas: readonly ReplicaStatus[];
	readonly commitIndex: number;
	/** Latest availability that each of the other replicas announced. */
	readonly availabilities: ReadonlyMap<string, Availability>;
	/** Checks whether a replica has answered that it knows of this stop, or need not. */
	hasAnswered(replica: string): boolean;
	/** Time without a response after which a replica no longer counts towards the quorum, in milliseconds. */
	readonly maximumSilenceMilliseconds: number;
};

/**
 * Checks whether the other voters form a quorum without this replica. Also returns true if this replica is not a voter, or if
 * there are too few other voters to form a quorum, since waiting would not help.
 * @param conditions - Cluster state on which the decision is based.
 */
export function isSafeToStop(conditions: StopConditions): boolean {
	const voters = conditions.replicas.filter(({role}) => role !== 'learner');
	const others = voters.filter(({replica}) => replica !== conditions.self);
	if (others.length === voters.length || !isQuorum(others.length, voters.length)) {
		return true;
	}

	return isQuorum(others.filter(other => isAvailable(other, conditions)).length, voters.length);
}

function isAvailable(other: ReplicaStatus, conditions: StopConditions): boolean {
	const isCurrent = other.silentMilliseconds < conditions.maximumSilenceMilliseconds && other.matchIndex + maximumLearnerLagEntries >= conditions.commitIndex;
	return isCurrent && conditions.hasAnswered(other.replica) && !hasStopPriority(other.replica, conditions);
}

/** Checks whether another replica stops before this one, or is stopping already. */
function hasStopPriority(other: string, conditions: StopConditions): boolean {
	const availability = conditions.availabilities.get(other) ?? 'serving';
	switch (availability) {
		case 'serving': {
			return false;
		}

		case 'asking': {
			return other < conditions.self;
		}

		case 'stopping': {
			return true;
		}
	}
}

/** State of a voter that could become the next leader. */
export type SuccessorCandidate = {readonly replica: string; readonly matchIndex: number; readonly silentMilliseconds: number};

/**
 * Gets the replica id of the next leader: the responsive voter with the longest log.
 * @param voters - The other voters.
 * @param maximumSilenceMilliseconds - Time without a response after which a voter cannot become the leader, in milliseconds.
 */
export function getSuccessor(voters: readonly SuccessorCandidate[], maximumSilenceMilliseconds: number): string | undefined {
	return voters
		.filter(voter => voter.silentMilliseconds < maximumSilenceMilliseconds)
		.toSorted((left, right) => right.matchIndex - left.matchIndex)[0]?.replica;
}
