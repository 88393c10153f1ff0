/**
 * A control host in a virtual process: the product's replica with its driver, state machine, leadership, handlers, client, forwarder and API, on
 * links and a disk of the model. Left out are discovery and changes of the members, planned stops, metrics and logs.
 */
import {createControlClient, parseHostName} from '../../source/control-client/index.js';
import {
	createLeaderRequestHandler, createLeadership, createStallWatch, createRepeatedOrders, createZoneOrderLog, startDriver, type Api, type ApiOptions, type Driver, type Leadership, type StateMachine,
} from '../../source/control/index.js';
import {createInboundHandler} from '../../source/control/inbound-handler.js';
import {createNudges} from '../../source/control/nudges.js';
import {createRequestForwarder} from '../../source/control/request-forwarder.js';
import {restoreMachine} from '../../source/control/stored-replica.js';
import {type Random} from '../../source/randomness/index.js';
import {getHostName} from '../../source/storage/index.js';
import {type Log} from '../../source/telemetry/index.js';
import {getOpenedAt} from './calls.js';
import {type Links} from './links.js';
import {type MemoryStore} from './memory-store.js';
import {type VirtualProcess} from './virtual-world.js';

/** A running control host. */
export type ModelHost = {readonly api: Api; readonly machine: StateMachine; readonly driver: Driver; readonly store: MemoryStore};

/** Options of `startModelHost`. */
export type ModelHostOptions = {
	readonly process: VirtualProcess;
	readonly hostNames: readonly string[];
	readonly links: Links;
	readonly store: MemoryStore;
	readonly random: Random;
	readonly log: Log;
	readonly createApi: (options: ApiOptions) => Api;
	onFailure(error: Error): void;
};

/** Term of the leases, in milliseconds. */
export const termMilliseconds = 3000;

const housekeepingMilliseconds = 100;

/** Timing of the deploy file. */
const timing = {electionMilliseconds: 400, heartbeatMilliseconds: 100, forwardMilliseconds: 900};

/** Number of entries between two snapshots; few, so that replicas that were away receive snapshots. */
const snapshotEvery = 6;

/**
 * Gets the replica id of a control host.
 * @param host - Name of the host.
 */
export function getReplicaId(host: string): string {
	return `${host}:r`;
}

/**
 * Starts a control host; must run as its process.
 * @param options - Process, links, disk and API.
 */
export function startModelHost(options: ModelHostOptions): ModelHost {
	const {
		process: {name}, hostNames, links, store, random, log,
	} = options;
	const self = getReplicaId(name);
	const machine = restoreMachine({
		retentionMilliseconds: 1000, maximumClaims: 10, maximumAnswerBytes: 1000, maximumStoredBytes: 1000,
	}, store);
	const client = createControlClient({
		identity: {name, sharedKey: '', certificates: undefined},
		hosts: hostNames.filter(host => host !== name).map(host => parseHostName(host)),
		onMessage() {
			// The client handles replies itself.
		},
		onFailure({error}) {
			throw error;
		},
		onConnect() {
			// Members and their availability do not change.
		},
		createDialer: dialer => links.createDialer(options.process, `${dialer.host}:${dialer.port}`, dialer),
	});
	const driver = startDriver({
		id: self,
		founders: {voters: hostNames.map(host => getReplicaId(host)), learners: []},
		store,
		machine,
		...timing,
		snapshotEvery,
		snapshotBytes: Number.POSITIVE_INFINITY,
		random,
		send(to, message) {
			client.sendTo(getHostName(to), {
				kind: 'consensus', from: self, to, message,
			});
		},
		onFailure: options.onFailure,
	});
	let leadership: Leadership | undefined;
	const getLeadership = (): Leadership | undefined => leadership;
	const requestHandler = createLeaderRequestHandler({
		driver, machine, getLeadership, broadcastQuarantine() {
			// Nothing crashes servers here.
		},
	});
	const forwarder = createRequestForwarder({requestHandler, client, forwardMilliseconds: timing.forwardMilliseconds});
	const stallWatch = createStallWatch({
		log, intervalMilliseconds: housekeepingMilliseconds, readClocks: () => ({wall: Date.now(), monotonic: Date.now(), processor: 0}),
	});
	const nudges = createNudges({machine, links: links.getAccepted(name), getLeadership});
	const receive = createInboundHandler({
		self,
		driver,
		requestHandler,
		checkSnapshot() {
			// Snapshots come from the replicas of the model.
		},
		getLeadership,
		metrics: {
			countRenewal() {
			// Nobody reads the metrics.
			},
		},
	} as unknown as Parameters<typeof createInboundHandler>[0]);

	driver.roleChanges.subscribe(({role, term, leader}) => {
		log.info({role, term, leader}, 'role changed');
		client.setLeader(leader === undefined || leader === self ? undefined : getHostName(leader));
		leadership = role === 'leader' ? leadership : undefined;
	});
	driver.leadershipStarts.subscribe(epoch => {
		nudges.restart();
		leadership = createLeadership({
			epoch, startedAt: Date.now(), termMilliseconds, machine, getWallClock: Date.now, getAppliedIndex: driver.replica.getCommitIndex,
		});
		nudges.schedule();
	});
	driver.commandResults.subscribe(result => {
		log.info({area: result.area, zonesOut: machine.getZonesOut(), version: machine.register.getCurrentNumber('production')}, 'applied');
		if (result.area === 'zones') {
			leadership?.updateServers(result.changed, Date.now());
		} else if (result.area === 'configuration') {
			leadership?.updateDocuments(Date.now());
		}

		nudges.schedule();
	});

	function runHousekeeping(): void {
		stallWatch.observe();
		nudges.sendIfNeeded();
		leadership?.tick(Date.now());
		setTimeout(runHousekeeping, housekeepingMilliseconds);
	}

	setTimeout(runHousekeeping, housekeepingMilliseconds);
	links.open(name, (link, message) => {
		void receive(link, message);
	});
	let nextOrderId = 1;
	const api = options.createApi({
		log,
		operatorKey: undefined,
		submit: forwarder.forward,
		getBurnSummary: () => undefined,
		zoneOrderLog: createZoneOrderLog({
			log, host: name, submit: forwarder.forward, getTime: Date.now, createId: () => String(nextOrderId++), countOrder() {
				// Nobody reads the metrics.
			},
		}),
		repeatedOrders: createRepeatedOrders(),
		getConnectedAt: getOpenedAt,
		hasStalledRecently: stallWatch.hasStalledRecently,
		getMetrics: async () => '',
		isReady: () => driver.replica.getLeader() !== undefined,
		getBoot: name => machine.registry.getByName(name).map(server => server.announcement.boot).unwrapOr(undefined),
		getLeaderHost() {
			const leader = driver.replica.getLeader();
			return leader === undefined ? undefined : getHostName(leader);
		},
	});
	return {
		api, machine, driver, store,
	};
}
