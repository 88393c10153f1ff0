/** Drives a replica: passes events to it, carries out its actions, and applies committed commands to the state machine. */
import {performance} from 'node:perf_hooks';
import {Subject, type Observable} from 'rxjs';
import {
	createReplica, type Action, type Membership, type Payload, type Replica, type ReplicaEvent, type ReplicaMessage, type Role,
} from '../consensus/index.js';
import {type Random} from '../randomness/index.js';
import {isDiskFull, type Store} from '../storage/index.js';
import {createBatchWriter} from './batch-writer.js';
import {createCompaction} from './compaction.js';
import {createDriverState, waitUntilIdle} from './driver-state.js';
import {createProposals, type ProposalOutcome} from './proposals.js';
import {
	type Command, type CommandResult, type StateMachine, type StateMachineSnapshot,
} from './state-machine.js';
import {createTickTimer} from './tick-timer.js';

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
	/** Records that a link to another replica has opened. */
	recordConnection(): void;
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
	/** State machine that was restored from the snapshot of the store. */
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
	/** Called when storage fails, or the replica half way through an event; the process must stop and start again from what is stored. */
	onFailure(error: Error): void;
};

/**
 * Starts a driver from the stored state of a replica.
 * @param options - Replica, storage, state machine and transport.
 */
export function startDriver(options: DriverOptions): Driver {
	const {store, machine} = options;
	const state = createDriverState();
	const {storedState} = store;
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
	const proposals = createProposals();
	const confirmations = new Map<number, (isConfirmed: boolean) => void>();
	const tickTimer = createTickTimer(replica, () => {
		handleEvent({kind: 'tick'});
	});
	const compaction = createCompaction({
		state,
		replica,
		machine,
		store,
		snapshotEvery: options.snapshotEvery,
		snapshotBytes: options.snapshotBytes,
		onSnapshot(index, data) {
			handleEvent({kind: 'compact', index, data});
		},
		onError: failUnlessFull,
	});
	const writer = createBatchWriter({
		state,
		replica,
		store,
		send: options.send,
		onPersist(synced) {
			handleEvent({kind: 'persisted', ...synced});
			void compaction.compactIfDue();
		},
		onWritabilityChange(isWritable) {
			options.onWritabilityChange?.(isWritable);
			handleEvent({kind: 'writability', isWritable});
		},
		onRefusal: compaction.freeSpace,
		onError: failUnlessFull,
	});
	let nextToken = 1;

	function handleEvent(event: ReplicaEvent): void {
		if (state.isStopped) {
			return;
		}

		try {
			for (const action of replica.handle(event, performance.now())) {
				runAction(action);
			}
		} catch (error) {
			// The replica and the state machine may have handled only a part of it. Nothing of it is stored, since nothing is flushed.
			fail(error);
			return;
		}

		tickTimer.update();
		void writer.flush();
	}

	function runAction(action: Action): void {
		switch (action.kind) {
			case 'persistState':
			case 'persistEntries':
			case 'persistSnapshot': {
				writer.add(action);
				return;
			}

			case 'send': {
				if (action.isAfterSync) {
					writer.add(action);
				} else {
					options.send(action.to, action.message);
				}

				return;
			}

			case 'restore': {
				machine.restore(action.snapshot.data as StateMachineSnapshot);
				compaction.recordRestore(action.snapshot.index);
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

	function rejectConfirmations(): void {
		for (const settle of confirmations.values()) {
			settle(false);
		}

		confirmations.clear();
	}

	function apply(index: number, term: number, payload: Payload): void {
		const result = payload.kind === 'command' ? machine.apply(payload.command as Command, index) : undefined;
		proposals.settle({index, term}, result);
		if (result !== undefined) {
			commandResults.next(result);
		}

		if (payload.kind === 'noOperation' && term === replica.getTerm() && replica.getRole() === 'leader') {
			leadershipStarts.next(term);
		}
	}

	/** Ends the driver after an error of the storage, except while the disk is full. */
	function failUnlessFull(error: unknown): void {
		if (!isDiskFull(error)) {
			fail(error);
		}
	}

	function fail(error: unknown): void {
		state.isStopped = true;
		options.onFailure(error as Error);
	}

	tickTimer.update();
	return {
		replica,
		roleChanges,
		commandResults,
		leadershipStarts,
		receive(from, message) {
			handleEvent({kind: 'received', from, message});
		},
		recordConnection() {
			handleEvent({kind: 'connected'});
		},
		async propose(command) {
			const previousLastIndex = replica.getLog().getLastIndex();
			const place = {index: previousLastIndex + 1, term: replica.getTerm()};
			return new Promise<ProposalOutcome>(resolve => {
				proposals.add(place, resolve);
				handleEvent({kind: 'propose', payload: {kind: 'command', command}});
				if (replica.getLog().getLastIndex() === previousLastIndex) {
					proposals.reject(place.index);
				}
			});
		},
		proposeMembership(membership) {
			handleEvent({kind: 'propose', payload: {kind: 'membership', membership}});
		},
		async confirm(isUrgent) {
			const token = nextToken++;
			if (state.isStopped) {
				return false;
			}

			return new Promise<boolean>(resolve => {
				confirmations.set(token, resolve);
				handleEvent({kind: 'confirm', token, isUrgent});
			});
		},
		transfer(to) {
			handleEvent({kind: 'transfer', to});
		},
		getSyncCount: writer.getSyncCount,
		async stop() {
			tickTimer.stop();
			state.isStopped = true;
			writer.stop();
			await waitUntilIdle(state);
			rejectConfirmations();
			proposals.close();
			await store.close();
		},
	};
}
