/**
 * Writes what a replica wants persisted in batches, so that one disk sync covers all that was queued meanwhile, and sends the messages
 * that depend on it afterwards. What a full disk refuses is kept and tried again.
 */
import {type Action, type Replica, type ReplicaMessage} from '../consensus/index.js';
import {isDiskFull, type PersistAction, type Store} from '../storage/index.js';
import {type DriverState} from './driver-state.js';

/** Time between two attempts to write to a full disk. */
const fullDiskRetryMilliseconds = 200;

/** Action that waits for a batch: something to persist, or a message to send after what is queued before it. */
export type QueuedAction = PersistAction | Extract<Action, {readonly kind: 'send'}>;

/** Writes batches. */
export type BatchWriter = {
	add(action: QueuedAction): void;
	/** Writes what is queued, unless a batch is being written or a full disk is waited for. */
	flush(): Promise<void>;
	getSyncCount(): number;
	/** Discards what is queued. */
	stop(): void;
};

/** Options of `createBatchWriter`. */
export type BatchWriterOptions = {
	readonly state: DriverState;
	readonly replica: Replica;
	readonly store: Store;
	send(to: string, message: ReplicaMessage): void;
	/** Called with the last entry of the log and the version of the hard state at the time when a batch was begun that is persisted now. */
	onPersist(synced: {readonly lastIndex: number; readonly lastTerm: number; readonly stateVersion: number}): void;
	/** Called when the disk becomes full, and when it accepts writes again. */
	onWritabilityChange(isWritable: boolean): void;
	/** Called each time a full disk refuses a batch. */
	onRefusal(): void;
	onError(error: unknown): void;
};

/**
 * Creates a writer with nothing queued.
 * @param options - Replica, storage and callbacks.
 */
export function createBatchWriter(options: BatchWriterOptions): BatchWriter {
	const {state, replica, store} = options;
	let queuedActions: QueuedAction[] = [];
	let syncCount = 0;
	let isBlocked = false;
	let retryTimer: NodeJS.Timeout | undefined;

	/** Keeps what a full disk refused and retries later; meanwhile another replica leads. Messages that depend on it count as lost. */
	function block(refusedBatch: readonly QueuedAction[]): void {
		queuedActions = [...refusedBatch, ...queuedActions].filter(action => action.kind !== 'send');
		if (state.isStopped) {
			return;
		}

		retryTimer = setTimeout(retry, fullDiskRetryMilliseconds);
		if (!isBlocked) {
			isBlocked = true;
			options.onWritabilityChange(false);
		}

		options.onRefusal();
	}

	function retry(): void {
		retryTimer = undefined;
		void flush();
	}

	function unblock(): void {
		if (isBlocked) {
			isBlocked = false;
			options.onWritabilityChange(true);
		}
	}

	async function flush(): Promise<void> {
		if (state.isWriting || retryTimer !== undefined) {
			return;
		}

		state.isWriting = true;
		try {
			while (queuedActions.length > 0 && retryTimer === undefined) {
				await writeBatch();
			}
		} catch (error) {
			options.onError(error);
		}

		state.isWriting = false;
		state.notifyIdle?.();
	}

	async function writeBatch(): Promise<void> {
		const batch = queuedActions;
		queuedActions = [];
		const persists = batch.filter(action => action.kind !== 'send');
		const lastIndex = replica.getLog().getLastIndex();
		const lastTerm = replica.getLog().getLastTerm();
		const stateVersion = replica.getStateVersion();
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
			options.onPersist({lastIndex, lastTerm, stateVersion});
		}
	}

	return {
		add(action) {
			queuedActions.push(action);
		},
		flush,
		getSyncCount: () => syncCount,
		stop() {
			clearTimeout(retryTimer);
			queuedActions = [];
		},
	};
}
