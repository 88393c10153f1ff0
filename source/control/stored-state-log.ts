/** The line about the stored state that a control host starts with. */
import {type Environment} from '../configuration/index.js';
import {type Store} from '../storage/index.js';
import {type Log} from '../telemetry/index.js';
import {type StateMachine} from './state-machine.js';

const environments: readonly Environment[] = ['trial', 'production'];

/**
 * Logs what the data folder held at the start, and what was repaired in it.
 * @param log - Log to write to.
 * @param replica - Replica of this host.
 * @param store - Opened store.
 * @param machine - State machine that was restored from the snapshot of the store.
 */
export function logStoredState(log: Log, replica: string, {storedState, recovery}: Store, machine: StateMachine): void {
	const {state, snapshot, entries} = storedState;
	const fields = {
		replica, term: state.term, snapshotIndex: snapshot?.index, lastIndex: entries.at(-1)?.index ?? snapshot?.index, ...recovery,
	};
	if (recovery.discardedEntries > 0) {
		log.warn(fields, 'log opened; its entries do not lead up to the snapshot, so a new log was started');
	} else {
		log.info(fields, 'log opened');
	}

	const replacedVersions = environments.flatMap(environment => machine.register.getReplacedVersions(environment).map(version => ({environment, version})));
	if (replacedVersions.length > 0) {
		log.warn({replica, replacedVersions}, 'stored versions contain the replacement character U+FFFD; text that their author sent may be lost, so declare a new version');
	}
}
