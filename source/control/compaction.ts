/** Compacts the log of a replica: writes a snapshot next to the log, then discards the entries that it covers. */
import {performance} from 'node:perf_hooks';
import {type Replica} from '../consensus/index.js';
import {type Store} from '../storage/index.js';
import {type DriverState} from './driver-state.js';
import {type StateMachine, type StateMachineSnapshot} from './state-machine.js';

/** Growth of the log above which a compaction is worth its cost on a full disk, in bytes. */
const minimumFreeableBytes = 65_536;

const forcedCompactionIntervalMilliseconds = 1000;

/** Compacts a log. */
export type Compaction = {
	/** Compacts the log if it has grown enough since the last snapshot. */
	compactIfDue(): Promise<void>;
	/** Compacts the log if that frees space on a full disk. */
	freeSpace(): void;
	/** Records that the state machine was restored from a snapshot. */
	recordRestore(index: number): void;
};

/** Options of `createCompaction`. */
export type CompactionOptions = {
	readonly state: DriverState;
	readonly replica: Replica;
	readonly machine: StateMachine;
	readonly store: Store;
	/** Number of committed entries since the last snapshot that triggers a new one. */
	readonly snapshotEvery: number;
	/** Growth of the log in bytes that triggers a snapshot regardless of the number of entries. */
	readonly snapshotBytes: number;
	/** Called with a snapshot that is written, so that the entries that it covers can be discarded. */
	onSnapshot(index: number, data: StateMachineSnapshot): void;
	onError(error: unknown): void;
};

/**
 * Creates the compaction of a replica's log.
 * @param options - Replica, state machine and storage.
 */
export function createCompaction(options: CompactionOptions): Compaction {
	const {state, replica, machine, store} = options;
	let snapshotIndex = store.storedState.snapshot?.index ?? 0;
	let lastForcedAt = Number.NEGATIVE_INFINITY;

	function isDue(index: number): boolean {
		return index - snapshotIndex >= options.snapshotEvery || (index > snapshotIndex && store.getLogGrowthBytes() >= options.snapshotBytes);
	}

	async function compact(): Promise<void> {
		const index = replica.getCommitIndex();
		const term = replica.getLog().getTerm(index);
		if (state.isCompacting || index <= snapshotIndex || term === undefined) {
			return;
		}

		state.isCompacting = true;
		const data = machine.takeSnapshot();
		try {
			await store.prepareSnapshot({
				index, term, membership: replica.getMembershipAt(index), data,
			});
			snapshotIndex = Math.max(snapshotIndex, index);
			options.onSnapshot(index, data);
		} catch (error) {
			options.onError(error);
		}

		state.isCompacting = false;
		state.notifyIdle?.();
	}

	return {
		async compactIfDue() {
			if (isDue(replica.getCommitIndex())) {
				await compact();
			}
		},
		freeSpace() {
			const now = performance.now();
			if (store.getLogGrowthBytes() >= minimumFreeableBytes && now - lastForcedAt > forcedCompactionIntervalMilliseconds) {
				lastForcedAt = now;
				void compact();
			}
		},
		recordRestore(index) {
			snapshotIndex = index;
		},
	};
}
