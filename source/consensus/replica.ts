/**
 * One replica of the replicated log as a pure state machine: events, time and a
 * seeded random function go in, actions come out. The driver persists, syncs and
 * sends. Elections use pre-vote; a leader that hears from no quorum for an election
 * timeout steps down; confirmation rounds prove leadership for leases and reads.
 */
import {createConfirmations} from './confirmation.js';
import {createLog, type Log} from './log.js';
import {
	type Action, type HardState, type LogEntry, type Membership, type Payload, type ReplicaEvent, type ReplicaMessage, type Role, type Snapshot,
} from './message.js';
import {getQuorumValue, isQuorum} from './quorum.js';
import {createProgress, type Progress} from './progress.js';

const entriesPerAppend = 256;

/** Election timeouts that a first snapshot may take on its way; each further attempt may take twice as many. */
const installTimeouts = 10;
const largestInstallExponent = 8;

/** Options of a replica. */
export type ReplicaOptions = {
	readonly id: string;
	readonly state: HardState;
	readonly snapshot: Snapshot | undefined;
	readonly entries: readonly LogEntry[];
	/** Members in force before the first membership entry. */
	readonly founders: Membership;
	readonly electionMilliseconds: number;
	readonly heartbeatMilliseconds: number;
	/** Returns a number from 0 up to 1. */
	random(): number;
	readonly now: number;
};

/** One replica. */
export type Replica = {
	/** Takes an event at a time in milliseconds and returns what to do, in order. */
	handle(event: ReplicaEvent, now: number): readonly Action[];
	getRole(): Role;
	getTerm(): number;
	getLeader(): string | undefined;
	getCommitIndex(): number;
	getMembership(): Membership;
	/** Gets the membership that was in force at an index of the log. */
	getMembershipAt(index: number): Membership;
	getLog(): Log;
	/** Gets the index up to which a replica is known to hold the log, for leaders. */
	getMatchIndex(id: string): number;
	/** Gets the time of the last answer of a replica, for leaders. */
	getAnsweredAt(id: string): number | undefined;
	isMembershipSettled(): boolean;
	getTimeoutAt(): number;
};

/**
 * Creates a replica from its durable state.
 * @param options - Identity, durable state and timing.
 */
export function createReplica(options: ReplicaOptions): Replica {
	const {id, electionMilliseconds, heartbeatMilliseconds, random} = options;
	let {term, votedFor} = options.state;
	let {snapshot} = options;
	const log = createLog(snapshot?.index ?? 0, snapshot?.term ?? 0, options.entries);
	let membership = log.getMembership(snapshot?.membership ?? options.founders);
	let role: Role = 'follower';
	let leader: string | undefined;
	let commitIndex = snapshot?.index ?? 0;
	let durableIndex = log.getLastIndex();
	let {now} = options;
	let timeoutAt = now + getTimeout();
	let leaderHeardAt = Number.NEGATIVE_INFINITY;
	let answeredRound = 0;
	let answeredAt = Number.NEGATIVE_INFINITY;
	let heartbeatAt = Number.POSITIVE_INFINITY;
	let votes = new Set<string>();
	let progress = new Map<string, Progress>();
	let termStartIndex = 0;
	const confirmations = createConfirmations();
	let transferTo: string | undefined;
	let transferUntil = 0;
	let actions: Action[] = [];

	function getTimeout(): number {
		return electionMilliseconds * (1 + random());
	}

	function act(action: Action): void {
		actions.push(action);
	}

	function send(to: string, message: ReplicaMessage, isAfterSync: boolean): void {
		act({
			kind: 'send', to, message, isAfterSync,
		});
	}

	function getOthers(): readonly string[] {
		return [...membership.voters, ...membership.learners].filter(member => member !== id);
	}

	function isVoter(): boolean {
		return membership.voters.includes(id);
	}

	function hasQuorum(count: number): boolean {
		return isQuorum(count, membership.voters.length);
	}

	function countVoters(predicate: (voter: string) => boolean): number {
		return membership.voters.filter(voter => predicate(voter)).length;
	}

	function persistState(): void {
		act({kind: 'persistState', state: {term, votedFor}});
	}

	function changeRole(next: Role, nextLeader: string | undefined): void {
		const isChanged = role !== next || leader !== nextLeader;
		role = next;
		leader = nextLeader;
		if (isChanged) {
			act({
				kind: 'roleChanged', role, term, leader,
			});
		}
	}

	function becomeFollower(nextTerm: number, nextLeader: string | undefined): void {
		if (nextTerm > term) {
			term = nextTerm;
			votedFor = undefined;
			answeredRound = 0;
			answeredAt = Number.NEGATIVE_INFINITY;
			persistState();
		}

		if (role === 'leader') {
			rejectConfirmations();
			heartbeatAt = Number.POSITIVE_INFINITY;
			transferTo = undefined;
			timeoutAt = now + getTimeout();
		}

		changeRole('follower', nextLeader);
	}

	function rejectConfirmations(): void {
		for (const token of confirmations.reject()) {
			act({kind: 'unconfirmed', token});
		}
	}

	function startPreVote(): void {
		timeoutAt = now + getTimeout();
		if (!isVoter()) {
			return;
		}

		changeRole('preCandidate', undefined);
		votes = new Set([id]);
		requestVotes(true, false);
		if (hasQuorum(votes.size)) {
			startElection(false);
		}
	}

	function startElection(isTransfer: boolean): void {
		timeoutAt = now + getTimeout();
		term++;
		votedFor = id;
		persistState();
		changeRole('candidate', undefined);
		votes = new Set([id]);
		requestVotes(false, isTransfer);
		if (hasQuorum(votes.size)) {
			becomeLeader();
		}
	}

	function requestVotes(isPreVote: boolean, isTransfer: boolean): void {
		const message: ReplicaMessage = {
			kind: 'voteRequest',
			term: isPreVote ? term + 1 : term,
			isPreVote,
			isTransfer,
			lastIndex: log.getLastIndex(),
			lastTerm: log.getLastTerm(),
		};
		for (const voter of membership.voters) {
			if (voter !== id) {
				send(voter, message, !isPreVote);
			}
		}
	}

	function becomeLeader(): void {
		changeRole('leader', id);
		progress = new Map(getOthers().map(member => [member, createProgress(log.getLastIndex() + 1, now)]));
		transferTo = undefined;
		termStartIndex = log.getLastIndex() + 1;
		append({kind: 'noOperation'});
		broadcast();
	}

	function append(payload: Payload): void {
		const entry: LogEntry = {index: log.getLastIndex() + 1, term, payload};
		log.append(entry);
		act({kind: 'persistEntries', entries: [entry], truncateFrom: entry.index});
		if (payload.kind === 'membership') {
			adoptMembership(payload.membership);
		}
	}

	function adoptMembership(next: Membership): void {
		membership = next;
		if (role !== 'leader') {
			return;
		}

		for (const member of getOthers()) {
			if (!progress.has(member)) {
				progress.set(member, createProgress(log.getLastIndex(), now));
			}
		}
	}

	function broadcast(): void {
		heartbeatAt = now + heartbeatMilliseconds;
		for (const member of getOthers()) {
			if (needsSnapshot(member)) {
				sendHeartbeat(member);
			}

			sendAppend(member);
		}
	}

	/** Checks whether the log no longer holds what a member needs next. */
	function needsSnapshot(member: string): boolean {
		const state = progress.get(member);
		return state !== undefined && log.getTerm(state.nextIndex - 1) === undefined;
	}

	/** Tells a member that waits for a snapshot that its leader is alive; an append after index 0 suits any log. */
	function sendHeartbeat(member: string): void {
		send(member, {
			kind: 'append', term, previousIndex: 0, previousTerm: 0, entries: [], commitIndex, round: confirmations.getRound(),
		}, false);
	}

	function sendAppend(member: string): void {
		const state = progress.get(member);
		if (state === undefined) {
			return;
		}

		const previousIndex = state.nextIndex - 1;
		const previousTerm = log.getTerm(previousIndex);
		if (previousTerm === undefined) {
			sendSnapshot(member, state);
			return;
		}

		const entries = log.getRange(state.nextIndex, entriesPerAppend);
		state.nextIndex += entries.length;
		state.sentAt = now;
		send(member, {
			kind: 'append', term, previousIndex, previousTerm, entries, commitIndex, round: confirmations.getRound(),
		}, false);
	}

	/** Sends a snapshot to a member that answers, unless one is on its way. */
	function sendSnapshot(member: string, state: Progress): void {
		const isSilent = now - state.answeredAt >= electionMilliseconds * 2;
		if (isSilent) {
			// What was on its way may be lost.
			state.installAt = Number.NEGATIVE_INFINITY;
			return;
		}

		const patience = electionMilliseconds * installTimeouts * (2 ** Math.min(state.installs - 1, largestInstallExponent));
		if (snapshot === undefined || now - state.installAt < patience) {
			return;
		}

		state.installAt = now;
		state.installs++;
		send(member, {
			kind: 'install', term, snapshot, round: confirmations.getRound(),
		}, false);
	}

	function receiveVoteRequest(from: string, message: ReplicaMessage & {readonly kind: 'voteRequest'}): void {
		const isLeaderAlive = role === 'leader' || now - leaderHeardAt < electionMilliseconds;
		if (isLeaderAlive && !message.isTransfer) {
			if (message.isPreVote) {
				send(from, {
					kind: 'vote', term, isPreVote: true, isGranted: false,
				}, true);
			}

			return;
		}

		const isUpToDate = message.lastTerm > log.getLastTerm()
			|| (message.lastTerm === log.getLastTerm() && message.lastIndex >= log.getLastIndex());
		if (message.isPreVote) {
			const isGranted = isUpToDate && message.term > term;
			send(from, {
				kind: 'vote', term: isGranted ? message.term : term, isPreVote: true, isGranted,
			}, true);
			return;
		}

		if (message.term > term) {
			becomeFollower(message.term, undefined);
		}

		const isGranted = message.term === term && isUpToDate && (votedFor === undefined || votedFor === from);
		if (isGranted && votedFor === undefined) {
			votedFor = from;
			persistState();
		}

		if (isGranted) {
			timeoutAt = now + getTimeout();
		}

		send(from, {
			kind: 'vote', term, isPreVote: false, isGranted,
		}, true);
	}

	function receiveVote(from: string, message: ReplicaMessage & {readonly kind: 'vote'}): void {
		if (!message.isGranted) {
			if (message.term > term) {
				becomeFollower(message.term, undefined);
			}

			return;
		}

		const isAwaited = message.isPreVote
			? role === 'preCandidate' && message.term === term + 1
			: role === 'candidate' && message.term === term;
		if (!isAwaited) {
			return;
		}

		votes.add(from);
		if (!hasQuorum(countVoters(voter => votes.has(voter)))) {
			return;
		}

		if (message.isPreVote) {
			startElection(false);
		} else {
			becomeLeader();
		}
	}

	function followLeader(from: string, messageTerm: number): boolean {
		if (messageTerm < term) {
			return false;
		}

		becomeFollower(messageTerm, from);
		leaderHeardAt = now;
		timeoutAt = now + getTimeout();
		return true;
	}

	function answerAppend(to: string, isSuccess: boolean, index: number, messageRound: number): void {
		send(to, {
			kind: 'appended', term, isSuccess, index, round: messageRound,
		}, true);
	}

	/**
	 * Answers an append up to what is synced. That this replica follows the leader is
	 * true before any sync, so a slow disk delays commits and neither heartbeats nor leases.
	 */
	function answerMatch(to: string, matchIndex: number, messageRound: number): void {
		const syncedIndex = Math.min(matchIndex, durableIndex);
		const isAwaited = messageRound > answeredRound || matchIndex <= durableIndex || now - answeredAt >= heartbeatMilliseconds;
		if (isAwaited) {
			answeredRound = messageRound;
			answeredAt = now;
			send(to, {
				kind: 'appended', term, isSuccess: true, index: syncedIndex, round: messageRound,
			}, false);
		}

		if (matchIndex > syncedIndex) {
			answerAppend(to, true, matchIndex, messageRound);
		}
	}

	function receiveAppend(from: string, message: ReplicaMessage & {readonly kind: 'append'}): void {
		if (!followLeader(from, message.term)) {
			answerAppend(from, false, log.getLastIndex(), 0);
			return;
		}

		const {previousIndex, entries} = message;
		const lastNew = previousIndex + entries.length;
		const covered = log.getFirstIndex() - 1;
		if (previousIndex >= covered && log.getTerm(previousIndex) !== message.previousTerm) {
			answerAppend(from, false, Math.min(log.getLastIndex(), previousIndex - 1), message.round);
			return;
		}

		storeEntries(entries.filter(entry => entry.index > covered));
		advanceCommit(Math.min(message.commitIndex, Math.max(lastNew, covered)));
		answerMatch(from, Math.max(lastNew, covered), message.round);
	}

	function storeEntries(entries: readonly LogEntry[]): void {
		const firstNew = entries.findIndex(entry => log.getTerm(entry.index) !== entry.term);
		if (firstNew === -1) {
			return;
		}

		const added = entries.slice(firstNew);
		const truncateFrom = added[0]!.index;
		if (truncateFrom <= log.getLastIndex()) {
			log.truncate(truncateFrom);
			durableIndex = Math.min(durableIndex, truncateFrom - 1);
		}

		for (const entry of added) {
			log.append(entry);
		}

		membership = log.getMembership(snapshot?.membership ?? options.founders);
		act({kind: 'persistEntries', entries: added, truncateFrom});
	}

	function receiveInstall(from: string, message: ReplicaMessage & {readonly kind: 'install'}): void {
		if (!followLeader(from, message.term)) {
			answerAppend(from, false, log.getLastIndex(), 0);
			return;
		}

		const received = message.snapshot;
		if (received.index > commitIndex) {
			snapshot = received;
			if (log.getTerm(received.index) !== received.term) {
				// Of the old log only what was committed is known to match the snapshot.
				durableIndex = Math.min(durableIndex, commitIndex);
				log.truncate(log.getFirstIndex());
			}

			log.compact(received.index, received.term);
			membership = log.getMembership(received.membership);
			commitIndex = received.index;
			act({kind: 'persistSnapshot', snapshot: received});
			act({kind: 'restore', snapshot: received});
		}

		answerAppend(from, true, received.index, message.round);
	}

	function receiveAppended(from: string, message: ReplicaMessage & {readonly kind: 'appended'}): void {
		if (message.term > term) {
			becomeFollower(message.term, undefined);
			return;
		}

		const state = progress.get(from);
		if (role !== 'leader' || message.term !== term || state === undefined) {
			return;
		}

		state.answeredAt = now;
		state.round = Math.max(state.round, message.round);
		settleConfirmations();
		if (message.isSuccess) {
			state.matchIndex = Math.max(state.matchIndex, message.index);
			state.nextIndex = Math.max(state.nextIndex, state.matchIndex + 1);
			if (!needsSnapshot(from)) {
				state.installAt = Number.NEGATIVE_INFINITY;
				state.installs = 0;
			}

			advanceLeaderCommit();
			sendTransfer(from, state);
		} else {
			state.nextIndex = Math.max(state.matchIndex + 1, Math.min(state.nextIndex - 1, message.index + 1));
		}

		if (state.nextIndex <= log.getLastIndex() && (!message.isSuccess || state.matchIndex + 1 === state.nextIndex)) {
			sendAppend(from);
		}
	}

	function advanceLeaderCommit(): void {
		const matches = membership.voters.map(voter => voter === id ? durableIndex : progress.get(voter)?.matchIndex ?? 0);
		const majority = getQuorumValue(matches);
		if (majority > commitIndex && log.getTerm(majority) === term) {
			advanceCommit(majority);
			settleConfirmations();
			stepDownWhenRemoved();
		}
	}

	function stepDownWhenRemoved(): void {
		if (!isVoter() && log.getMembershipIndex() <= commitIndex) {
			broadcast();
			becomeFollower(term, undefined);
		}
	}

	function advanceCommit(index: number): void {
		const target = Math.min(index, log.getLastIndex());
		while (commitIndex < target) {
			commitIndex++;
			act({kind: 'commit', entry: log.getOrThrow(commitIndex)});
		}
	}

	function confirm(token: number, isUrgent: boolean): void {
		if (role !== 'leader' || transferTo !== undefined) {
			act({kind: 'unconfirmed', token});
			return;
		}

		confirmations.ask(token, isUrgent);
		startRoundWhenDue();
	}

	function startRoundWhenDue(): void {
		if (confirmations.isRoundDue()) {
			startRound();
		}
	}

	function startRound(): void {
		confirmations.startRound();
		broadcast();
		settleConfirmations();
	}

	function settleConfirmations(): void {
		if (commitIndex < termStartIndex) {
			return;
		}

		const answered = membership.voters.map(voter => voter === id ? confirmations.getRound() : progress.get(voter)?.round ?? 0);
		const settled = confirmations.settle(getQuorumValue(answered));
		for (const token of settled) {
			act({kind: 'confirmed', token, index: commitIndex});
		}

		if (settled.length > 0) {
			startRoundWhenDue();
		}
	}

	function sendTransfer(member: string, state: Progress): void {
		if (transferTo === member && state.matchIndex === log.getLastIndex()) {
			send(member, {kind: 'timeoutNow', term}, false);
		}
	}

	function transfer(to: string): void {
		const state = progress.get(to);
		if (role !== 'leader' || state === undefined || !membership.voters.includes(to)) {
			return;
		}

		transferTo = to;
		transferUntil = now + electionMilliseconds;
		sendAppend(to);
		sendTransfer(to, state);
	}

	function getMembershipAt(index: number): Membership {
		const earlier = log.getRange(log.getFirstIndex(), index - log.getFirstIndex() + 1).findLast(entry => entry.payload.kind === 'membership');
		return earlier?.payload.kind === 'membership' ? earlier.payload.membership : snapshot?.membership ?? options.founders;
	}

	function compact(index: number, data: unknown): void {
		const snapshotTerm = log.getTerm(index);
		if (index > commitIndex || index < log.getFirstIndex() || snapshotTerm === undefined) {
			return;
		}

		snapshot = {
			index, term: snapshotTerm, membership: getMembershipAt(index), data,
		};
		log.compact(index, snapshotTerm);
		act({kind: 'persistSnapshot', snapshot});
	}

	function tick(): void {
		if (role === 'leader') {
			tickLeader();
		} else if (now >= timeoutAt) {
			startPreVote();
		}
	}

	function tickLeader(): void {
		const answering = countVoters(voter => voter === id || now - (progress.get(voter)?.answeredAt ?? Number.NEGATIVE_INFINITY) < electionMilliseconds * 2);
		if (!hasQuorum(answering)) {
			becomeFollower(term, undefined);
			return;
		}

		if (transferTo !== undefined && now > transferUntil) {
			transferTo = undefined;
		}

		if (now >= heartbeatAt) {
			resendUnanswered();
			if (confirmations.isRoundWanted()) {
				startRound();
			} else {
				broadcast();
			}
		}
	}

	function resendUnanswered(): void {
		for (const state of progress.values()) {
			if (now - state.answeredAt > heartbeatMilliseconds * 2 || (state.matchIndex + 1 < state.nextIndex && now - state.sentAt >= heartbeatMilliseconds)) {
				state.nextIndex = state.matchIndex + 1;
			}
		}
	}

	function propose(payload: Payload): void {
		if (role !== 'leader' || transferTo !== undefined) {
			return;
		}

		append(payload);
		for (const member of getOthers()) {
			const state = progress.get(member);
			if (state !== undefined && now - state.answeredAt <= heartbeatMilliseconds * 2) {
				sendAppend(member);
			}
		}
	}

	function receive(from: string, message: ReplicaMessage): void {
		switch (message.kind) {
			case 'voteRequest': {
				receiveVoteRequest(from, message);
				return;
			}

			case 'vote': {
				receiveVote(from, message);
				return;
			}

			case 'append': {
				receiveAppend(from, message);
				return;
			}

			case 'appended': {
				receiveAppended(from, message);
				return;
			}

			case 'install': {
				receiveInstall(from, message);
				return;
			}

			case 'timeoutNow': {
				if (message.term === term && isVoter() && role === 'follower') {
					startElection(true);
				}
			}
		}
	}

	function persisted(lastIndex: number, lastTerm: number): void {
		if (log.getTerm(lastIndex) !== lastTerm) {
			return;
		}

		durableIndex = Math.max(durableIndex, lastIndex);
		if (role === 'leader') {
			advanceLeaderCommit();
		}
	}

	function dispatch(event: ReplicaEvent): void {
		switch (event.kind) {
			case 'tick': {
				tick();
				return;
			}

			case 'received': {
				receive(event.from, event.message);
				return;
			}

			case 'persisted': {
				persisted(event.lastIndex, event.lastTerm);
				return;
			}

			case 'propose': {
				propose(event.payload);
				return;
			}

			case 'confirm': {
				confirm(event.token, event.isUrgent);
				return;
			}

			case 'transfer': {
				transfer(event.to);
				return;
			}

			case 'compact': {
				compact(event.index, event.data);
			}
		}
	}

	return {
		handle(event, time) {
			now = Math.max(now, time);
			actions = [];
			dispatch(event);
			return actions;
		},
		getRole: () => role,
		getTerm: () => term,
		getLeader: () => leader,
		getCommitIndex: () => commitIndex,
		getMembership: () => membership,
		getMembershipAt,
		getLog: () => log,
		getMatchIndex: member => member === id ? durableIndex : progress.get(member)?.matchIndex ?? 0,
		getAnsweredAt: member => progress.get(member)?.answeredAt,
		isMembershipSettled: () => commitIndex >= termStartIndex && log.getMembershipIndex() <= commitIndex,
		getTimeoutAt: () => timeoutAt,
	};
}
