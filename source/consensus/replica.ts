/**
 * Raft replica as a deterministic state machine: its inputs are events, the time and a random function; its outputs are
 * actions, which the driver performs (persisting, syncing and sending). Elections use pre-vote, a leader without responses
 * from a quorum for two election timeouts steps down, and confirmation rounds prove leadership for leases and reads.
 */
import {createCore, type CoreOptions} from './core.js';
import {createElection, type Election} from './election.js';
import {createFollowerRole} from './follower-role.js';
import {createLeaderRole} from './leader-role.js';
import {type Log} from './log.js';
import {
	type Action, type Membership, type ReplicaEvent, type ReplicaMessage, type Role,
} from './message.js';

/** Options of a replica. */
export type ReplicaOptions = CoreOptions & {
	readonly heartbeatMilliseconds: number;
	/** Returns a number from 0 up to 1. */
	random(): number;
};

/** Raft replica. */
export type Replica = {
	/** Handles an event at a time in milliseconds and returns the actions to perform, in order. */
	handle(event: ReplicaEvent, now: number): readonly Action[];
	getRole(): Role;
	getTerm(): number;
	/** Gets the number of changes of the hard state since the start. */
	getStateVersion(): number;
	getLeader(): string | undefined;
	getCommitIndex(): number;
	getMembership(): Membership;
	/** Gets the membership in force at an index of the log. */
	getMembershipAt(index: number): Membership;
	getLog(): Log;
	/** Gets the index up to which the log of a replica is known to match. Valid on the leader only. */
	getMatchIndex(id: string): number;
	/** Gets the time of the last response of a replica; before the first one, the time at which the leader began to send. Valid on the leader only. */
	getLastResponseAt(id: string): number | undefined;
	/** Checks whether a replica has responded to this leader. Valid on the leader only. */
	hasResponded(id: string): boolean;
	/** Checks whether the newest membership and an entry of the current term are committed. Valid on the leader only. */
	isMembershipSettled(): boolean;
	/** Gets the time in milliseconds at which the next tick is due. */
	getNextTickAt(): number;
};

/**
 * Creates a replica from its durable state.
 * @param options - Identity, durable state and timing.
 */
export function createReplica(options: ReplicaOptions): Replica {
	const {electionMilliseconds, heartbeatMilliseconds, random} = options;
	const core = createCore(options);
	const {log} = core;
	const election: Election = createElection({
		core, electionMilliseconds, random, becomeLeader() {
			leaderRole.start();
		}, becomeFollower,
	});
	const leaderRole = createLeaderRole({
		core, electionMilliseconds, heartbeatMilliseconds, becomeFollower,
	});
	const followerRole = createFollowerRole({
		core, heartbeatMilliseconds, followLeader(leader, term) {
			becomeFollower(term, leader);
			election.recordLeaderContact();
		},
	});

	function becomeFollower(term: number, leader?: string): void {
		if (term > core.term) {
			core.adoptTerm(term);
			followerRole.reset();
		}

		if (core.role === 'leader') {
			leaderRole.stop();
			election.resetTimeout();
		}

		core.changeRole('follower', leader);
	}

	/** Gives up leadership, in favour of the voter with the longest log, or the attempt to win an election. */
	function stepDown(): void {
		if (core.role === 'leader') {
			leaderRole.abdicate();
		} else if (core.role !== 'follower') {
			becomeFollower(core.term);
		}
	}

	/** Replaces the log up to an index with a snapshot of the state machine. */
	function compact(index: number, data: unknown): void {
		const term = log.getTerm(index);
		if (index > core.commitIndex || index < log.getFirstIndex() || term === undefined) {
			return;
		}

		core.snapshot = {
			index, term, membership: core.getMembershipAt(index), data,
		};
		log.compact(index, term);
		core.addAction({kind: 'persistSnapshot', snapshot: core.snapshot});
	}

	function receive(from: string, message: ReplicaMessage): void {
		switch (message.kind) {
			case 'voteRequest': {
				election.receiveVoteRequest(from, message);
				return;
			}

			case 'vote': {
				election.receiveVote(from, message);
				return;
			}

			case 'append': {
				followerRole.receiveAppend(from, message);
				return;
			}

			case 'appended': {
				leaderRole.receiveAppended(from, message);
				return;
			}

			case 'install': {
				followerRole.receiveInstall(from, message);
				return;
			}

			case 'timeoutNow': {
				if (message.term === core.term && core.isVoter() && core.role === 'follower') {
					election.startTransferElection();
				}
			}
		}
	}

	function handleSyncedState(stateVersion: number): void {
		if (core.stateQueuedAt === undefined || stateVersion !== core.stateVersion) {
			return;
		}

		const syncMilliseconds = core.now - core.stateQueuedAt;
		core.stateQueuedAt = undefined;
		election.recordSyncedState(syncMilliseconds);
	}

	function handlePersisted(lastIndex: number, lastTerm: number): void {
		if (log.getTerm(lastIndex) !== lastTerm) {
			return;
		}

		core.durableIndex = Math.max(core.durableIndex, lastIndex);
		if (core.role === 'leader') {
			leaderRole.advanceCommit();
		}
	}

	function dispatch(event: ReplicaEvent): void {
		switch (event.kind) {
			case 'tick': {
				const role = core.role === 'leader' ? leaderRole : election;
				role.tick();
				return;
			}

			case 'received': {
				receive(event.from, event.message);
				return;
			}

			case 'persisted': {
				handleSyncedState(event.stateVersion ?? core.stateVersion);
				handlePersisted(event.lastIndex, event.lastTerm);
				return;
			}

			case 'propose': {
				leaderRole.propose(event.payload);
				return;
			}

			case 'confirm': {
				leaderRole.confirm(event.token, event.isUrgent);
				return;
			}

			case 'transfer': {
				leaderRole.transfer(event.to);
				return;
			}

			case 'connected': {
				election.recordConnection();
				return;
			}

			case 'writability': {
				core.isWritable = event.isWritable;
				if (!event.isWritable) {
					stepDown();
				}

				return;
			}

			case 'compact': {
				compact(event.index, event.data);
			}
		}
	}

	return {
		handle(event, time) {
			core.beginEvent(time);
			dispatch(event);
			return core.getActions();
		},
		getRole: () => core.role,
		getTerm: () => core.term,
		getStateVersion: () => core.stateVersion,
		getLeader: () => core.leader,
		getCommitIndex: () => core.commitIndex,
		getMembership: () => core.membership,
		getMembershipAt: core.getMembershipAt,
		getLog: () => log,
		getMatchIndex: member => member === core.id ? core.durableIndex : leaderRole.getProgress(member)?.matchIndex ?? 0,
		getLastResponseAt: member => leaderRole.getProgress(member)?.lastResponseAt,
		hasResponded: member => leaderRole.getProgress(member)?.hasResponded ?? false,
		isMembershipSettled: leaderRole.isMembershipSettled,
		getNextTickAt: () => core.role === 'leader' ? leaderRole.getHeartbeatAt() : election.getTimeoutAt(),
	};
}
