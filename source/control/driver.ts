/**
 * Drives a replica: feeds it events, applies committed commands, and persists in
 * batches, so that one sync serves every command that waited for it.
 */
import {performance} from 'node:perf_hooks';
import {Subject, type Observable} from 'rxjs';
import {
	createReplica, type Action, type Membership, type Payload, type Replica, type ReplicaEvent, type ReplicaMessage, type Role,
} from '../consensus/index.js';
import {type Random} from '../randomness/index.js';
import {type PersistAction, type Store} from '../storage/index.js';
import {
	type Command, type CommandResult, type StateMachine, type StateMachineImage,
} from './state-machine.js';

const proposalTimeoutMilliseconds = 5000;

/** Outcome of a proposed command. */
export type ProposalOutcome
	= | {readonly kind: 'applied'; readonly answer: CommandResult}
		| {readonly kind: 'notLeader'}
	/** The command may or may not be applied later. */
		| {readonly kind: 'unknown'};

/** A change of role. */
export type RoleChange = {readonly role: Role; readonly term: number; readonly leader: string | undefined};

/** Driver of a replica. */
export type Driver = {
	readonly replica: Replica;
	readonly roleChanges: Observable<RoleChange>;
	readonly applied: Observable<CommandResult>;
	/** Emits the term in which this replica leads, once it has applied everything committed before. */
	readonly leadershipStarts: Observable<number>;
	receive(from: string, message: ReplicaMessage): void;
	propose(command: Command): Promise<ProposalOutcome>;
	proposeMembership(membership: Membership): void;
	/** Resolves to whether this replica led at some time after the call: at once when urgent, else with the next heartbeat. */
	confirm(isUrgent: boolean): Promise<boolean>;
	transfer(to: string): void;
	getSyncs(): number;
	stop(): Promise<void>;
};

/** Options of a driver. */
export type DriverOptions = {
	readonly id: string;
	readonly founders: Membership;
	readonly store: Store;
	readonly machine: StateMachine;
	readonly electionMilliseconds: number;
	readonly heartbeatMilliseconds: number;
	/** Committed entries after which a snapshot is taken. */
	readonly snapshotEvery: number;
	/** Bytes of the log after which a snapshot is taken, also of fewer entries. */
	readonly snapshotBytes: number;
	readonly random: Random;
	send(to: string, message: ReplicaMessage): void;
	/** Called once when storage fails; the process must stop. */
	failed(error: Error): void;
};

type Waiter = {readonly term: number; readonly settle: (outcome: ProposalOutcome) => void; readonly timer: NodeJS.Timeout};
type DelayedAction = PersistAction | Extract<Action, {readonly kind: 'send'}>;

/**
 * Starts a driver on a replica's stored state.
 * @param options - Replica, storage, state machine and transport.
 */
export function startDriver(options: DriverOptions): Driver {
	const {store, machine} = options;
	const {initial} = store;
	if (initial.snapshot !== undefined) {
		machine.restore(initial.snapshot.data as StateMachineImage);
	}

	const replica = createReplica({
		id: options.id,
		state: initial.state,
		snapshot: initial.snapshot,
		entries: initial.entries,
		founders: options.founders,
		electionMilliseconds: options.electionMilliseconds,
		heartbeatMilliseconds: options.heartbeatMilliseconds,
		random: options.random,
		now: performance.now(),
	});
	const roles = new Subject<RoleChange>();
	const applied = new Subject<CommandResult>();
	const leading = new Subject<number>();
	const waiters = new Map<number, Waiter>();
	const confirmations = new Map<number, (isConfirmed: boolean) => void>();
	let pending: DelayedAction[] = [];
	let snapshotIndex = initial.snapshot?.index ?? 0;
	let nextToken = 1;
	let syncs = 0;
	let isWriting = false;
	let isCompacting = false;
	let isStopped = false;
	let idle: (() => void) | undefined;
	let timer: NodeJS.Timeout | undefined;
	let wakeAt = Number.POSITIVE_INFINITY;

	function feed(event: ReplicaEvent): void {
		if (isStopped) {
			return;
		}

		for (const action of replica.handle(event, performance.now())) {
			run(action);
		}

		if (replica.getNextTickAt() < wakeAt) {
			sleep();
		}

		void flush();
	}

	/** Sleeps until a tick has something to do; a time that moves on meanwhile costs one tick in vain. */
	function sleep(): void {
		clearTimeout(timer);
		wakeAt = replica.getNextTickAt();
		timer = setTimeout(() => {
			// After a turn that took long, messages that have arrived are read before a peer counts as silent.
			setImmediate(tick);
		}, Math.max(0, wakeAt - performance.now()));
	}

	function tick(): void {
		wakeAt = Number.POSITIVE_INFINITY;
		feed({kind: 'tick'});
	}

	function run(action: Action): void {
		switch (action.kind) {
			case 'persistState':
			case 'persistEntries':
			case 'persistSnapshot': {
				pending.push(action);
				return;
			}

			case 'send': {
				if (action.isAfterSync) {
					pending.push(action);
				} else {
					options.send(action.to, action.message);
				}

				return;
			}

			case 'restore': {
				machine.restore(action.snapshot.data as StateMachineImage);
				snapshotIndex = action.snapshot.index;
				return;
			}

			case 'commit': {
				apply(action.entry.index, action.entry.term, action.entry.payload);
				return;
			}

			case 'confirmed':
			case 'unconfirmed': {
				confirmations.get(action.token)?.(action.kind === 'confirmed');
				confirmations.delete(action.token);
				return;
			}

			case 'roleChanged': {
				roles.next(action);
			}
		}
	}

	function apply(index: number, term: number, payload: Payload): void {
		const answer = payload.kind === 'command' ? machine.apply(payload.command as Command) : undefined;
		const waiter = waiters.get(index);
		if (waiter !== undefined) {
			waiters.delete(index);
			clearTimeout(waiter.timer);
			waiter.settle(waiter.term === term && answer !== undefined ? {kind: 'applied', answer} : {kind: 'unknown'});
		}

		if (answer !== undefined) {
			applied.next(answer);
		}

		if (payload.kind === 'noOperation' && term === replica.getTerm() && replica.getRole() === 'leader') {
			leading.next(term);
		}
	}

	/** Writes a snapshot beside the log, then lets it replace the log's head. */
	async function compactWhenDue(): Promise<void> {
		const index = replica.getCommitIndex();
		const term = replica.getLog().getTerm(index);
		const isDue = index - snapshotIndex >= options.snapshotEvery || (index > snapshotIndex && store.getGrownBytes() >= options.snapshotBytes);
		if (isCompacting || !isDue || term === undefined) {
			return;
		}

		isCompacting = true;
		const data = machine.getImage();
		try {
			await store.prepareSnapshot({
				index, term, membership: replica.getMembershipAt(index), data,
			});
			snapshotIndex = Math.max(snapshotIndex, index);
			feed({kind: 'compact', index, data});
		} catch (error) {
			isStopped = true;
			options.failed(error as Error);
		}

		isCompacting = false;
		idle?.();
	}

	async function flush(): Promise<void> {
		if (isWriting) {
			return;
		}

		isWriting = true;
		try {
			while (pending.length > 0) {
				await writeBatch();
			}
		} catch (error) {
			isStopped = true;
			options.failed(error as Error);
		}

		isWriting = false;
		idle?.();
	}

	async function writeBatch(): Promise<void> {
		const batch = pending;
		pending = [];
		const persists = batch.filter(action => action.kind !== 'send');
		const lastIndex = replica.getLog().getLastIndex();
		const lastTerm = replica.getLog().getLastTerm();
		if (persists.length > 0) {
			syncs++;
			await store.persist(persists);
		}

		for (const action of batch) {
			if (action.kind === 'send') {
				options.send(action.to, action.message);
			}
		}

		if (persists.length > 0) {
			feed({kind: 'persisted', lastIndex, lastTerm});
			void compactWhenDue();
		}
	}

	sleep();
	return {
		replica,
		roleChanges: roles,
		applied,
		leadershipStarts: leading,
		receive(from, message) {
			feed({kind: 'received', from, message});
		},
		async propose(command) {
			const before = replica.getLog().getLastIndex();
			const term = replica.getTerm();
			const outcome = new Promise<ProposalOutcome>(resolve => {
				const index = before + 1;
				const timer = setTimeout(() => {
					waiters.delete(index);
					resolve({kind: 'unknown'});
				}, proposalTimeoutMilliseconds);
				waiters.set(index, {term, settle: resolve, timer});
				feed({kind: 'propose', payload: {kind: 'command', command}});
				if (replica.getLog().getLastIndex() === before) {
					waiters.delete(index);
					clearTimeout(timer);
					resolve({kind: 'notLeader'});
				}
			});
			return outcome;
		},
		proposeMembership(membership) {
			feed({kind: 'propose', payload: {kind: 'membership', membership}});
		},
		async confirm(isUrgent) {
			const token = nextToken++;
			return new Promise<boolean>(resolve => {
				confirmations.set(token, resolve);
				feed({kind: 'confirm', token, isUrgent});
			});
		},
		transfer(to) {
			feed({kind: 'transfer', to});
		},
		getSyncs: () => syncs,
		async stop() {
			clearTimeout(timer);
			isStopped = true;
			pending = [];
			while (isWriting || isCompacting) {
				await new Promise<void>(resolve => {
					idle = resolve;
				});
			}

			for (const waiter of waiters.values()) {
				clearTimeout(waiter.timer);
				waiter.settle({kind: 'unknown'});
			}

			await store.close();
		},
	};
}
