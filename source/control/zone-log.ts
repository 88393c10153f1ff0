/** Logs each change of the zones out of service that this host applies, with the revision, the order that it belongs to and the host that proposed it. */
import {type Log} from '../telemetry/index.js';
import {type StateMachine, type ZoneCommand} from './state-machine.js';

/** Log of the zones out of service. */
export type ZoneLog = {
	/** Logs a command that the state machine has just applied. */
	recordCommand(command: ZoneCommand): void;
	/** Logs the zones if they have changed without a command, which is the case after a snapshot was restored. */
	recordRestoredZones(): void;
};

/**
 * Creates a log that knows the initial zones.
 * @param log - Log to write to.
 * @param machine - State machine of this host.
 */
export function createZoneLog(log: Log, machine: Pick<StateMachine, 'getZonesOut' | 'getZonesRevision'>): ZoneLog {
	let revision = 0;

	return {
		recordCommand({zone, isOut, at, order, proposer}) {
			const previousRevision = revision;
			revision = machine.getZonesRevision();
			log.info({
				zone, isOut, revision, previousRevision, zonesOut: machine.getZonesOut(), order, proposer, proposedAt: new Date(at).toISOString(),
			}, 'change of a zone applied');
		},
		recordRestoredZones() {
			const previousRevision = revision;
			revision = machine.getZonesRevision();
			if (revision !== previousRevision) {
				log.info({revision, previousRevision, zonesOut: machine.getZonesOut()}, 'zones restored from a snapshot');
			}
		},
	};
}
