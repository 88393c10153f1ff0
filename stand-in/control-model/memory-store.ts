/** Storage of a replica in memory, whose syncs take time, and of which a crash keeps any part that was being written. */
import {setTimeout as delay} from 'node:timers/promises';
import {type HardState, type LogEntry, type Snapshot} from '../../source/consensus/index.js';
import {type PersistAction, type Store} from '../../source/storage/index.js';

/** Durable contents of a disk. */
export type MemoryDisk = {readonly state: HardState; readonly entries: readonly LogEntry[]; readonly snapshot: Snapshot | undefined};

/** Store whose process can crash. */
export type MemoryStore = Store & {
	/** Gets what is left after a crash in which a number of the actions that were being written became durable. */
	getContentsAfterCrash(writtenActions: number): MemoryDisk;
};

/** Disk that was never written to. */
export const emptyDisk: MemoryDisk = {state: {term: 0, votedFor: undefined}, entries: [], snapshot: undefined};

const syncMilliseconds = 2;

function write(disk: MemoryDisk, action: PersistAction): MemoryDisk {
	switch (action.kind) {
		case 'persistState': {
			return {...disk, state: action.state};
		}

		case 'persistEntries': {
			return {...disk, entries: [...disk.entries.filter(entry => entry.index < action.truncateFrom), ...action.entries]};
		}

		case 'persistSnapshot': {
			const {snapshot} = action;
			const covered = disk.entries.find(entry => entry.index === snapshot.index);
			const isContinuous = covered?.term === snapshot.term || disk.entries[0]?.index === snapshot.index + 1;
			return {...disk, snapshot, entries: isContinuous ? disk.entries.filter(entry => entry.index > snapshot.index) : []};
		}
	}
}

function writeAll(disk: MemoryDisk, actions: readonly PersistAction[]): MemoryDisk {
	let next = disk;
	for (const action of actions) {
		next = write(next, action);
	}

	return next;
}

/**
 * Opens a disk.
 * @param contents - What the disk holds.
 */
export function openMemoryStore(contents: MemoryDisk): MemoryStore {
	let disk = contents;
	let pending: readonly PersistAction[] = [];

	return {
		storedState: contents,
		recovery: {truncatedBytes: 0, discardedEntries: 0},
		async prepareSnapshot() {
			await delay(syncMilliseconds);
		},
		async persist(batch) {
			pending = batch;
			await delay(syncMilliseconds);
			disk = writeAll(disk, batch);
			pending = [];
		},
		getLogGrowthBytes: () => 0,
		async close() {
			// There is nothing to close.
		},
		getContentsAfterCrash: writtenActions => writeAll(disk, pending.slice(0, writtenActions)),
	};
}
