/** An entry: forwards HTTP requests from callers to servers while it holds a lease from the control hosts. */
import {randomBytes} from 'node:crypto';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {interval, Subscription} from 'rxjs';
import {
	createPeerCounts, createCountsReporter, createSubsetChooser,
} from '../choice/index.js';
import {type EnvironmentDocument} from '../configuration/index.js';
import {handleSafely} from '../control/http.js';
import {createStallWatch} from '../control/stall-watch.js';
import {createControlClient, createHostDirectory, type ControlClient} from '../control-client/index.js';
import {createSuspensionDetector, type Grant} from '../lease/index.js';
import {createLoadQueryBudget} from '../measuring/index.js';
import {createRandom} from '../randomness/index.js';
import {isSafeMethod} from '../retry/index.js';
import {type ServiceLevelCounter} from '../service-level/counter.js';
import {periodMilliseconds} from '../service-level/report.js';
import {getSeeds, type EntrySettings, type Security} from '../settings/index.js';
import {type Log} from '../telemetry/index.js';
import {notRun, type NotRunReason, type Verdict} from '../verdict/index.js';
import {listen} from '../wire/index.js';
import {createByteBudget} from '../bytes/index.js';
import {findRequestFault, normalizeTarget} from './request-check.js';
import {sendVerdict} from './response.js';
import {createAdminHandler} from './admin.js';
import {startAttempt} from './attempt.js';
import {type Exchange} from './caller-connections.js';
import {createCallerServer} from './caller-server.js';
import {createLoadQuerier} from './load-querier.js';
import {createAnnouncementHandler} from './announcement-handler.js';
import {type RequestContext} from './request-context.js';
import {getRequestId, handleRequest} from './request-handler.js';
import {createClaims} from './claims.js';
import {createCrashCheck} from './crash-check.js';
import {defaultDialect, type Dialect} from './dialect.js';
import {createDiscardedAnswers} from './discarded-answers.js';
import {createFleet} from './fleet.js';
import {keepLease} from './lease-keeper.js';
import {createEntryMetrics} from './metrics.js';
import {startPeerExchange, type PeerExchange} from './peer-exchange.js';
import {createProber} from './prober.js';
import {createRouter, type Router} from './router.js';
import {createRequestLog} from './request-log.js';
import {createCrashTracker} from './crash-tracker.js';
import {createReportHandler} from './server-reports.js';
import {createZoneView} from './zone-view.js';

const housekeepingIntervalMilliseconds = 50;
const drainPollIntervalMilliseconds = 20;
const maximumStoredResponseBytes = 16_384;
const millisecondsPerSecond = 1000;

/** Share of the time until the process is killed in which a stopping entry accepts connections. */
const acceptShare = 0.5;

/** Number of entries that is assumed until the first grant arrives. */
const assumedEntryCount = 100;

/** Maximum number of changed servers that are named in one log line. */
const maximumLoggedServers = 40;

/** Retry delay for callers of an entry without a matching route, in milliseconds. A starting entry receives its document within a few hundred. */
const unroutedRetryMilliseconds = 150;

const defaultProbePath = '/health';

/** A running entry. */
export type Entry = {
	/** Port on which callers' requests are accepted. */
	readonly callersPort: number;
	readonly adminPort: number;
	isReady(): boolean;
	/** Stops gracefully: reports not ready, waits for the grace period, and completes the requests in flight. */
	stop(): Promise<void>;
	getInFlight(): number;
	/** Applies settings that were read again. Only changes of the seeds take effect while the entry runs. */
	reload(next: EntrySettings): void;
};

/** Options of `startEntry`. */
export type EntryOptions = {
	readonly settings: EntrySettings;
	readonly security: Security;
	readonly log: Log;
	/** Seed of the random numbers. */
	readonly seed: number;
	/** Headers that are exchanged with callers and servers; guavadeck's own by default. */
	readonly dialect?: Dialect;
};

/**
 * Starts an entry.
 * @param options - Settings, keys, log and dialect.
 */
export async function startEntry(options: EntryOptions): Promise<Entry> {
	const {settings, security, log, dialect = defaultDialect} = options;
	const isServingWithoutControl = settings.withoutControl === 'serve';
	const random = createRandom(options.seed);
	const metrics = createEntryMetrics();
	const {attemptBudget} = settings;
	const sharedBudget = attemptBudget === undefined ? undefined : {ratio: attemptBudget.ratio, getSlack: () => attemptBudget.slack / entryCount};
	const suspension = createSuspensionDetector();
	const stallWatch = createStallWatch({log, intervalMilliseconds: housekeepingIntervalMilliseconds});
	const zoneView = createZoneView({log, isServingWithoutControl, getTime: () => performance.now()});
	const discardedAnswers = createDiscardedAnswers({log, countDiscardedAnswer: metrics.countDiscardedAnswer, getTime: () => performance.now()});
	const fleet = createFleet(random, sharedBudget, createSubsetChooser({entry: settings.name, zone: settings.zone}), (candidate, history) => {
		discardedAnswers.record(candidate, {reason: 'answer-unsolicited', history});
	});
	const requestLog = createRequestLog(log, () => performance.now());
	const peerCounts = createPeerCounts();
	const serviceLevelCounter = settings.serviceLevels ? await loadServiceLevelCounter(settings) : undefined;
	const subscription = new Subscription();
	const idPrefix = randomBytes(6).toString('hex');
	let router: Router = createRouter([]);
	let document: EnvironmentDocument | undefined;
	let isDraining = false;
	let inFlight = 0;
	let entryCount = assumedEntryCount;
	let nextId = 1;
	let wasReady = false;

	const prober = createProber({
		fleet, mayProbe: now => leaseKeeper.holder.isValid(now), onResult: metrics.countProbe,
	});
	const announcementHandler = createAnnouncementHandler({
		fleet, getClient: () => client, isLeaseValid: () => leaseKeeper.holder.isValid(performance.now()),
	});
	const peerExchange = await startPeerExchangeIfConfigured();
	const leaseKeeper = keepLease({
		entry: settings.name,
		environment: settings.environment,
		renewMilliseconds: settings.lease.renewMilliseconds,
		peer: peerExchange === undefined || settings.peers === undefined ? undefined : {name: settings.name, host: settings.peers.host, port: peerExchange.port},
		getClient: () => client,
		takeObservations: fleet.takeObservations,
		takeFailedProbes: prober.takeFailedServers,
		takeUnchangedServers: announcementHandler.takeUnchangedServers,
		getCrashReports: () => crashTracker.getReports(),
		applyGrant,
		setQuarantined(fingerprints) {
			crashTracker.setQuarantined(fingerprints);
		},
	});
	const directory = createHostDirectory({control: settings.control, seeds: getSeeds(settings)});
	const client: ControlClient = createControlClient({
		identity: security.link,
		hosts: directory.getHosts(),
		onMessage(host, message) {
			if (message.kind === 'directory') {
				client.setHosts(directory.update(message));
				return;
			}

			leaseKeeper.receive(host, message);
		},
		onDisconnect(host) {
			log.warn({host, leaseMilliseconds: Math.round(leaseKeeper.holder.getExpiresAt() - performance.now())}, 'lost the connection to a control host');
		},
		onConnect(host) {
			log.info({host}, 'connected to a control host');
			leaseKeeper.handleConnect(host);
		},
	});
	const claims = createClaims(client, settings.environment);
	const crashTracker = createCrashTracker(client);

	async function startPeerExchangeIfConfigured(): Promise<PeerExchange | undefined> {
		return settings.peers === undefined
			? undefined
			: startPeerExchange({
				identity: security.link,
				address: settings.peers,
				counts: peerCounts,
				reporter: createCountsReporter(settings.name),
				getOwnCounts: () => [...fleet.getServers()].map(({candidate}) => ({server: candidate.id, inFlight: candidate.getInFlight()})),
				onCountsChange(servers) {
					for (const id of servers) {
						fleet.get(id)?.candidate.setPeerInFlight(peerCounts.get(id));
					}
				},
			});
	}

	function applyGrant(grant: Grant, next: EnvironmentDocument | undefined, host: string): void {
		if (next !== undefined) {
			document = next;
			router = createRouter(document.services, document.routes, random);
			applyLimits(document.clientLimits);
			fleet.setDocument(document);
			log.info({version: grant.version}, 'document in force');
		}

		updateServers(grant);
		entryCount = Math.max(1, grant.entries);
		fleet.setZonesOutOfService(grant.zonesOut);
		zoneView.recordGrant(grant, host, leaseKeeper.holder.getRenewedAt());
		fleet.setPermits(grant.permits, performance.now());
		if (grant.peers !== undefined) {
			fleet.setConnectionShare(grant.peers.length + 1);
			peerExchange?.peers.setAddresses(grant.peers);
		}

		prober.schedule.assign(grant.duties, grant.probeMilliseconds, performance.now());
		crashTracker.setQuarantined(grant.quarantined);
		drainQueues();
	}

	/** Applies the servers of a grant. An entry that lacks a listed server asks for the whole list again. */
	function updateServers(grant: Grant): void {
		const {listed, servers, isWhole} = grant;
		if (isWhole || servers.length > 0) {
			fleet.update(servers, isWhole);
			logServerChanges(grant);
		}

		if (listed === undefined) {
			return;
		}

		if (!fleet.retain(listed, servers)) {
			log.warn({epoch: grant.epoch, listed: listed.length, known: fleet.getSize()}, 'the list of servers is incomplete; asking for all of them');
			leaseKeeper.holder.forgetServers();
		}
	}

	/** Logs the servers that a grant changes, with its epoch and revision. A full list is logged only as its length. */
	function logServerChanges(grant: Grant): void {
		const {epoch, revision, isWhole, servers} = grant;
		const changes = servers.slice(0, maximumLoggedServers).map(({announcement, state, isAbsent, isRemoved}) => `${announcement.name} ${isRemoved ? 'gone' : state}${isAbsent ? ', absent' : ''}`);
		log.info({
			epoch, revision, isWhole, servers: servers.length, changes: isWhole ? [] : changes,
		}, 'servers changed');
	}

	/** Revokes the permits for cold servers when the lease has ended or the host was suspended. */
	function revokePermitsIfNeeded(): void {
		if (suspension.hasBeenSuspended(Date.now(), performance.now()) || !leaseKeeper.holder.isValid(performance.now())) {
			fleet.revokePermits();
		}
	}

	function mayDispatch(now: number): boolean {
		revokePermitsIfNeeded();
		return isServingWithoutControl ? document !== undefined : leaseKeeper.holder.isValid(now);
	}

	function drainQueues(): void {
		const now = performance.now();
		for (const state of fleet.getStates()) {
			if (state.queue.getLength() > 0) {
				state.queue.expire(now);
				state.queue.drain(now);
			}
		}
	}

	function isReady(): boolean {
		return !isDraining && document !== undefined && (isServingWithoutControl || leaseKeeper.holder.isValid(performance.now()));
	}

	function logReadiness(): void {
		if (isReady() !== wasReady) {
			wasReady = !wasReady;
			log.info({ready: wasReady, version: leaseKeeper.holder.getVersion()}, wasReady ? 'ready' : 'not ready');
		}
	}

	function createRequestId(): string {
		return `${idPrefix}-${(nextId++).toString(36)}`;
	}

	function recordEnd(service: {readonly name: string; readonly objective: {readonly latencyMilliseconds: number}}, verdict: Verdict, milliseconds: number): void {
		inFlight--;
		metrics.countRequest(service.name, verdict.kind, milliseconds / millisecondsPerSecond);
		if (!isCausedByCaller(verdict)) {
			serviceLevelCounter?.record(service.name, milliseconds, isFailure(verdict), milliseconds > service.objective.latencyMilliseconds);
		}
	}

	const applyServerReport = createReportHandler({fleet, metrics, log});

	const loadQuerier = createLoadQuerier({
		dialect,
		getPath: service => fleet.getState(service)?.getService().probePath ?? defaultProbePath,
		onReport: applyServerReport,
		onMiss(candidate) {
			candidate.recordMissedReply(performance.now());
		},
		onResult: metrics.countProbe,
	});
	const crashCheck = createCrashCheck({
		query: loadQuerier.query,
		reportCrash(fingerprint, server) {
			log.warn({fingerprint, server}, 'server is unreachable after its connection was lost during a request; reporting a crash');
			void crashTracker.reportCrash(fingerprint, server);
		},
		schedule(run, milliseconds) {
			setTimeout(run, milliseconds);
		},
	});
	const context: RequestContext = {
		zone: settings.zone,
		dialect,
		loadQuerier,
		queryBudget: createLoadQueryBudget({
			queriesPerServerPerSecond: settings.questionsPerServerAndSecond, getServerCount: fleet.getSize, getEntryCount: () => entryCount,
		}),
		random,
		fleet,
		claims,
		crashTracker,
		metrics,
		discardedAnswers,
		get maximumBodyBytes() {
			return document?.clientLimits?.bodyBytes ?? settings.maximumBodyBytes;
		},
		maximumHeldBodyBytes: settings.maximumHeldBodyBytes,
		heldBodies: createByteBudget(settings.maximumHeldBytes),
		maximumBufferedBytes: settings.maximumHeldAnswerBytes,
		bufferedResponses: createByteBudget(settings.maximumHeldAnswersBytes),
		maximumResponseBytes: settings.maximumAnswerBytes,
		maximumStoredBytes: maximumStoredResponseBytes,
		startAttempt,
		mayDispatch,
		onReport: applyServerReport,
		async reportCrash(fingerprint, server) {
			const candidate = fleet.get(server)?.candidate;
			if (!isServingWithoutControl || candidate === undefined) {
				return crashTracker.reportCrash(fingerprint, server);
			}

			// An entry that serves without control hosts does not wait for them, and first checks that the server is unreachable.
			crashCheck.check(fingerprint, candidate);
			return crashTracker.isQuarantined(() => fingerprint);
		},
		createRequestId,
		startTrace: head => requestLog.start({...head, version: leaseKeeper.holder.getVersion()}),
		onRequestEnd: recordEnd,
		onInternalError(error, requestId) {
			metrics.countInternalError();
			log.error({err: error, requestId}, 'internal error while handling a request; only this request ends');
		},
	};

	/** Refuses a request before a service is found for it. */
	function refuseUnrouted(exchange: Exchange, reason: NotRunReason): void {
		metrics.countRefusal(reason);
		sendVerdict({
			dialect, response: exchange.response, verdict: notRun(reason), requestId: getRequestId(context, exchange.request), isClosing: exchange.decideClose(false), retryAfterMilliseconds: unroutedRetryMilliseconds,
		});
	}

	function handleExchange(exchange: Exchange): void {
		const {request, response} = exchange;
		response.on('error', () => {
			response.destroy();
		});
		normalizeTarget(request);
		const fault = findRequestFault(request, document?.clientLimits?.headerBytes ?? settings.maximumHeaderBytes);
		if (fault !== undefined) {
			refuseUnrouted(exchange, fault === 'malformed' ? 'bad-request' : 'headers-too-large');
			return;
		}

		const route = router.get(request.headers.host, request.url ?? '/');
		const state = route === undefined ? undefined : fleet.getState(route.selectService());
		if (route === undefined || state === undefined) {
			refuseUnrouted(exchange, document === undefined ? 'lease-expired' : 'unknown-service');
			return;
		}

		inFlight++;
		void handleRequest(context, route, state, exchange);
	}

	const {server: callers, connections, applyLimits} = createCallerServer({
		maximumHeaderBytes: settings.maximumHeaderBytes,
		isDraining: () => isDraining,
		isIdempotent: ({headers, url, method}) => router.get(headers.host, url ?? '/')?.isIdempotent ?? isSafeMethod(method ?? 'GET'),
		handle: handleExchange,
	});
	const admin = createAdminHandler({
		announce: announcementHandler.handle,
		metrics: metrics.registry,
		isReady,
		getVersion: () => leaseKeeper.holder.getVersion(),
		getServerCount: fleet.getSize,
		getExpiresAt: () => leaseKeeper.holder.getExpiresAt(),
	});
	const adminServer = createServer((request, response) => {
		void handleSafely({log, request, response}, admin);
	});
	const callersPort = await listen(callers, {setting: 'callers', ...settings.callers});
	const adminPort = await listen(adminServer, {setting: 'admin', ...settings.admin});
	registerGauges();

	function registerGauges(): void {
		metrics.addGauge('guavadeck_in_flight', 'Requests in flight', () => inFlight);
		metrics.addGauge('guavadeck_document_version', 'Version of the document in force', () => leaseKeeper.holder.getVersion());
		metrics.addGauge('guavadeck_lease_seconds', 'Time until the lease ends', () => Math.max(0, leaseKeeper.holder.getExpiresAt() - performance.now()) / millisecondsPerSecond);
		metrics.addGauge('guavadeck_zones_revision', 'Revision of the zones that the entry acts on', zoneView.getRevision);
		metrics.addGauge('guavadeck_zones_out', 'Zones out of service that the entry acts on', zoneView.getZonesOutCount);
		metrics.addGauge('guavadeck_grant_age_seconds', 'Time since the renewal of the last grant was sent', zoneView.getGrantAgeSeconds);
		metrics.addGauge('guavadeck_stalls_total', 'Times in which this process did not run', stallWatch.getStallCount);
		metrics.addGauge('guavadeck_stalled_seconds_total', 'Duration of the times in which this process did not run', () => stallWatch.getStalledMilliseconds() / millisecondsPerSecond);
		metrics.addGauge('guavadeck_peers', 'Peers that counts are exchanged with', () => peerExchange?.peers.getCount() ?? 0);
		metrics.addGauge('guavadeck_exchange_frames_total', 'Count messages sent to peers', () => peerExchange?.peers.getSentFrames() ?? 0);
		metrics.addGauge('guavadeck_probe_duties', 'Servers that this entry probes', () => prober.schedule.getDuties().length);
	}

	function reportServiceLevels(): void {
		if (serviceLevelCounter !== undefined) {
			client.broadcast(serviceLevelCounter.takeReport(Math.floor(Date.now() / periodMilliseconds) * periodMilliseconds));
		}
	}

	function runHousekeeping(): void {
		stallWatch.observe();
		revokePermitsIfNeeded();
		drainQueues();
		logReadiness();
		zoneView.recordLease(leaseKeeper.holder.isValid(performance.now()));
		prober.tick();
	}

	subscription.add(interval(housekeepingIntervalMilliseconds).subscribe(runHousekeeping));
	subscription.add(interval(periodMilliseconds).subscribe(reportServiceLevels));
	if (peerExchange !== undefined) {
		subscription.add(interval(settings.exchangeMilliseconds).subscribe(peerExchange.peers.sendChanges));
	}

	async function waitForOpenRequests(): Promise<void> {
		while (inFlight > 0 || connections.getOpenCount() > 0 || claims.getUnsettledCount() > 0) {
			await delay(drainPollIntervalMilliseconds);
		}
	}

	log.info({callers: callersPort, admin: adminPort}, 'entry started');
	return {
		callersPort,
		adminPort,
		isReady,
		getInFlight: () => inFlight,
		reload(next) {
			client.setHosts(directory.setSeeds(getSeeds(next)));
		},
		async stop() {
			isDraining = true;
			logReadiness();
			await delay(getAcceptMilliseconds(settings));
			const closed = new Promise(resolve => {
				callers.close(resolve);
			});
			await waitForOpenRequests();
			// The remaining connections have no request in progress.
			callers.closeAllConnections();
			await closed;
			reportServiceLevels();
			leaseKeeper.release();
			await delay(drainPollIntervalMilliseconds);
			subscription.unsubscribe();
			leaseKeeper.stop();
			client.close();
			await peerExchange?.peers.stop();
			fleet.close();
			loadQuerier.close();
			adminServer.close();
			adminServer.closeAllConnections();
			log.info({}, 'entry stopped');
		},
	};
}

/** Gets the time for which a stopping entry goes on accepting connections. */
function getAcceptMilliseconds({graceMilliseconds, stopSeconds}: EntrySettings): number {
	return stopSeconds === undefined ? graceMilliseconds : Math.min(graceMilliseconds, stopSeconds * millisecondsPerSecond * acceptShare);
}

/** Loads the service level counter only if service levels are counted, since its histograms take memory. */
async function loadServiceLevelCounter(settings: EntrySettings): Promise<ServiceLevelCounter> {
	const {createServiceLevelCounter} = await import('../service-level/counter.js');
	return createServiceLevelCounter(settings.name, settings.environment);
}

function isFailure(verdict: Verdict): boolean {
	return verdict.kind === 'ran' ? verdict.status >= 500 : true;
}

/** Checks whether the caller caused a refusal, so that it does not count against the service level. */
function isCausedByCaller(verdict: Verdict): boolean {
	if (verdict.kind === 'ran') {
		return false;
	}

	switch (verdict.reason) {
		case 'already-ran':
		case 'bad-request':
		case 'body-too-large':
		case 'caller-left':
		case 'headers-too-large':
		case 'in-progress':
		case 'key-mismatch':
		case 'unknown-service': {
			return true;
		}

		case 'answer-malformed':
		case 'answer-mismatched':
		case 'answer-truncated':
		case 'answer-unproven':
		case 'connection-lost':
		case 'crashes-servers':
		case 'deadline':
		case 'draining':
		case 'internal-error':
		case 'lease-expired':
		case 'ledger-full':
		case 'ledger-unavailable':
		case 'no-server':
		case 'overload':
		case 'server-shed':
		case 'server-withdrawn':
		case 'unreachable':
		case 'unsendable': {
			return false;
		}
	}
}
