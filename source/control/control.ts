/** Control host: runs the replica, links, leases and the operators' API in one process. */
import {createServer, type Server} from 'node:http';
import {performance} from 'node:perf_hooks';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {interval, type Subscription} from 'rxjs';
import {Result} from 'true-myth';
import {type RegisteredServer} from '../announcement/index.js';
import {type Environment} from '../configuration/index.js';
import {type ReplicaMessage} from '../consensus/index.js';
import {createControlClient} from '../control-client/index.js';
import {type Renewal} from '../lease/index.js';
import {createRandom} from '../randomness/index.js';
import {type BurnRateTracker} from '../service-level/index.js';
import {getSeeds, type ControlSettings, type Security} from '../settings/index.js';
import {
	getHostName, openStore, retryWhileDiskFull, type Store,
} from '../storage/index.js';
import {type Log} from '../telemetry/index.js';
import {listen, listenForLinks, type Link} from '../wire/index.js';
import {createApi, type Api, type ApiOptions} from './api.js';
import {startDriver, type RoleChange} from './driver.js';
import {createLeaderRequestHandler} from './leader-request-handler.js';
import {createLeadership, type Leadership} from './leadership.js';
import {createStateMachine, stateMachineCodec} from './state-machine.js';
import {handleSafely} from './http.js';
import {createHostDiscovery} from './host-discovery.js';
import {createMembershipManager} from './membership-manager.js';
import {createControlMetrics} from './metrics.js';
import {createShutdown} from './shutdown.js';
import {createStallWatch} from './stall-watch.js';
import {createZoneLog} from './zone-log.js';
import {createZoneOrderLog} from './zone-order-log.js';
import {createSnapshotReceiver, createSnapshotSender} from './snapshot-transfer.js';
import {
	type ControlResponse, type ControlInbound, type ControlOutbound, type ControlRequest,
} from './message.js';

const housekeepingIntervalMilliseconds = 100;
const nudgeDelayMilliseconds = 25;
const joinIntervalMilliseconds = 500;
const requestCheckIntervalMilliseconds = 10;
const forwardAttemptTimeoutMilliseconds = 200;
const millisecondsPerHour = 3_600_000;

/** A running control host. */
export type Control = {
	readonly apiPort: number;
	readonly linksPort: number;
	/** Applies settings that were read again. Only the seeds can change at run time. */
	reload(next: ControlSettings): void;
	/** Waits until the other voters form a quorum, transfers leadership and stops. */
	stop(): Promise<void>;
};

/** Options of `startControl`. */
export type ControlOptions = {
	readonly settings: ControlSettings;
	readonly security: Security;
	readonly log: Log;
	readonly seed: number;
	/** Whether an empty data folder belongs to a founding member; only for the first start of a cluster. */
	readonly isFounding: boolean;
	/** Creates an API that replaces the default one, for operators and servers that use another protocol. */
	readonly createApi?: (options: ApiOptions) => Api;
	/** Called when the control host cannot continue and the process must stop. */
	onFailure(error: Error): void;
};

/**
 * Starts a control host.
 * @param options - Settings, keys and log.
 */
export async function startControl(options: ControlOptions): Promise<Result<Control, string>> {
	const {settings, security, log} = options;
	const discovery = createHostDiscovery(settings, options.isFounding);
	const opened = await retryWhileDiskFull(async () => discovery.openFolder());
	if (opened.isErr) {
		return Result.err(opened.error);
	}

	const folder = opened.value;
	const self = folder.replica;
	const machine = createStateMachine({
		retentionMilliseconds: settings.ledger.retentionHours * millisecondsPerHour,
		maximumClaims: settings.ledger.maximumClaims,
		maximumStoredBytes: settings.ledger.maximumStoredBytes,
	});
	const links = new Set<Link<ControlInbound>>();
	// Loaded only if service levels are tracked, since the histograms take memory.
	const burnRateTracker: BurnRateTracker | undefined = settings.serviceLevels ? await loadBurnRateTracker() : undefined;
	const stallWatch = createStallWatch({log, intervalMilliseconds: housekeepingIntervalMilliseconds});
	let leadership: Leadership | undefined;
	let nudgeTimer: NodeJS.Timeout | undefined;
	let lastUrgentRevision = 0;
	let lastVersions = '';

	const store = await retryWhileDiskFull(async () => openStore(path.join(settings.dataFolder, 'log'), stateMachineCodec));
	logStoredState(log, self, store);
	const driver = startDriver({
		id: self,
		founders: discovery.getFounders(folder),
		store,
		machine,
		electionMilliseconds: settings.election.timeoutMilliseconds,
		heartbeatMilliseconds: settings.election.heartbeatMilliseconds,
		snapshotEvery: settings.snapshotEvery,
		snapshotBytes: settings.snapshotBytes,
		random: createRandom(options.seed),
		send: sendConsensus,
		onWritabilityChange(isWritable) {
			if (isWritable) {
				log.info({}, 'the disk accepts writes again');
			} else {
				log.error({dataFolder: settings.dataFolder}, 'the disk is full; this host does not lead until it can write');
			}
		},
		onFailure: options.onFailure,
	});
	const requestHandler = createLeaderRequestHandler({
		driver,
		machine,
		getLeadership: () => leadership,
		broadcastQuarantine(fingerprints) {
			for (const link of links) {
				link.send({kind: 'quarantined', fingerprints});
			}
		},
	});
	const client = createControlClient({
		identity: {...security.link, name: discovery.name},
		hosts: discovery.getOtherHosts(driver.replica.getMembership(), []),
		onMessage(_host, message) {
			// The client handles replies itself. Of the other messages, only directories are addressed to control hosts.
			if (message.kind === 'directory') {
				membershipManager.addDiscoveredHosts(message);
			}
		},
		onDisconnect(host) {
			log.warn({host}, 'lost the connection to a control host');
		},
		onConnect(host) {
			log.info({host}, 'connected to a control host');
			membershipManager.requestToJoin();
			client.sendTo(host, shutdown.getAvailability());
		},
	});
	const snapshotSender = createSnapshotSender({
		self,
		codec: stateMachineCodec,
		send(to, part) {
			client.sendTo(getHostName(to), part);
		},
		getBacklogBytes: to => client.getBacklogBytes(getHostName(to)),
	});
	const snapshotReceiver = createSnapshotReceiver(stateMachineCodec);
	const shutdown = createShutdown({
		self,
		driver,
		log,
		electionMilliseconds: settings.election.timeoutMilliseconds,
		patienceMilliseconds: settings.stopPatienceMilliseconds,
		broadcast: client.broadcast,
		async readStatus() {
			const response = await tryRequest({kind: 'readStatus'});
			return response.kind === 'status' ? response.status : undefined;
		},
	});
	const membershipManager = createMembershipManager({
		self, driver, discovery, client, links, log,
	});
	const metrics = createControlMetrics(driver, machine, stallWatch);
	const zoneLog = createZoneLog(log, machine);

	function sendConsensus(to: string, message: ReplicaMessage): void {
		if (message.kind === 'install') {
			void snapshotSender.send(to, message);
			return;
		}

		client.sendTo(getHostName(to), {
			kind: 'consensus', from: self, to, message,
		});
	}

	async function renew(link: Link<ControlInbound>, renewal: Renewal): Promise<void> {
		const receivedAt = performance.now();
		const current = leadership;
		const isConfirmed = current !== undefined && await driver.confirm(false);
		if (isConfirmed && leadership === current) {
			metrics.countRenewal('granted');
			link.send(current.grant(renewal, receivedAt, performance.now()));
			return;
		}

		metrics.countRenewal('refused');
		const leaderId = driver.replica.getLeader();
		const refusal: ControlOutbound = {kind: 'refusal', sequence: renewal.sequence, leader: leaderId === undefined || leaderId === self ? undefined : getHostName(leaderId)};
		link.send(refusal);
	}

	function receive(link: Link<ControlInbound>, message: ControlInbound): void {
		switch (message.kind) {
			case 'consensus': {
				if (message.to === self) {
					driver.receive(message.from, message.message);
				}

				return;
			}

			case 'snapshotPart': {
				const install = message.to === self ? snapshotReceiver.receive(message) : undefined;
				if (install !== undefined) {
					driver.receive(message.from, install);
				}

				return;
			}

			case 'join': {
				membershipManager.addJoiningReplica(message.replica);
				return;
			}

			case 'availability': {
				shutdown.recordAvailability(message);
				return;
			}

			case 'renewal': {
				void renew(link, message);
				return;
			}

			case 'request': {
				void requestHandler.handle(message.request).then(response => {
					link.send({kind: 'reply', id: message.id, answer: response});
				});
				return;
			}

			case 'burnReport': {
				burnRateTracker?.add(message);
			}
		}
	}

	const listener = await listenForLinks<ControlInbound>({
		identity: {...security.link, name: discovery.name},
		setting: 'links',
		host: settings.links.host,
		port: settings.links.port,
		onConnect(link) {
			links.add(link);
			membershipManager.sendDirectory(link);
			link.messages.subscribe({
				next(message) {
					receive(link, message);
				},
				complete() {
					links.delete(link);
				},
			});
		},
	});

	function sendNudgesIfNeeded(): void {
		const versions = `${machine.register.getCurrentNumber('trial')} ${machine.register.getCurrentNumber('production')}`;
		const urgentRevision = leadership?.getUrgentRevision() ?? 0;
		if (leadership === undefined || (urgentRevision === lastUrgentRevision && versions === lastVersions)) {
			return;
		}

		lastUrgentRevision = urgentRevision;
		lastVersions = versions;
		for (const link of links) {
			link.send({kind: 'nudge'});
		}
	}

	/** Schedules one nudge for all changes within a short time. */
	function scheduleNudge(): void {
		if (leadership === undefined || nudgeTimer !== undefined) {
			return;
		}

		nudgeTimer = setTimeout(() => {
			nudgeTimer = undefined;
			sendNudgesIfNeeded();
		}, nudgeDelayMilliseconds);
	}

	function runHousekeeping(): void {
		stallWatch.observe();
		zoneLog.recordRestoredZones();
		membershipManager.announceChanges();
		if (leadership === undefined) {
			return;
		}

		sendNudgesIfNeeded();

		for (const command of leadership.tick(performance.now())) {
			void driver.propose({area: 'registry', command});
		}

		membershipManager.proposeNextChange();
	}

	/** Logs the servers that a committed command changed. */
	function logServerChanges(servers: readonly RegisteredServer[]): void {
		const changes = servers.map(({key, state, announcement, id}) => `${key} at ${announcement.host}:${announcement.port} ${machine.registry.getById(id).isJust ? state : 'gone'}`);
		log.info({commitIndex: driver.replica.getCommitIndex(), zonesOut: machine.getZonesOut(), changes}, 'servers committed');
	}

	function applyServerChanges(servers: readonly RegisteredServer[]): void {
		logServerChanges(servers);
		leadership?.updateServers(servers, performance.now());
	}

	function handleRoleChange(change: RoleChange): void {
		const {role, term, leader: leaderId} = change;
		log.info({role, term, leader: leaderId}, 'role changed');
		client.setLeader(leaderId === undefined || leaderId === self ? undefined : getHostName(leaderId));
		if (role !== 'leader') {
			leadership = undefined;
		}
	}

	function startLeadership(term: number): void {
		lastUrgentRevision = -1;
		leadership = createLeadership({
			epoch: term, startedAt: performance.now(), termMilliseconds: settings.lease.termMilliseconds, machine, getWallClock: Date.now, getAppliedIndex: driver.replica.getCommitIndex,
		});
		scheduleNudge();
	}

	const subscription: Subscription = driver.roleChanges.subscribe(handleRoleChange);
	subscription.add(driver.leadershipStarts.subscribe(startLeadership));
	subscription.add(driver.commandResults.subscribe(result => {
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
				leadership?.updateDocuments(performance.now());
				break;
			}

			case 'ledger': {
				// A ledger result concerns only the process that proposed the command.
				break;
			}
		}

		scheduleNudge();
	}));
	subscription.add(interval(housekeepingIntervalMilliseconds).subscribe(runHousekeeping));
	subscription.add(interval(joinIntervalMilliseconds).subscribe(membershipManager.requestToJoin));

	/** Handles a request on this host, or makes one attempt to forward it to the leader. */
	async function tryRequest(request: ControlRequest): Promise<ControlResponse> {
		const ownResponse = await requestHandler.handle(request);
		return ownResponse.kind === 'notLeader' ? client.submit(request, forwardAttemptTimeoutMilliseconds) : ownResponse;
	}

	/** Handles a request on this host or forwards it to the leader, with retries during an election. */
	async function forward(request: ControlRequest): Promise<ControlResponse> {
		const until = performance.now() + settings.forwardMilliseconds;
		for (;;) {
			const response = await tryRequest(request);
			const isAnswered = response.kind !== 'notLeader' && response.kind !== 'unknown';
			if (isAnswered || performance.now() > until) {
				return response;
			}
		}
	}

	const api = (options.createApi ?? createApi)({
		log,
		operatorKey: security.operatorKey,
		submit: forward,
		getBurnSummary(environment: Environment) {
			const current = machine.register.getCurrent(environment);
			return current.isJust ? burnRateTracker?.getSummary(environment, current.value.document, Date.now()) : undefined;
		},
		zoneOrderLog: createZoneOrderLog({
			log, host: discovery.name, submit: forward, countOrder: metrics.countZoneOrder, getTime: () => performance.now(),
		}),
		hasStalledRecently: stallWatch.hasStalledRecently,
		getMetrics: metrics.getText,
		isReady: () => driver.replica.getLeader() !== undefined,
		getLeaderHost() {
			const leaderId = driver.replica.getLeader();
			return leaderId === undefined ? undefined : getHostName(leaderId);
		},
	});
	let openRequests = 0;
	const server: Server = createServer((request, response) => {
		openRequests++;
		response.once('close', () => {
			openRequests--;
		});
		void handleSafely({log, request, response}, api);
	});
	const apiPort = await listen(server, {setting: 'api', ...settings.api});

	async function waitForRequests(): Promise<void> {
		const until = performance.now() + settings.forwardMilliseconds + forwardAttemptTimeoutMilliseconds;
		while (openRequests > 0 && performance.now() < until) {
			await delay(requestCheckIntervalMilliseconds);
		}
	}

	log.info({replica: self, commitIndex: driver.replica.getCommitIndex()}, 'control host started');
	return Result.ok({
		apiPort,
		linksPort: listener.port,
		reload(next) {
			discovery.setSeeds(getSeeds(next));
			membershipManager.updateLinks();
		},
		async stop() {
			await shutdown.prepare();
			subscription.unsubscribe();
			clearTimeout(nudgeTimer);
			const closed = new Promise(resolve => {
				server.close(resolve);
			});
			await waitForRequests();
			// The remaining connections are idle, or their requests exceeded the time limit.
			server.closeAllConnections();
			await closed;
			client.close();
			await listener.close();
			await driver.stop();
			folder.unlock();
			log.info({replica: self}, 'control host stopped');
		},
	});
}

/** Logs what the data folder held at the start, and what was repaired in it. */
function logStoredState(log: Log, replica: string, {storedState, recovery}: Store): void {
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

async function loadBurnRateTracker(): Promise<BurnRateTracker> {
	const {createBurnRateTracker} = await import('../service-level/burn-rate-tracker.js');
	return createBurnRateTracker();
}
