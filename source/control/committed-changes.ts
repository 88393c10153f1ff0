/** Logs the committed commands that the state machine has applied, and passes their changes to the leadership of this host, if it leads. */
import {performance} from 'node:perf_hooks';
import {type RegisteredServer} from '../announcement/index.js';
import {type Log} from '../telemetry/index.js';
import {type Driver} from './driver.js';
import {type Leadership} from './leadership.js';
import {type CommandResult, type StateMachine} from './state-machine.js';
import {type ZoneLog} from './zone-log.js';

/** Options of `createCommitHandler`. */
export type CommitHandlerOptions = {
	readonly log: Log;
	readonly driver: Driver;
	readonly machine: StateMachine;
	readonly zoneLog: ZoneLog;
	getLeadership(): Leadership | undefined;
};

/**
 * Creates a handler of the results of committed commands.
 * @param options - Log, state machine and access to the current leadership.
 */
export function createCommitHandler(options: CommitHandlerOptions): (result: CommandResult) => void {
	const {log, driver, machine, zoneLog, getLeadership} = options;

	/** Logs the servers that a committed command changed. */
	function logServerChanges(servers: readonly RegisteredServer[]): void {
		const changes = servers.map(({key, state, announcement, id}) => `${key} at ${announcement.host}:${announcement.port} ${machine.registry.getById(id).isJust ? state : 'gone'}`);
		log.info({commitIndex: driver.replica.getCommitIndex(), zonesOut: machine.getZonesOut(), changes}, 'servers committed');
	}

	function applyServerChanges(servers: readonly RegisteredServer[]): void {
		logServerChanges(servers);
		getLeadership()?.updateServers(servers, performance.now());
	}

	return result => {
		switch (result.area) {
			case 'zones': {
				zoneLog.recordCommand(result.command);
				applyServerChanges(result.changed);
				break;
			}

			case 'registry': {
				applyServerChanges(result.changed);
				break;
			}

			case 'configuration': {
				log.info({answer: result.answer, commitIndex: driver.replica.getCommitIndex()}, 'configuration committed');
				getLeadership()?.updateDocuments(performance.now());
				break;
			}

			case 'ledger': {
				// A ledger result concerns only the process that proposed the command.
				break;
			}
		}
	};
}
