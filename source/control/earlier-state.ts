/** Records at a new leader what entries keep from earlier ones. */
import {type Renewal} from '../lease/index.js';
import {type Quarantine} from '../quarantine/index.js';
import {type ServerList} from './server-list.js';
import {type ServerPresence} from './server-presence.js';
import {type StateMachine} from './state-machine.js';

/** Parts of a leader that learn from entries. */
export type EarlierStateTargets = {
	readonly machine: Pick<StateMachine, 'registry'>;
	readonly presence: ServerPresence;
	readonly serverList: ServerList;
	readonly quarantine: Quarantine;
};

/**
 * Records the absent servers and the quarantined requests that an entry keeps. A server that has announced itself since is present.
 * @param targets - Parts of the leader.
 * @param renewal - Renewal of the entry.
 * @param now - Current time.
 */
export function recordEarlierState({machine, presence, serverList, quarantine}: EarlierStateTargets, {earlier}: Renewal, now: number): void {
	for (const id of earlier?.absent ?? []) {
		if (machine.registry.getById(id).isJust) {
			presence.recordEarlierAbsence(id, now);
			serverList.updateAbsence(id, now);
		}
	}

	for (const fingerprint of earlier?.quarantined ?? []) {
		quarantine.inherit(fingerprint, now);
	}
}
