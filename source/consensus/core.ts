/** State shared by the components of a replica: durable state, role, log and the actions that result from the current event. */
import {createLog, type Log} from './log.js';
import {
	type Action, type HardState, type LogEntry, type Membership, type ReplicaMessage, type Role, type Snapshot,
} from './message.js';
import {isQuorum} from './quorum.js';

/** Durable state and identity of a replica. */
export type CoreOptions = {
	readonly id: string;
	readonly state: HardState;
	readonly snapshot: Snapshot | undefined;
	readonly entries: readonly LogEntry[];
	/** Membership in force before the first membership entry. */
	readonly founders: Membership;
	readonly electionMilliseconds: number;
	/** Time at the start in milliseconds. */
	readonly now: number;
};

/** Shared state of a replica. */
export type Core = {
	readonly id: string;
	readonly log: Log;
	term: number;
	votedFor: string | undefined;
	role: Role;
	leader: string | undefined;
	commitIndex: number;
	/** Whether durable state can be written. A replica that cannot write neither leads nor stands for election. */
	isWritable: boolean;
	/** Index up to which the log of this replica is synced. */
	durableIndex: number;
	/** Number of changes of the hard state. */
	stateVersion: number;
	/** Time since which the hard state has waited to be synced, in milliseconds; undefined if it is synced. */
	stateQueuedAt: number | undefined;
	snapshot: Snapshot | undefined;
	membership: Membership;
	/** Time of the current event in milliseconds. */
	now: number;
	/** Time of the last event that came more than an election timeout after the one before, in milliseconds. */
	resumedAt: number;
	addAction(action: Action): void;
	send(to: string, message: ReplicaMessage, isAfterSync: boolean): void;
	/** Sets the time of a new event and discards the actions of the previous one. */
	beginEvent(now: number): void;
	getActions(): readonly Action[];
	/** Enters a term without voting in it. */
	adoptTerm(term: number): void;
	/** Enters the next term and votes for this replica. */
	voteForSelf(): void;
	voteFor(candidate: string): void;
	changeRole(role: Role, leader: string | undefined): void;
	advanceCommit(index: number): void;
	/** Reloads the membership from the log or the snapshot. */
	refreshMembership(): void;
	/** Gets the membership in force at an index of the log. */
	getMembershipAt(index: number): Membership;
	isVoter(): boolean;
	/** Gets all other voters and learners. */
	getOthers(): readonly string[];
	/** Checks whether the voters that satisfy a predicate are a majority. */
	hasQuorum(predicate: (voter: string) => boolean): boolean;
};

/**
 * Creates the shared state of a follower.
 * @param options - Durable state and identity.
 */
export function createCore(options: CoreOptions): Core {
	const {id, founders, snapshot} = options;
	const log = createLog(snapshot?.index ?? 0, snapshot?.term ?? 0, options.entries);
	let actions: Action[] = [];

	function persistState(): void {
		core.stateVersion++;
		core.stateQueuedAt ??= core.now;
		core.addAction({kind: 'persistState', state: {term: core.term, votedFor: core.votedFor}});
	}

	function getBaseMembership(): Membership {
		return core.snapshot?.membership ?? founders;
	}

	const core: Core = {
		id,
		log,
		term: options.state.term,
		votedFor: options.state.votedFor,
		role: 'follower',
		leader: undefined,
		commitIndex: snapshot?.index ?? 0,
		isWritable: true,
		durableIndex: log.getLastIndex(),
		stateVersion: 0,
		stateQueuedAt: undefined,
		snapshot,
		membership: log.getMembership(snapshot?.membership ?? founders),
		now: options.now,
		resumedAt: Number.NEGATIVE_INFINITY,
		addAction(action) {
			actions.push(action);
		},
		send(to, message, isAfterSync) {
			actions.push({
				kind: 'send', to, message, isAfterSync,
			});
		},
		beginEvent(now) {
			if (now - core.now > options.electionMilliseconds) {
				core.resumedAt = now;
			}

			core.now = Math.max(core.now, now);
			actions = [];
		},
		getActions: () => actions,
		adoptTerm(term) {
			core.term = term;
			core.votedFor = undefined;
			persistState();
		},
		voteForSelf() {
			core.term++;
			core.votedFor = id;
			persistState();
		},
		voteFor(candidate) {
			core.votedFor = candidate;
			persistState();
		},
		changeRole(role, leader) {
			const isChanged = core.role !== role || core.leader !== leader;
			core.role = role;
			core.leader = leader;
			if (isChanged) {
				core.addAction({
					kind: 'roleChanged', role, term: core.term, leader,
				});
			}
		},
		advanceCommit(index) {
			const target = Math.min(index, log.getLastIndex());
			while (core.commitIndex < target) {
				core.commitIndex++;
				core.addAction({kind: 'commit', entry: log.getOrThrow(core.commitIndex)});
			}
		},
		refreshMembership() {
			core.membership = log.getMembership(getBaseMembership());
		},
		getMembershipAt(index) {
			const first = log.getFirstIndex();
			const earlier = log.getRange(first, index - first + 1).findLast(entry => entry.payload.kind === 'membership');
			return earlier?.payload.kind === 'membership' ? earlier.payload.membership : getBaseMembership();
		},
		isVoter: () => core.membership.voters.includes(id),
		getOthers: () => [...core.membership.voters, ...core.membership.learners].filter(member => member !== id),
		hasQuorum(predicate) {
			const {voters} = core.membership;
			return isQuorum(voters.filter(voter => predicate(voter)).length, voters.length);
		},
	};
	return core;
}
