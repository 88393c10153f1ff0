/**
 * Elections of a replica: pre-votes, votes and the election timeout. A replica that received a message from a leader within
 * the last election timeout grants no vote to another replica, unless that leader requested the election to transfer leadership.
 * Votes are sent after a sync, which may take longer than the election timeout: a replica whose own vote waits for the disk starts
 * no election, and the timeout allows for syncs on others that take as long. Otherwise each election would end the one before it.
 */
import {createAwaitedVotes} from './awaited-votes.js';
import {type Core} from './core.js';
import {type ReplicaMessage} from './message.js';

type VoteRequest = Extract<ReplicaMessage, {readonly kind: 'voteRequest'}>;
type Vote = Extract<ReplicaMessage, {readonly kind: 'vote'}>;

/**
 * Share of the election timeout within which a replica starts a pre-vote after a link has opened, or after it rejected one from a replica
 * with an older log. The delay is random within this share, so that two replicas rarely start at the same time.
 */
const shortenedTimeoutShare = 0.1;

/** Elections of one replica. */
export type Election = {
	/** Starts a pre-vote when the election timeout has elapsed. */
	tick(): void;
	/** Starts an election at once, because the leader transfers its leadership. */
	startTransferElection(): void;
	receiveVoteRequest(from: string, message: VoteRequest): void;
	receiveVote(from: string, message: Vote): void;
	/**
	 * Records that a link to another replica has opened. A replica that has heard no leader since its start asks for pre-votes soon, because
	 * all hosts may have been without power: the election then needs no more time than the links, and a leader that exists is not disturbed.
	 */
	recordConnection(): void;
	/** Records a message from the leader and resets the election timeout. */
	recordLeaderContact(): void;
	/** Extends the election timeout after the hard state was synced, by that time and the time that others may take for theirs. */
	recordSyncedState(syncMilliseconds: number): void;
	/** Restarts the election timeout in full. */
	resetTimeout(): void;
	/** Gets the time in milliseconds at which the election timeout elapses. */
	getTimeoutAt(): number;
};

/** Options of elections. */
export type ElectionOptions = {
	readonly core: Core;
	readonly electionMilliseconds: number;
	/** Returns a number from 0 up to 1. */
	random(): number;
	/** Called when this replica is elected leader. */
	becomeLeader(): void;
	/** Becomes a follower in a term whose leader is not known. */
	becomeFollower(term: number): void;
};

/**
 * Creates the elections of a replica.
 * @param options - Shared state, timing and callbacks.
 */
export function createElection(options: ElectionOptions): Election {
	const {core, electionMilliseconds} = options;
	const {log} = core;
	const awaitedVotes = createAwaitedVotes();
	// After a start no leader is known. The shorter timeout is safe, because a pre-vote does not disrupt an existing leader.
	let timeoutAt = core.now + getPreVoteTimeout();
	let leaderContactAt = Number.NEGATIVE_INFINITY;
	let votes = new Set<string>();

	function getElectionTimeout(): number {
		return electionMilliseconds * (1 + options.random());
	}

	/**
	 * Shortens the timeout after a link has opened, or after a pre-vote request from a replica with an older log, which has no leader
	 * either and cannot win. After a power loss of all hosts, the first ones to restart may lack entries that only hosts restarting later have.
	 */
	function shortenTimeout(): void {
		timeoutAt = Math.min(timeoutAt, core.now + (options.random() * electionMilliseconds * shortenedTimeoutShare));
	}

	/** Gets the time before a pre-vote without a quorum is retried. It is half the election timeout, because a pre-vote changes no state. */
	function getPreVoteTimeout(): number {
		return getElectionTimeout() / 2;
	}

	function resetTimeout(): void {
		timeoutAt = core.now + getElectionTimeout();
	}

	function hasMajority(): boolean {
		return core.hasQuorum(voter => votes.has(voter));
	}

	function startPreVote(): void {
		timeoutAt = core.now + getPreVoteTimeout();
		if (!core.isVoter()) {
			return;
		}

		core.changeRole('preCandidate', undefined);
		votes = new Set([core.id]);
		awaitedVotes.restart();
		requestVotes(true, false);
		if (hasMajority()) {
			startElection(false);
		}
	}

	function startElection(isTransfer: boolean): void {
		resetTimeout();
		awaitedVotes.startElection();
		core.voteForSelf();
		core.changeRole('candidate', undefined);
		votes = new Set([core.id]);
		requestVotes(false, isTransfer);
		if (hasMajority()) {
			options.becomeLeader();
		}
	}

	function requestVotes(isPreVote: boolean, isTransfer: boolean): void {
		const message: ReplicaMessage = {
			kind: 'voteRequest',
			term: isPreVote ? core.term + 1 : core.term,
			isPreVote,
			isTransfer,
			lastIndex: log.getLastIndex(),
			lastTerm: log.getLastTerm(),
		};
		for (const voter of core.membership.voters) {
			if (voter !== core.id) {
				core.send(voter, message, !isPreVote);
			}
		}
	}

	/** Sends a vote after the sync of the state that it depends on; a pre-vote changes no state. */
	function sendVote(to: string, term: number, isPreVote: boolean, isGranted: boolean): void {
		core.send(to, {
			kind: 'vote', term, isPreVote, isGranted,
		}, !isPreVote);
	}

	/** Decides a pre-vote. A candidate whose votes may be on their way grants it only to a replica with a newer log. */
	function isPreVoteGranted(message: VoteRequest): boolean {
		const order = log.compareEnd(message);
		const awaitsVotes = core.role === 'candidate' && (core.stateQueuedAt !== undefined || awaitedVotes.areDue(core.now));
		return message.term > core.term && (order > 0 || (order === 0 && !awaitsVotes));
	}

	function decideVote(from: string, message: VoteRequest): void {
		if (message.term > core.term) {
			options.becomeFollower(message.term);
		}

		const isVoteAvailable = core.votedFor === undefined || core.votedFor === from;
		const isGranted = message.term === core.term && log.compareEnd(message) >= 0 && isVoteAvailable;
		if (isGranted) {
			if (core.votedFor === undefined) {
				core.voteFor(from);
			}

			resetTimeout();
		}

		sendVote(from, core.term, false, isGranted);
	}

	return {
		tick() {
			if (core.now < timeoutAt) {
				return;
			}

			const patience = core.role === 'candidate' ? awaitedVotes.takePatience() : 0;
			if (patience > 0) {
				timeoutAt = core.now + (patience * electionMilliseconds);
			} else if (core.isWritable && core.stateQueuedAt === undefined) {
				startPreVote();
			} else {
				resetTimeout();
			}
		},
		startTransferElection() {
			if (core.isWritable) {
				startElection(true);
			}
		},
		receiveVoteRequest(from, message) {
			const isLeaderAlive = core.role === 'leader' || core.now - leaderContactAt < electionMilliseconds;
			if (isLeaderAlive && !message.isTransfer) {
				if (message.isPreVote) {
					sendVote(from, core.term, true, false);
				}

				return;
			}

			if (message.isPreVote) {
				const isGranted = isPreVoteGranted(message);
				sendVote(from, isGranted ? message.term : core.term, true, isGranted);
				if (log.compareEnd(message) < 0) {
					awaitedVotes.recordDenial(from);
					shortenTimeout();
				}

				return;
			}

			decideVote(from, message);
		},
		receiveVote(from, message) {
			awaitedVotes.recordAnswer(from, message, core.term);
			if (!message.isGranted) {
				if (message.term > core.term) {
					options.becomeFollower(message.term);
				} else if (!message.isPreVote && core.role === 'candidate' && message.term === core.term && awaitedVotes.recordDenial(from)) {
					timeoutAt = Math.min(timeoutAt, core.now + getElectionTimeout());
				}

				return;
			}

			const isExpected = message.isPreVote
				? core.role === 'preCandidate' && message.term === core.term + 1
				: core.role === 'candidate' && message.term === core.term;
			if (!isExpected) {
				return;
			}

			votes.add(from);
			if (!hasMajority()) {
				return;
			}

			if (message.isPreVote) {
				startElection(false);
			} else {
				awaitedVotes.resetPatience();
				options.becomeLeader();
			}
		},
		recordConnection() {
			if (leaderContactAt === Number.NEGATIVE_INFINITY && (core.role === 'follower' || core.role === 'preCandidate')) {
				shortenTimeout();
			}
		},
		recordLeaderContact() {
			leaderContactAt = core.now;
			awaitedVotes.resetPatience();
			resetTimeout();
		},
		recordSyncedState(syncMilliseconds) {
			timeoutAt += syncMilliseconds + awaitedVotes.recordSync(core.now, syncMilliseconds);
		},
		resetTimeout,
		getTimeoutAt: () => timeoutAt,
	};
}
