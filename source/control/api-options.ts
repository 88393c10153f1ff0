/** Connects the API of a control host with the parts of the host. */
import {performance} from 'node:perf_hooks';
import {type BurnRateTracker} from '../service-level/index.js';
import {getHostName} from '../storage/index.js';
import {type Log} from '../telemetry/index.js';
import {type ApiOptions} from './api.js';
import {type ConnectionTimes} from './connection-times.js';
import {type Driver} from './driver.js';
import {type ControlMetrics} from './metrics.js';
import {type RequestForwarder} from './request-forwarder.js';
import {createRepeatedOrders} from './repeated-orders.js';
import {type StallWatch} from './stall-watch.js';
import {type StateMachine} from './state-machine.js';
import {createZoneOrderLog} from './zone-order-log.js';

/** Parts of a control host that its API uses. */
export type ApiParts = {
	readonly log: Log;
	/** Name of the host. */
	readonly host: string;
	readonly operatorKey: string | undefined;
	readonly forwarder: RequestForwarder;
	readonly machine: StateMachine;
	readonly driver: Driver;
	readonly metrics: ControlMetrics;
	readonly stallWatch: StallWatch;
	readonly connectionTimes: ConnectionTimes;
	readonly burnRateTracker: BurnRateTracker | undefined;
};

/**
 * Creates the options of an API.
 * @param parts - Parts of the control host.
 */
export function createApiOptions(parts: ApiParts): ApiOptions {
	const {
		log, host, operatorKey, forwarder, machine, driver, metrics, stallWatch, connectionTimes, burnRateTracker,
	} = parts;
	return {
		log,
		operatorKey,
		submit: forwarder.forward,
		getBurnSummary(environment) {
			const current = machine.register.getCurrent(environment);
			return current.isJust ? burnRateTracker?.getSummary(environment, current.value.document, Date.now()) : undefined;
		},
		zoneOrderLog: createZoneOrderLog({
			log, host, submit: forwarder.forward, countOrder: metrics.countZoneOrder, getTime: () => performance.now(),
		}),
		repeatedOrders: createRepeatedOrders(),
		getConnectedAt: connectionTimes.get,
		hasStalledRecently: stallWatch.hasStalledRecently,
		getMetrics: metrics.getText,
		isReady: () => driver.replica.getLeader() !== undefined,
		getBoot: name => machine.registry.getByName(name).map(server => server.announcement.boot).unwrapOr(undefined),
		getLeaderHost() {
			const leader = driver.replica.getLeader();
			return leader === undefined ? undefined : getHostName(leader);
		},
	};
}
