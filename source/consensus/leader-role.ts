/**
 * Leader side of log replication: appends and commits entries, confirms leadership and transfers it. The leader steps down when
 * it has had no response from a quorum for two election timeouts, during the last of which it ran itself, or when a membership that excludes it is committed.
 */
import {createConfirmations} from './confirmation.js';
import {type Core} from './core.js';
import {type LogEntry, type Payload, type ReplicaMessage} from './message.js';
import {type Progress} from './progress.js';
import {getQuorumValue} from './quorum.js';
import {createReplication} from './replication.js';

type Appended = Extract<ReplicaMessage, {readonly kind: 'appended'}>;

/** Leader role of a replica. */
export type LeaderRole = {
	/** Becomes the leader of the current term. */
	start(): void;
	/** Ends the leadership and rejects the pending confirmation requests. */
	stop(): void;
	tick(): void;
	receiveAppended(from: string, message: Appended): void;
	propose(payload: Payload): void;
	/** Requests confirmation that this replica is still the leader at some time after the call. */
	confirm(token: number, isUrgent: boolean): void;
	transfer(to: string): void;
	/** Steps down, and requests the active voter with the longest log to start its election. */
	abdicate(): void;
	/** Commits the entries of the current term that are stored on a majority, for example after a local sync. */
	advanceCommit(): void;
	/** Gets the time of the next heartbeat in milliseconds. */
	getHeartbeatAt(): number;
	getProgress(member: string): Progress | undefined;
	isMembershipSettled(): boolean;
};

/** Options of a leader role. */
export type LeaderRoleOptions = {
	readonly core: Core;
	readonly electionMilliseconds: number;
	readonly heartbeatMilliseconds: number;
	/** Becomes a follower in a term whose leader is not known. */
	becomeFollower(term: number): void;
};

/**
 * Creates the leader role of a replica that is not the leader yet.
 * @param options - Shared state, timing and callbacks.
 */
export function createLeaderRole(options: LeaderRoleOptions): LeaderRole {
	const {core, electionMilliseconds, heartbeatMilliseconds} = options;
	const {log} = core;
	const confirmations = createConfirmations();
	const replication = createReplication({
		core, electionMilliseconds, heartbeatMilliseconds, getRound: confirmations.getRound,
	});
	let heartbeatAt = Number.POSITIVE_INFINITY;
	let termStartIndex = 0;
	let transferTarget: string | undefined;
	let transferDeadline = 0;

	function append(payload: Payload): void {
		const entry: LogEntry = {index: log.getLastIndex() + 1, term: core.term, payload};
		log.append(entry);
		core.addAction({kind: 'persistEntries', entries: [entry], truncateFrom: entry.index});
		if (payload.kind === 'membership') {
			core.membership = payload.membership;
			replication.addMembers();
		}
	}

	function broadcast(): void {
		heartbeatAt = core.now + heartbeatMilliseconds;
		replication.broadcast();
	}

	function getMatchIndex(voter: string): number {
		return replication.getProgress(voter)?.matchIndex ?? 0;
	}

	function advanceCommit(): void {
		const matchIndexes = core.membership.voters.map(voter => voter === core.id ? core.durableIndex : getMatchIndex(voter));
		const majorityIndex = getQuorumValue(matchIndexes);
		if (majorityIndex > core.commitIndex && log.getTerm(majorityIndex) === core.term) {
			core.advanceCommit(majorityIndex);
			resolveConfirmations();
			stepDownIfRemoved();
		}
	}

	function stepDownIfRemoved(): void {
		if (!core.isVoter() && log.getMembershipIndex() <= core.commitIndex) {
			broadcast();
			options.becomeFollower(core.term);
		}
	}

	function startRoundIfDue(): void {
		if (confirmations.isRoundDue()) {
			startRound();
		}
	}

	function startRound(): void {
		confirmations.startRound();
		broadcast();
		resolveConfirmations();
	}

	function resolveConfirmations(): void {
		if (core.commitIndex < termStartIndex) {
			return;
		}

		const rounds = core.membership.voters.map(voter => voter === core.id ? confirmations.getRound() : replication.getProgress(voter)?.round ?? 0);
		const confirmed = confirmations.takeConfirmed(getQuorumValue(rounds));
		for (const token of confirmed) {
			core.addAction({kind: 'confirmed', token, index: core.commitIndex});
		}

		if (confirmed.length > 0) {
			startRoundIfDue();
		}
	}

	/** Requests the target of a leadership transfer to start its election once it has the complete log. */
	function sendTimeoutNowIfCaughtUp(member: string, state: Progress): void {
		if (transferTarget === member && state.matchIndex === log.getLastIndex()) {
			core.send(member, {kind: 'timeoutNow', term: core.term}, false);
		}
	}

	function handleAppended(from: string, state: Progress, message: Appended): void {
		if (message.isSuccess) {
			replication.recordMatch(state, message.index);
			advanceCommit();
			sendTimeoutNowIfCaughtUp(from, state);
		} else {
			replication.recordMismatch(state, message.index);
		}

		const isReadyForMore = !message.isSuccess || state.matchIndex + 1 === state.nextIndex;
		if (state.nextIndex <= log.getLastIndex() && isReadyForMore) {
			replication.send(from);
		}
	}

	/** Checks whether this process has run for an election timeout; after it stood still, responses wait unread. */
	function hasListened(): boolean {
		return core.now - core.resumedAt >= electionMilliseconds;
	}

	function startHeartbeat(): void {
		replication.rewindUnacknowledged();
		if (confirmations.isRoundRequested()) {
			startRound();
		} else {
			broadcast();
		}
	}

	return {
		start() {
			core.changeRole('leader', core.id);
			replication.start();
			transferTarget = undefined;
			termStartIndex = log.getLastIndex() + 1;
			append({kind: 'noOperation'});
			broadcast();
		},
		stop() {
			for (const token of confirmations.takeAll()) {
				core.addAction({kind: 'unconfirmed', token});
			}

			heartbeatAt = Number.POSITIVE_INFINITY;
			transferTarget = undefined;
		},
		tick() {
			if (hasListened() && !core.hasQuorum(voter => voter === core.id || replication.isActive(voter))) {
				options.becomeFollower(core.term);
				return;
			}

			if (transferTarget !== undefined && core.now > transferDeadline) {
				transferTarget = undefined;
			}

			if (core.now >= heartbeatAt) {
				startHeartbeat();
			}
		},
		receiveAppended(from, message) {
			if (message.term > core.term) {
				options.becomeFollower(message.term);
				return;
			}

			if (core.role !== 'leader' || message.term !== core.term) {
				return;
			}

			const state = replication.recordResponse(from, message.round);
			if (state !== undefined) {
				resolveConfirmations();
				handleAppended(from, state, message);
			}
		},
		propose(payload) {
			if (core.role === 'leader' && transferTarget === undefined) {
				append(payload);
				replication.sendToRecentlyActive();
			}
		},
		confirm(token, isUrgent) {
			if (core.role !== 'leader' || transferTarget !== undefined) {
				core.addAction({kind: 'unconfirmed', token});
				return;
			}

			confirmations.request(token, isUrgent);
			startRoundIfDue();
		},
		transfer(to) {
			const state = replication.getProgress(to);
			if (core.role !== 'leader' || state === undefined || !core.membership.voters.includes(to)) {
				return;
			}

			transferTarget = to;
			transferDeadline = core.now + electionMilliseconds;
			replication.send(to);
			sendTimeoutNowIfCaughtUp(to, state);
		},
		abdicate() {
			const successors = core.membership.voters
				.filter(voter => voter !== core.id && replication.isActive(voter))
				.toSorted((one, other) => getMatchIndex(other) - getMatchIndex(one));
			if (successors.length > 0) {
				core.send(successors[0]!, {kind: 'timeoutNow', term: core.term}, false);
			}

			options.becomeFollower(core.term);
		},
		advanceCommit,
		getHeartbeatAt: () => heartbeatAt,
		getProgress: replication.getProgress,
		isMembershipSettled: () => core.commitIndex >= termStartIndex && log.getMembershipIndex() <= core.commitIndex,
	};
}
