/**
 * Opens the stored state of a control host, and restores the state machine from it. A host whose state cannot be read does not end at each
 * start while other hosts hold the state: it sets what it has aside and joins them as a new, empty replica.
 */
import {type Membership} from '../consensus/index.js';
import {type LedgerLimits} from '../ledger/index.js';
import {type ControlSettings} from '../settings/index.js';
import {
	getStateFolder, openStore, retryWhileDiskFull, setStateAside, type DataFolder, type Store,
} from '../storage/index.js';
import {type Log} from '../telemetry/index.js';
import {type HostDiscovery} from './host-discovery.js';
import {
	createStateMachine, stateMachineCodec, type StateMachine, type StateMachineSnapshot,
} from './state-machine.js';
import {logStoredState} from './stored-state-log.js';

/** Replica of a host with its storage, and the state machine of its snapshot. */
export type StoredReplica = {
	/** Id of the replica. */
	readonly self: string;
	readonly founders: Membership;
	readonly store: Store;
	readonly machine: StateMachine;
};

/** Options of `openStoredReplica`. */
export type StoredReplicaOptions = {
	readonly settings: ControlSettings;
	readonly discovery: HostDiscovery;
	/** Opened data folder. */
	readonly folder: DataFolder;
	readonly limits: LedgerLimits;
	readonly log: Log;
};

/**
 * Creates a state machine and restores it from the snapshot of a store, if there is one.
 * @param limits - Limits of the ledger.
 * @param store - Opened store.
 */
export function restoreMachine(limits: LedgerLimits, {storedState}: Store): StateMachine {
	const machine = createStateMachine(limits);
	if (storedState.snapshot !== undefined) {
		machine.restore(storedState.snapshot.data as StateMachineSnapshot);
	}

	return machine;
}

/**
 * Opens the stored state of a host.
 * @param options - Settings, data folder and log.
 * @throws The error of the storage if the state cannot be read and there is no other host.
 */
export async function openStoredReplica(options: StoredReplicaOptions): Promise<StoredReplica> {
	const {settings, discovery, folder, log} = options;
	try {
		return await openReplica(options, folder.replica, discovery.getFounders(folder));
	} catch (error) {
		if (isSystemError(error) || discovery.getOtherHosts({voters: [], learners: []}, []).length === 0) {
			throw error;
		}

		const {folder: asideFolder, replica} = await retryWhileDiskFull(async () => setStateAside(settings.dataFolder, discovery.name));
		log.error({
			err: error, replica: folder.replica, newReplica: replica, asideFolder,
		}, 'the stored state cannot be read; it was set aside, and this host joins the others as a new replica without any state');
		return openReplica(options, replica, discovery.getFounders({...folder, replica, founders: []}));
	}
}

async function openReplica({settings, limits, log}: StoredReplicaOptions, self: string, founders: Membership): Promise<StoredReplica> {
	const store = await retryWhileDiskFull(async () => openStore(getStateFolder(settings.dataFolder), stateMachineCodec));
	try {
		const machine = restoreMachine(limits, store);
		logStoredState(log, self, store, machine);
		return {
			self, founders, store, machine,
		};
	} catch (error) {
		await store.close();
		throw error;
	}
}

/** Checks whether an error comes from the operating system. The same files may be readable later. */
function isSystemError(error: unknown): boolean {
	return error instanceof Error && 'syscall' in error;
}
