/** Control host: runs the replica, links, leases and the operators' API in one process. */
import {performance} from 'node:perf_hooks';
import {interval, type Subscription} from 'rxjs';
import {Result} from 'true-myth';
import {type ReplicaMessage} from '../consensus/index.js';
import {createControlClient} from '../control-client/index.js';
import {createRandom} from '../randomness/index.js';
import {type BurnRateTracker} from '../service-level/index.js';
import {getSeeds, type ControlSettings, type Security} from '../settings/index.js';
import {getHostName, retryWhileDiskFull} from '../storage/index.js';
import {type Log} from '../telemetry/index.js';
import {createLinkFailureLog, type Link} from '../wire/index.js';
import {createApi, type Api, type ApiOptions} from './api.js';
import {createApiOptions} from './api-options.js';
import {startApiServer} from './api-server.js';
import {createCommitHandler} from './committed-changes.js';
import {createConnectionTimes} from './connection-times.js';
import {startDriver, type RoleChange} from './driver.js';
import {createLeaderRequestHandler} from './leader-request-handler.js';
import {createLeadership, type Leadership} from './leadership.js';
import {createStateMachine, stateMachineCodec, type StateMachineSnapshot} from './state-machine.js';
import {createInboundHandler} from './inbound-handler.js';
import {serveLinks} from './link-server.js';
import {createNudges} from './nudges.js';
import {createRequestForwarder, forwardAttemptTimeoutMilliseconds} from './request-forwarder.js';
import {createHostDiscovery} from './host-discovery.js';
import {createMembershipManager} from './membership-manager.js';
import {createControlMetrics} from './metrics.js';
import {createShutdown} from './shutdown.js';
import {createStallWatch} from './stall-watch.js';
import {openStoredReplica} from './stored-replica.js';
import {createTransferRecorder} from './traffic-kind.js';
import {createZoneLog} from './zone-log.js';
import {createSnapshotReceiver, createSnapshotSender} from './snapshot-transfer.js';
import {type ControlInbound} from './message.js';

const housekeepingIntervalMilliseconds = 100;
const joinIntervalMilliseconds = 500;
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
	const limits = {
		retentionMilliseconds: settings.ledger.retentionHours * millisecondsPerHour,
		maximumClaims: settings.ledger.maximumClaims,
		maximumAnswerBytes: settings.ledger.maximumAnswerBytes,
		maximumStoredBytes: settings.ledger.maximumStoredBytes,
	};
	const {
		self, founders, store, machine,
	} = await openStoredReplica({
		settings, discovery, folder, limits, log,
	});
	const links = new Set<Link<ControlInbound>>();
	// Loaded only if service levels are tracked, since the histograms take memory.
	const burnRateTracker: BurnRateTracker | undefined = settings.serviceLevels ? await loadBurnRateTracker() : undefined;
	const stallWatch = createStallWatch({log, intervalMilliseconds: housekeepingIntervalMilliseconds});
	let leadership: Leadership | undefined;

	const driver = startDriver({
		id: self,
		founders,
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
	const identity = {...security.link, name: discovery.name, zone: settings.zone};
	const metrics = createControlMetrics({
		driver, machine, stallWatch, zone: settings.zone, getOutstandingTokens: () => leadership?.quotas.getOutstanding() ?? 0,
	});
	const recordTransfer = createTransferRecorder(metrics.traffic);
	const client = createControlClient({
		identity,
		onTransfer: recordTransfer,
		hosts: discovery.getOtherHosts(driver.replica.getMembership(), []),
		onMessage(_host, message) {
			// The client handles replies itself. Of the other messages, only directories are addressed to control hosts.
			if (message.kind === 'directory') {
				membershipManager.addDiscoveredHosts(message);
			}
		},
		onFailure(failure) {
			recordLinkFailure(failure);
		},
		onDisconnect(host) {
			log.warn({host}, 'lost the connection to a control host');
		},
		onConnect(host) {
			log.info({host}, 'connected to a control host');
			driver.recordConnection();
			membershipManager.requestToJoin();
			client.sendTo(host, shutdown.getAvailability());
		},
	});
	const forwarder = createRequestForwarder({requestHandler, client, forwardMilliseconds: settings.forwardMilliseconds});
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
		sendTo(replica, message) {
			client.sendTo(getHostName(replica), message);
		},
		async readStatus() {
			const response = await forwarder.tryRequest({kind: 'readStatus'});
			return response.kind === 'status' ? response.status : undefined;
		},
	});
	const membershipManager = createMembershipManager({
		self, driver, discovery, client, links, log,
	});
	const recordLinkFailure = createLinkFailureLog({log, count: metrics.countInternalError, getTime: () => performance.now()});
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

	/** Tries the contents of a snapshot on another state machine, since this one must not be restored half. */
	function checkSnapshot(data: unknown): void {
		createStateMachine(limits).restore(data as StateMachineSnapshot);
	}

	const receive = createInboundHandler({
		self, driver, requestHandler, snapshotReceiver, checkSnapshot, membershipManager, shutdown, burnRateTracker, metrics, getLeadership: () => leadership,
	});
	const listener = await serveLinks({
		// Elections need sound links between control hosts, so only links from entries have slow pings.
		identity: {...identity, allowsSlowPings: true},
		address: settings.links,
		links,
		receive,
		sendDirectory: membershipManager.sendDirectory,
		onFailure: recordLinkFailure,
		onTransfer: recordTransfer,
	});

	const nudges = createNudges({machine, links, getLeadership: () => leadership});
	const handleCommit = createCommitHandler({
		log, driver, machine, zoneLog, getLeadership: () => leadership,
	});

	function runHousekeeping(): void {
		stallWatch.observe();
		zoneLog.recordRestoredZones();
		membershipManager.announceChanges();
		if (leadership === undefined) {
			return;
		}

		nudges.sendIfNeeded();
		for (const command of leadership.tick(performance.now())) {
			void driver.propose({area: 'registry', command});
		}

		membershipManager.proposeNextChange();
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
		nudges.restart();
		leadership = createLeadership({
			epoch: term, startedAt: performance.now(), termMilliseconds: settings.lease.termMilliseconds, machine, quotaTolerance: settings.quotaTolerance,
			getWallClock: Date.now, getAppliedIndex: driver.replica.getCommitIndex,
		});
		nudges.schedule();
	}

	const subscription: Subscription = driver.roleChanges.subscribe(handleRoleChange);
	subscription.add(driver.leadershipStarts.subscribe(startLeadership));
	subscription.add(driver.commandResults.subscribe(result => {
		handleCommit(result);
		nudges.schedule();
	}));
	subscription.add(interval(housekeepingIntervalMilliseconds).subscribe(runHousekeeping));
	subscription.add(interval(joinIntervalMilliseconds).subscribe(membershipManager.requestToJoin));

	const connectionTimes = createConnectionTimes(() => performance.now());
	const api = (options.createApi ?? createApi)(createApiOptions({
		log, host: discovery.name, operatorKey: security.operatorKey, forwarder, machine, driver, metrics, stallWatch, connectionTimes, burnRateTracker,
	}));
	const apiServer = await startApiServer({
		log, api, address: settings.api, connectionTimes, maximumRequestMilliseconds: settings.forwardMilliseconds + forwardAttemptTimeoutMilliseconds,
	});

	log.info({replica: self, commitIndex: driver.replica.getCommitIndex()}, 'control host started');
	return Result.ok({
		apiPort: apiServer.port,
		linksPort: listener.port,
		reload(next) {
			discovery.setSeeds(getSeeds(next));
			membershipManager.updateLinks();
		},
		async stop() {
			await shutdown.prepare();
			subscription.unsubscribe();
			nudges.stop();
			await apiServer.stop();
			client.close();
			await listener.close();
			await driver.stop();
			folder.unlock();
			log.info({replica: self}, 'control host stopped');
		},
	});
}

async function loadBurnRateTracker(): Promise<BurnRateTracker> {
	const {createBurnRateTracker} = await import('../service-level/burn-rate-tracker.js');
	return createBurnRateTracker();
}
