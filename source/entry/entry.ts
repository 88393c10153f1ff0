/** An entry: forwards HTTP requests from callers to servers while it holds a lease from the control hosts. */
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {interval, Subscription} from 'rxjs';
import {createSubsetChooser} from '../choice/index.js';
import {type Service} from '../configuration/index.js';
import {handleSafely} from '../control/http.js';
import {createStallWatch} from '../control/stall-watch.js';
import {createTransferRecorder} from '../control/traffic-kind.js';
import {createLatenessEstimate} from '../limits/index.js';
import {createLoadQueryBudget} from '../measuring/index.js';
import {createRandom} from '../randomness/index.js';
import {createQuotaTokens} from '../quota/index.js';
import {isSafeMethod} from '../retry/index.js';
import {periodMilliseconds} from '../service-level/report.js';
import {type EntrySettings, type Security} from '../settings/index.js';
import {type Log} from '../telemetry/index.js';
import {type Verdict} from '../verdict/index.js';
import {createLinkFailureLog, listen} from '../wire/index.js';
import {createByteBudget} from '../bytes/index.js';
import {
	createAnnouncementHandler, createFleet, createProber, drainQueues, createReportHandler, getHedgingOptions,
} from './fleet/index.js';
import {createCallerServer} from './callers/index.js';
import {
	createClaims, createQuotaGate, type RequestContext, createRequestIds,
} from './requests/index.js';
import {
	openControlLinks, applyGrant, createEntrySlackPart, type GrantTargets, keepLease, createEarlierStateKeeper, createReadiness, createZoneView,
} from './lease/index.js';
import {startCountsExchange} from './peers/index.js';
import {createCrashReporter, createCrashTracker} from './crashes/index.js';
import {createDiscardedAnswers, createLoadQuerier, startAttempt} from './servers/index.js';
import {createEntryMetrics, createRequestLog, createServiceLevelRecorder} from './reporting/index.js';
import {createRequestEntrance} from './entrance/index.js';
import {createAdminHandler} from './admin.js';
import {createEntryLink} from './entry-link.js';
import {defaultDialect, type Dialect} from './dialect.js';
import {registerGauges} from './entry-gauges.js';
import {createEntryState} from './entry-state.js';
import {drainCallers} from './graceful-stop.js';

const housekeepingIntervalMilliseconds = 50;

/** Time in which the final renewal is sent before the links are closed. */
const releaseDelayMilliseconds = 20;

const maximumStoredResponseBytes = 16_384;
const millisecondsPerSecond = 1000;

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
	const state = createEntryState();
	const random = createRandom(options.seed);
	const metrics = createEntryMetrics(settings.zone);
	const slackPart = createEntrySlackPart(settings.attemptBudget, () => {
		readiness.revokePermitsIfNeeded();
	});
	const quotaTokens = createQuotaTokens();
	const recordLinkFailure = createLinkFailureLog({log, count: metrics.countInternalError, getTime: () => performance.now()});
	const recordTransfer = createTransferRecorder(metrics.traffic);
	const stallWatch = createStallWatch({log, intervalMilliseconds: housekeepingIntervalMilliseconds});
	const lateness = createLatenessEstimate(housekeepingIntervalMilliseconds);
	const zoneView = createZoneView({log, isServingWithoutControl, getTime: () => performance.now()});
	const discardedAnswers = createDiscardedAnswers({log, countDiscardedAnswer: metrics.countDiscardedAnswer, getTime: () => performance.now()});
	const fleet = createFleet(random, {shared: slackPart, hedging: getHedgingOptions(settings)}, createSubsetChooser({entry: settings.name, zone: settings.zone}), {
		onUnsolicitedData(candidate, history) {
			discardedAnswers.record(candidate, {reason: 'answer-unsolicited', history});
		},
		onConnect(candidate, socket) {
			metrics.traffic.track(socket, {sent: 'request', received: 'response'}, candidate.getAnnouncement().zone);
		},
	});
	const requestLog = createRequestLog(log, () => performance.now());
	const serviceLevels = await createServiceLevelRecorder(settings);
	const subscription = new Subscription();

	const prober = createProber({
		fleet, mayProbe: now => leaseKeeper.holder.isValid(now), onResult: metrics.countProbe, onConnect(socket, zone) {
			metrics.traffic.track(socket, {sent: 'other', received: 'other'}, zone);
		},
	});
	const announcementHandler = createAnnouncementHandler({
		fleet, getClient: () => client, isLeaseValid: () => leaseKeeper.holder.isValid(performance.now()),
	});
	const peerExchange = await startCountsExchange({
		settings, security, fleet, onFailure: recordLinkFailure, onTransfer: recordTransfer,
	});
	const earlierState = createEarlierStateKeeper({
		getCurrent: () => ({absent: fleet.getAbsent(), quarantined: crashTracker.getQuarantined(), entries: state.entryCount}),
		getTime: () => performance.now(),
	});
	const leaseKeeper = keepLease({
		entry: settings.name,
		environment: settings.environment,
		renewMilliseconds: settings.lease.renewMilliseconds,
		peer: peerExchange === undefined || settings.peers === undefined ? undefined : {name: settings.name, host: settings.peers.host, port: peerExchange.port},
		getClient: () => client,
		observeSuspension() {
			readiness.revokePermitsIfNeeded();
		},
		takeObservations: fleet.takeObservations,
		getPermits: fleet.getPermits,
		getSlackReport: now => slackPart?.getReport(now),
		getQuotaReports: quotaTokens.getReports,
		isQuotaReportOwed: quotaTokens.isReportOwed,
		takeFailedProbes: prober.takeFailedServers,
		takeUnchangedServers: announcementHandler.takeUnchangedServers,
		getCrashReports: () => crashTracker.getReports(),
		getEarlierState: earlierState.get,
		applyGrant(grant, document, host) {
			applyGrant(grantTargets, {grant, document, host});
			quotaGate.serveWaiting();
		},
		setQuarantined(fingerprints) {
			crashTracker.setQuarantined([...fingerprints, ...earlierState.get()?.quarantined ?? []]);
		},
	});
	const {client, setSeeds} = openControlLinks({
		settings, security, log, leaseKeeper, onFailure: recordLinkFailure, onTransfer: recordTransfer,
	});
	const lease = leaseKeeper.holder;
	const readiness = createReadiness({
		state, fleet, slackPart, quotaTokens, lease, log, isServingWithoutControl, onSuspension: leaseKeeper.expedite,
	});
	const claims = createClaims(client, settings.environment);
	const crashTracker = createCrashTracker(client);
	const quotaGate = createQuotaGate({
		environment: settings.environment,
		process: leaseKeeper.process,
		tokens: quotaTokens,
		metrics,
		log,
		getClient: () => client,
		mayHoldTokens(now) {
			readiness.revokePermitsIfNeeded();
			return lease.isValid(now);
		},
		mayUseAnswer: readiness.mayUsePermits,
	});
	const link = createEntryLink(settings, log);

	function recordEnd(service: Service, verdict: Verdict, milliseconds: number): void {
		state.inFlight--;
		metrics.countRequest(service.name, verdict.kind, milliseconds / millisecondsPerSecond);
		serviceLevels.record(service, verdict, milliseconds);
	}

	const applyServerReport = createReportHandler({fleet, metrics, log});

	const loadQuerier = createLoadQuerier({
		dialect,
		getAgent: candidate => fleet.get(candidate.id)?.pool.agent,
		getPath: service => fleet.getState(service)?.getService().probePath ?? defaultProbePath,
		onReport: applyServerReport,
		onMiss(candidate) {
			candidate.recordMissedReply(performance.now());
		},
		onResult: metrics.countProbe,
		onTransfer({zone, sentBytes, receivedBytes}) {
			metrics.traffic.move({from: 'request', to: 'load_query'}, 'sent', zone, sentBytes);
			metrics.traffic.move({from: 'response', to: 'load_query'}, 'received', zone, receivedBytes);
		},
	});
	const context: RequestContext = {
		zone: settings.zone,
		dialect,
		loadQuerier,
		queryBudget: createLoadQueryBudget({
			queriesPerServerPerSecond: settings.questionsPerServerAndSecond, getServerCount: fleet.getSize, getEntryCount: () => state.entryCount,
		}),
		random,
		lateness,
		fleet,
		claims,
		quotaGate,
		crashTracker,
		metrics,
		discardedAnswers,
		get maximumBodyBytes() {
			return state.document?.clientLimits?.bodyBytes ?? settings.maximumBodyBytes;
		},
		maximumHeldBodyBytes: settings.maximumHeldBodyBytes,
		heldBodies: createByteBudget(settings.maximumHeldBytes),
		maximumBufferedBytes: settings.maximumHeldAnswerBytes,
		bufferedResponses: createByteBudget(settings.maximumHeldAnswersBytes),
		maximumResponseBytes: settings.maximumAnswerBytes,
		link,
		maximumStoredBytes: maximumStoredResponseBytes,
		startAttempt,
		getWorkspaces: () => state.workspaces,
		isAboveShare: workspace => state.aboveShare.has(workspace),
		mayDispatch: readiness.mayDispatch,
		onReport: applyServerReport,
		reportCrash: createCrashReporter({
			fleet, crashTracker, log, isServingWithoutControl, query: loadQuerier.query,
		}),
		createRequestId: createRequestIds(),
		startTrace: head => requestLog.start({...head, version: leaseKeeper.holder.getVersion()}),
		onRequestEnd: recordEnd,
		onInternalError(error, requestId) {
			metrics.countInternalError();
			log.error({err: error, requestId}, 'internal error while handling a request; only this request ends');
		},
	};

	const callerServer = createCallerServer({
		maximumHeaderBytes: settings.maximumHeaderBytes,
		isDraining: () => state.isDraining,
		isIdempotent: ({headers, url, method}) => state.router.get(headers.host, url ?? '/')?.isIdempotent ?? isSafeMethod(method ?? 'GET'),
		handle: createRequestEntrance({context, state, maximumHeaderBytes: settings.maximumHeaderBytes}),
	});
	const grantTargets: GrantTargets = {
		state, fleet, slackPart, quotaTokens, zoneView, prober, crashTracker, earlierState, peers: peerExchange?.peers, callerServer, lease, readiness, random, log,
	};
	const admin = createAdminHandler({
		announce: announcementHandler.handle,
		metrics: metrics.registry,
		isReady: readiness.isReady,
		getVersion: () => leaseKeeper.holder.getVersion(),
		getServerCount: fleet.getSize,
		getExpiresAt: () => leaseKeeper.holder.getExpiresAt(),
	});
	const adminServer = createServer((request, response) => {
		void handleSafely({log, request, response}, admin);
	});
	const callersPort = await listen(callerServer.server, {setting: 'callers', ...settings.callers});
	const adminPort = await listen(adminServer, {setting: 'admin', ...settings.admin});
	registerGauges(metrics, {
		state, lease, slackPart, quotaTokens, zoneView, stallWatch, lateness, prober, peers: peerExchange?.peers, link,
	});

	function reportServiceLevels(): void {
		serviceLevels.report(client);
	}

	function runHousekeeping(): void {
		stallWatch.observe();
		lateness.observe(performance.now());
		readiness.revokePermitsIfNeeded();
		drainQueues(fleet);
		readiness.logChange();
		zoneView.recordLease(leaseKeeper.holder.isValid(performance.now()));
		prober.tick();
	}

	subscription.add(interval(housekeepingIntervalMilliseconds).subscribe(runHousekeeping));
	subscription.add(interval(periodMilliseconds).subscribe(reportServiceLevels));
	if (peerExchange !== undefined) {
		subscription.add(interval(settings.exchangeMilliseconds).subscribe(peerExchange.peers.sendChanges));
	}

	log.info({callers: callersPort, admin: adminPort}, 'entry started');
	return {
		callersPort,
		adminPort,
		isReady: readiness.isReady,
		getInFlight: () => state.inFlight,
		reload: setSeeds,
		async stop() {
			await drainCallers({
				settings, state, readiness, callerServer, claims,
			});
			reportServiceLevels();
			leaseKeeper.release();
			await delay(releaseDelayMilliseconds);
			subscription.unsubscribe();
			leaseKeeper.stop();
			client.close();
			await peerExchange?.peers.stop();
			fleet.close();
			adminServer.close();
			adminServer.closeAllConnections();
			log.info({}, 'entry stopped');
		},
	};
}
