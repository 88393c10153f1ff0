/** Makes stand-in servers of a scenario state in their responses that they leave, or that they want a pause. */
import {setTimeout as delay} from 'node:timers/promises';
import {type StandIn} from '../stand-in/index.js';
import {type Statement} from './statement.js';

/** Withdrawals of servers. */
export type Withdrawals = {
	/** Lets servers state one after the other that they leave; each goes later, after this has resolved. */
	withdraw(statement: Extract<Statement, {readonly kind: 'withdraw'}>): Promise<void>;
	/** Lets servers pause in turn, and resolves when the last turn is over. */
	pause(statement: Extract<Statement, {readonly kind: 'pause'}>): Promise<void>;
};

/**
 * Creates the withdrawals of a scenario.
 * @param getServers - Gets the servers of a service.
 */
export function createWithdrawals(getServers: (service: string) => readonly StandIn[]): Withdrawals {
	function getStayingServers(service: string): readonly StandIn[] {
		return getServers(service).filter(server => server.isUp() && !server.getBehaviour().statesLeaving);
	}

	return {
		async withdraw({service, number, spreadMilliseconds, stayMilliseconds}) {
			for (const server of getStayingServers(service).slice(0, number)) {
				server.updateBehaviour({statesLeaving: true});
				setTimeout(() => {
					void server.stop();
				}, stayMilliseconds).unref();
				await delay(spreadMilliseconds / number);
			}
		},
		async pause({service, number, milliseconds, totalMilliseconds}) {
			const servers = getStayingServers(service);
			const turns = Math.ceil(totalMilliseconds / milliseconds);
			for (let turn = 0; turn < turns; turn++) {
				const pausing = Array.from({length: number}, (_, index) => servers[((turn * number) + index) % servers.length]!);
				for (const server of pausing) {
					server.updateBehaviour({pauseMilliseconds: milliseconds});
				}

				await delay(Math.min(milliseconds, totalMilliseconds - (turn * milliseconds)));
				for (const server of pausing) {
					server.updateBehaviour({pauseMilliseconds: 0});
				}
			}
		},
	};
}
