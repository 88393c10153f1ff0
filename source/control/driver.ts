/**
 * Drives a replica: passes events to it, applies committed commands to the state machine,
 * and persists in batches, so that one disk sync covers all commands queued meanwhile.
 */
import {performance} from 'node:perf_hooks';
import {Subject, type Observable} from 'rxjs';
import {
	createReplica, type Action, type Membership, type Payload, type Replica, type ReplicaEvent, type ReplicaMessage, type Role,
} from '../consensus/index.js';
import {type Random} from '../randomness/index.js';
import {isDiskFull, type PersistAction, type Store} from '../storage/index.js';
import {
	type Command, type CommandResult, type StateMachine, type StateMachineSnapshot,
} from './state-machine.js';

const proposalTimeoutMilliseconds = 5000;

/** Time between two attempts to write to a full disk. */
const fullDiskRetryMilliseconds = 200;

/** Growth of the log above which a compaction is worth its cost on a full disk, in bytes. */
const minimumFreeableBytes = 65_536;

const forcedCompactionIntervalMilliseconds = 1000;

/** Outcome of a proposed command. */
export type ProposalOutcome
	= | {readonly kind: 'applied'; readonly result: CommandResult}
		| {readonly kind: 'notLeader'}
	/** It is not known whether the command has been or will be applied. */
		| {readonly kind: 'unknown'};

/** Role, term and known leader of a replica after a change of its role. */
export type RoleChange = {readonly role: Role; readonly term: number; readonly leader: string | undefined};

/** Runs a replica on its storage and state machine. */
export type Driver = {
	readonly replica: Replica;
	readonly roleChanges: Observable<RoleChange>;
	readonly commandResults: Observable<CommandResult>;
	/** Emits the current term once this replica leads and has applied all entries committed in earlier terms. */
	readonly leadershipStarts: Observable<number>;
	receive(from: string, message: ReplicaMessage): void;
	propose(command: Command): Promise<ProposalOutcome>;
	proposeMembership(membership: Membership): void;
	/** Resolves to whether a quorum confirmed, after the call, that this replica leads. An urgent call starts a round at once; others wait for the next heartbeat. */
	confirm(isUrgent: boolean): Promise<boolean>;
	transfer(to: string): void;
	getSyncCount(): number;
	stop(): Promise<void>;
};

/** Options of `startDriver`. */
export type DriverOptions = {
	readonly id: string;
	readonly founders: Membership;
	readonly store: Store;
	readonly machine: StateMachine;
	readonly electionMilliseconds: number;
	readonly heartbeatMilliseconds: number;
	/** Number of committed entries since the last snapshot that triggers a new one. */
	readonly snapshotEvery: number;
	/** Growth of the log in bytes that triggers a snapshot regardless of the number of entries. */
	readonly snapshotBytes: number;
	readonly random: Random;
	send(to: string, message: ReplicaMessage): void;
	/** Called when the disk becomes full, and when it accepts writes again. */
	onWritabilityChange?(isWritable: boolean): void;
	/** Called when storage fails; the process must stop. */
	onFailure(error: Error): void;
};

type PendingProposal = {readonly term: number; readonly settle: (outcome: ProposalOutcome) => void; readonly timer: NodeJS.Timeout};
type QueuedAction = PersistAction | Extract<Action, {readonly kind: 'send'}>;

/**
 * Starts a driver from the stored state of a replica.
 * @param options - Replica, storage, state machine and transport.
 */
export function startDriver(options: DriverOptions): Driver {
	const {store, machine} = options;
	const {storedState} = store;
	if (storedState.snapshot !== undefined) {
		machine.restore(storedState.snapshot.data as StateMachineSnapshot);
	}

	const replica = createReplica({
		id: options.id,
		state: storedState.state,
		snapshot: storedState.snapshot,
		entries: storedState.entries,
		founders: options.founders,
		electionMilliseconds: options.electionMilliseconds,
		heartbeatMilliseconds: options.heartbeatMilliseconds,
		random: options.random,
		now: performance.now(),
	});
	const roleChanges = new Subject<RoleChange>();
	const commandResults = new Subject<CommandResult>();
	const leadershipStarts = new Subject<number>();
	const pendingProposals = new Map<number, PendingProposal>();
	const confirmations = new Map<number, (isConfirmed: boolean) => void>();
	let queuedActions: QueuedAction[] = [];
	let snapshotIndex = storedState.snapshot?.index ?? 0;
	let nextToken = 1;
	let syncCount = 0;
	let isWriting = false;
	let isCompacting = false;
	let isStopped = false;
	let isBlocked = false;
	let retryTimer: NodeJS.Timeout | undefined;
	let lastForcedCompactionAt = Number.NEGATIVE_INFINITY;
	let notifyIdle: (() => void) | undefined;
	let timer: NodeJS.Timeout | undefined;
	let nextTickAt = Number.POSITIVE_INFINITY;

	function handleEvent(event: ReplicaEvent): void {
		if (isStopped) {
			return;
		}

		for (const action of replica.handle(event, performance.now())) {
			runAction(action);
		}

		if (replica.getNextTickAt() < nextTickAt) {
			scheduleTick();
		}

		void flush();
	}

	/** Schedules the next tick; if its due time is postponed later, the timer runs one tick without effect. */
	function scheduleTick(): void {
		clearTimeout(timer);
		nextTickAt = replica.getNextTickAt();
		timer = setTimeout(() => {
			// After a long turn of the event loop, messages of peers may be pending. They are read before the tick checks for silent peers.
			setImmediate(tick);
		}, Math.max(0, nextTickAt - performance.now()));
	}

	function tick(): void {
		nextTickAt = Number.POSITIVE_INFINITY;
		handleEvent({kind: 'tick'});
	}

	function runAction(action: Action): void {
		switch (action.kind) {
			case 'persistState':
			case 'persistEntries':
			case 'persistSnapshot': {
				queuedActions.push(action);
				return;
			}

			case 'send': {
				if (action.isAfterSync) {
					queuedActions.push(action);
				} else {
					options.send(action.to, action.message);
				}

				return;
			}

			case 'restore': {
				machine.restore(action.snapshot.data as StateMachineSnapshot);
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
				roleChanges.next(action);
			}
		}
	}

	function apply(index: number, term: number, payload: Payload): void {
		const result = payload.kind === 'command' ? machine.apply(payload.command as Command, index) : undefined;
		const proposal = pendingProposals.get(index);
		if (proposal !== undefined) {
			pendingProposals.delete(index);
			clearTimeout(proposal.timer);
			proposal.settle(proposal.term === term && result !== undefined ? {kind: 'applied', result} : {kind: 'unknown'});
		}

		if (result !== undefined) {
			commandResults.next(result);
		}

		if (payload.kind === 'noOperation' && term === replica.getTerm() && replica.getRole() === 'leader') {
			leadershipStarts.next(term);
		}
	}

	function isCompactionDue(index: number): boolean {
		return index - snapshotIndex >= options.snapshotEvery || (index > snapshotIndex && store.getLogGrowthBytes() >= options.snapshotBytes);
	}

	async function compactIfDue(): Promise<void> {
		if (isCompactionDue(replica.getCommitIndex())) {
			await compact();
		}
	}

	/** Writes a snapshot next to the log, then discards the entries that it covers. */
	async function compact(): Promise<void> {
		const index = replica.getCommitIndex();
		const term = replica.getLog().getTerm(index);
		if (isCompacting || index <= snapshotIndex || term === undefined) {
			return;
		}

		isCompacting = true;
		const data = machine.takeSnapshot();
		try {
			await store.prepareSnapshot({
				index, term, membership: replica.getMembershipAt(index), data,
			});
			snapshotIndex = Math.max(snapshotIndex, index);
			handleEvent({kind: 'compact', index, data});
		} catch (error) {
			failUnlessFull(error);
		}

		isCompacting = false;
		notifyIdle?.();
	}

	/** Ends the driver after an error of the storage, except while the disk is full. */
	function failUnlessFull(error: unknown): void {
		if (!isDiskFull(error)) {
			isStopped = true;
			options.onFailure(error as Error);
		}
	}

	/** Keeps what a full disk refused and retries later; meanwhile another replica leads. Messages that depend on it count as lost. */
	function block(refusedBatch: readonly QueuedAction[]): void {
		queuedActions = [...refusedBatch, ...queuedActions].filter(action => action.kind !== 'send');
		if (isStopped) {
			return;
		}

		retryTimer = setTimeout(retry, fullDiskRetryMilliseconds);
		if (!isBlocked) {
			isBlocked = true;
			options.onWritabilityChange?.(false);
			handleEvent({kind: 'writability', isWritable: false});
		}

		const now = performance.now();
		if (store.getLogGrowthBytes() >= minimumFreeableBytes && now - lastForcedCompactionAt > forcedCompactionIntervalMilliseconds) {
			lastForcedCompactionAt = now;
			void compact();
		}
	}

	function retry(): void {
		retryTimer = undefined;
		void flush();
	}

	function unblock(): void {
		if (isBlocked) {
			isBlocked = false;
			options.onWritabilityChange?.(true);
			handleEvent({kind: 'writability', isWritable: true});
		}
	}

	async function flush(): Promise<void> {
		if (isWriting || retryTimer !== undefined) {
			return;
		}

		isWriting = true;
		try {
			while (queuedActions.length > 0 && retryTimer === undefined) {
				await writeBatch();
			}
		} catch (error) {
			failUnlessFull(error);
		}

		isWriting = false;
		notifyIdle?.();
	}

	async function writeBatch(): Promise<void> {
		const batch = queuedActions;
		queuedActions = [];
		const persists = batch.filter(action => action.kind !== 'send');
		const lastIndex = replica.getLog().getLastIndex();
		const lastTerm = replica.getLog().getLastTerm();
		if (persists.length > 0) {
			syncCount++;
			try {
				await store.persist(persists);
			} catch (error) {
				if (isDiskFull(error)) {
					block(batch);
					return;
				}

				throw error;
			}

			unblock();
		}

		for (const action of batch) {
			if (action.kind === 'send') {
				options.send(action.to, action.message);
			}
		}

		if (persists.length > 0) {
			handleEvent({kind: 'persisted', lastIndex, lastTerm});
			void compactIfDue();
		}
	}

	scheduleTick();
	return {
		replica,
		roleChanges,
		commandResults,
		leadershipStarts,
		receive(from, message) {
			handleEvent({kind: 'received', from, message});
		},
		async propose(command) {
			const previousLastIndex = replica.getLog().getLastIndex();
			const term = replica.getTerm();
			const outcome = new Promise<ProposalOutcome>(resolve => {
				const index = previousLastIndex + 1;
				const timer = setTimeout(() => {
					pendingProposals.delete(index);
					resolve({kind: 'unknown'});
				}, proposalTimeoutMilliseconds);
				pendingProposals.set(index, {term, settle: resolve, timer});
				handleEvent({kind: 'propose', payload: {kind: 'command', command}});
				if (replica.getLog().getLastIndex() === previousLastIndex) {
					pendingProposals.delete(index);
					clearTimeout(timer);
					resolve({kind: 'notLeader'});
				}
			});
			return outcome;
		},
		proposeMembership(membership) {
			handleEvent({kind: 'propose', payload: {kind: 'membership', membership}});
		},
		async confirm(isUrgent) {
			const token = nextToken++;
			return new Promise<boolean>(resolve => {
				confirmations.set(token, resolve);
				handleEvent({kind: 'confirm', token, isUrgent});
			});
		},
		transfer(to) {
			handleEvent({kind: 'transfer', to});
		},
		getSyncCount: () => syncCount,
		async stop() {
			clearTimeout(timer);
			clearTimeout(retryTimer);
			isStopped = true;
			queuedActions = [];
			while (isWriting || isCompacting) {
				await new Promise<void>(resolve => {
					notifyIdle = resolve;
				});
			}

			for (const proposal of pendingProposals.values()) {
				clearTimeout(proposal.timer);
				proposal.settle({kind: 'unknown'});
			}

			await store.close();
		},
	};
}
