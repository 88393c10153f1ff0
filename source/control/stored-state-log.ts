/** The line about the stored state that a control host starts with. */
import {type Store} from '../storage/index.js';
import {type Log} from '../telemetry/index.js';

/**
 * Logs what the data folder held at the start, and what was repaired in it.
 * @param log - Log to write to.
 * @param replica - Replica of this host.
 * @param store - Opened store.
 */
export function logStoredState(log: Log, replica: string, {storedState, recovery}: Store): void {
	const {state, snapshot, entries} = storedState;
	const fields = {
		replica, term: state.term, snapshotIndex: snapshot?.index, lastIndex: entries.at(-1)?.index ?? snapshot?.index, ...recovery,
	};
	if (recovery.discardedEntries > 0) {
		log.warn(fields, 'log opened; its entries do not lead up to the snapshot, so a new log was started');
	} else {
		log.info(fields, 'log opened');
	}
}
