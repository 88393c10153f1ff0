/** An entry: HTTP from callers, HTTP to servers, under a lease from the control hosts. */
import {randomBytes} from 'node:crypto';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {interval, Subscription} from 'rxjs';
import {createPeerCounts, createCountsReporter, type Candidate} from '../choice/index.js';
import {type ClientLimits, type EnvironmentDocument} from '../configuration/index.js';
import {createControlClient, createHostDirectory, type ControlClient} from '../control-client/index.js';
import {createSuspensionDetector, type Grant} from '../lease/index.js';
import {createLoadQueryBudget} from '../measuring/index.js';
import {createRandom} from '../randomness/index.js';
import {type ServiceLevelCounter} from '../service-level/counter.js';
import {periodMilliseconds} from '../service-level/report.js';
import {getSeeds, type EntrySettings, type Security} from '../settings/index.js';
import {type Log} from '../telemetry/index.js';
import {notRun, type Verdict} from '../verdict/index.js';
import {listen} from '../wire/index.js';
import {sendVerdict} from './response.js';
import {createAdminHandler} from './admin.js';
import {createLoadQuerier} from './load-querier.js';
import {createAnnouncementHandler} from './announcement-handler.js';
import {handleRequest, type RequestContext} from './request-handler.js';
import {createClaims} from './claims.js';
import {createCrashCheck} from './crash-check.js';
import {defaultDialect, type Dialect, type ServerReport} from './dialect.js';
import {createFleet} from './fleet.js';
import {keepLease} from './lease-keeper.js';
import {createEntryMetrics} from './metrics.js';
import {startPeerExchange, type PeerExchange} from './peer-exchange.js';
import {createProber} from './prober.js';
import {createRouter, type Router} from './router.js';
import {createRequestLog} from './request-log.js';
import {createCrashTracker} from './crash-tracker.js';

const housekeepingMilliseconds = 50;
const drainCheckMilliseconds = 20;
const callerKeepAliveMilliseconds = 65_000;
const headersTimeoutMilliseconds = 10_000;
const requestTimeoutMilliseconds = 60_000;
const storedAnswerBytes = 16_384;

/** Time beyond the limit of callers' headers that covers the entry's own delay, in milliseconds. */
const headersMarginMilliseconds = 1000;

/** Entries that are assumed until a control host tells how many there are. */
const largestEntries = 100;

/** Changed servers that one line of the log names at most. */
const toldServers = 40;

/** Time after which a caller may return to an entry that knows no document yet, in milliseconds; entries learn one within some hundred. */
const unroutedReturnMilliseconds = 150;

const ordinaryProbePath = '/health';

/** A running entry. */
export type Entry = {
	readonly callersPort: number;
	readonly adminPort: number;
	isReady(): boolean;
	/** Stops gracefully: not ready, grace, then every request in flight finishes. */
	stop(): Promise<void>;
	getInFlight(): number;
	/** Takes settings that were read again; of them the seeds change while it runs. */
	reload(next: EntrySettings): void;
};

/** Options of `startEntry`. */
export type EntryOptions = {
	readonly settings: EntrySettings;
	readonly security: Security;
	readonly log: Log;
	readonly seed: number;
	/** Headers of callers and servers; the product's own by default. */
	readonly dialect?: Dialect;
};

/**
 * Starts an entry.
 * @param options - Settings, keys and log.
 */
export async function startEntry(options: EntryOptions): Promise<Entry> {
	const {settings, security, log, dialect = defaultDialect} = options;
	const isServingAlone = settings.withoutControl === 'serve';
	const random = createRandom(options.seed);
	const metrics = createEntryMetrics();
	const {attemptBudget} = settings;
	const fleet = createFleet(random, attemptBudget === undefined
		? undefined
		: {
			ratio: attemptBudget.ratio, getSlack: () => attemptBudget.slack / entries,
		});
	const suspension = createSuspensionDetector();
	const storyteller = createRequestLog(log, () => performance.now());
	const counts = createPeerCounts();
	const counter = settings.serviceLevels ? await createCounter(settings) : undefined;
	const subscription = new Subscription();
	const idPrefix = randomBytes(6).toString('hex');
	let router: Router = createRouter([]);
	let document: EnvironmentDocument | undefined;
	let isDraining = false;
	let inFlight = 0;
	let entries = largestEntries;
	let unfinished = 0;
	let nextId = 1;
	let wasReady = false;

	const prober = createProber({
		fleet, mayProbe: now => keeper.holder.isValid(now), recordProbe: metrics.countProbe,
	});
	const announcementHandler = createAnnouncementHandler({
		fleet, getClient: () => client, isLeaseValid: () => keeper.holder.isValid(performance.now()),
	});
	const started = await startExchange();
	const keeper = keepLease({
		entry: settings.name,
		environment: settings.environment,
		renewMilliseconds: settings.lease.renewMilliseconds,
		peer: started === undefined || settings.peers === undefined ? undefined : {name: settings.name, host: settings.peers.host, port: started.port},
		getClient: () => client,
		takeObservations: fleet.takeObservations,
		takeFailedProbes: prober.takeFailedServers,
		takeUnchangedServers: announcementHandler.takeUnchangedServers,
		applyGrant: enforce,
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

			keeper.receive(host, message);
		},
		onDisconnect(host) {
			log.warn({host, leaseMilliseconds: Math.round(keeper.holder.getExpiresAt() - performance.now())}, 'control host lost');
		},
		onConnect(host) {
			log.info({host}, 'control host reached');
			keeper.renew();
		},
	});
	const claims = createClaims(client, settings.environment);
	const crashTracker = createCrashTracker(client);

	async function startExchange(): Promise<PeerExchange | undefined> {
		return settings.peers === undefined
			? undefined
			: startPeerExchange({
				identity: security.link,
				address: settings.peers,
				counts,
				reporter: createCountsReporter(settings.name),
				getOwnCounts: () => [...fleet.getServers()].map(({candidate}) => ({server: candidate.id, inFlight: candidate.getInFlight()})),
				countsChanged(servers) {
					for (const id of servers) {
						fleet.get(id)?.candidate.setPeerInFlight(counts.get(id));
					}
				},
			});
	}

	function enforce(grant: Grant, next: EnvironmentDocument | undefined): void {
		if (next !== undefined) {
			document = next;
			router = createRouter(document.services, document.routes, random);
			limitCallers(document.clientLimits);
			fleet.setDocument(document);
			log.info({version: grant.version}, 'document in force');
		}

		if (grant.isWhole || grant.servers.length > 0) {
			fleet.update(grant.servers, grant.isWhole);
			logServers(grant);
		}

		entries = Math.max(1, grant.entries);
		if (fleet.setZonesOutOfService(grant.zonesOut)) {
			log.info({zonesOut: grant.zonesOut, epoch: grant.epoch}, 'zones out of service');
		}

		fleet.setPermits(grant.permits, performance.now());
		if (grant.peers !== undefined) {
			fleet.setConnectionShare(grant.peers.length + 1);
			started?.peers.setAddresses(grant.peers);
		}

		prober.schedule.assign(grant.duties, grant.probeMilliseconds, performance.now());
		crashTracker.setQuarantined(grant.quarantined);
		drainQueues();
	}

	/** Tells which servers changed, with the leader and the revision that say so; of a long list only the number. */
	function logServers(grant: Grant): void {
		const {epoch, revision, isWhole, servers} = grant;
		const changes = servers.slice(0, toldServers).map(({announcement, state, isAbsent, isRemoved}) => `${announcement.name} ${isRemoved ? 'gone' : state}${isAbsent ? ', absent' : ''}`);
		log.info({
			epoch, revision, isWhole, servers: servers.length, changes: isWhole ? [] : changes,
		}, 'servers changed');
	}

	/** Lets idle callers stay connected for as long as the document says. */
	function limitCallers(limits: ClientLimits | undefined): void {
		if (limits !== undefined) {
			callers.keepAliveTimeout = limits.idleMilliseconds;
			callers.headersTimeout = limits.headerMilliseconds + headersMarginMilliseconds;
		}
	}

	/** Permits for cold servers end with the lease, and with any time that the host was suspended. */
	function endPermitsWhenDue(): void {
		if (suspension.hasBeenSuspended(Date.now(), performance.now()) || !keeper.holder.isValid(performance.now())) {
			fleet.endPermits();
		}
	}

	function mayDispatch(now: number): boolean {
		endPermitsWhenDue();
		return isServingAlone ? document !== undefined : keeper.holder.isValid(now);
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
		return !isDraining && document !== undefined && (isServingAlone || keeper.holder.isValid(performance.now()));
	}

	function logReadiness(): void {
		if (isReady() !== wasReady) {
			wasReady = !wasReady;
			log.info({ready: wasReady, version: keeper.holder.getVersion()}, wasReady ? 'ready' : 'not ready');
		}
	}

	function createRequestId(): string {
		return `${idPrefix}-${(nextId++).toString(36)}`;
	}

	function ended(service: {readonly name: string; readonly objective: {readonly latencyMilliseconds: number}}, verdict: Verdict, milliseconds: number): void {
		inFlight--;
		metrics.countRequest(service.name, verdict.kind, milliseconds / 1000);
		if (!isCallersFault(verdict)) {
			counter?.record(service.name, milliseconds, isFailure(verdict), milliseconds > service.objective.latencyMilliseconds);
		}
	}

	/** Takes what a server says of itself, in answers and when it is asked. */
	function hinted(candidate: Candidate, hints: ServerReport): void {
		const {coldMilliseconds = 0, load} = hints;
		if (coldMilliseconds > 0) {
			const isRated = fleet.getState(candidate.getAnnouncement().service)?.getService().warmUp !== undefined;
			candidate.markCold(isRated ? performance.now() + coldMilliseconds : undefined);
		}

		if (load !== undefined) {
			candidate.setReportedLoad(load.running + load.waiting);
		}
	}

	const asker = createLoadQuerier({
		dialect,
		getPath: service => fleet.getState(service)?.getService().probePath ?? ordinaryProbePath,
		onReport: hinted,
		onMiss(candidate) {
			candidate.recordMissedReply(performance.now());
		},
		onResult: metrics.countProbe,
	});
	const crashCheck = createCrashCheck({
		query: asker.query,
		reportCrash(fingerprint, server) {
			log.warn({fingerprint, server}, 'a server is gone after it took a request');
			void crashTracker.reportCrash(fingerprint, server);
		},
		schedule(run, milliseconds) {
			setTimeout(run, milliseconds);
		},
	});
	const context: RequestContext = {
		zone: settings.zone,
		dialect,
		loadQuerier: asker,
		queryBudget: createLoadQueryBudget({
			queriesPerServerPerSecond: settings.questionsPerServerAndSecond, getServerCount: fleet.getSize, getEntryCount: () => entries,
		}),
		random,
		fleet,
		claims,
		crashTracker,
		metrics,
		get maximumBodyBytes() {
			return document?.clientLimits?.bodyBytes ?? settings.maximumBodyBytes;
		},
		maximumHeldBytes: settings.maximumHeldAnswerBytes,
		maximumStoredBytes: storedAnswerBytes,
		mayDispatch,
		onReport: hinted,
		async reportCrash(fingerprint, server) {
			const candidate = fleet.get(server)?.candidate;
			if (!isServingAlone || candidate === undefined) {
				return crashTracker.reportCrash(fingerprint, server);
			}

			// An entry that serves alone waits for no control host, and first makes sure that the server is gone.
			crashCheck.check(fingerprint, candidate);
			return crashTracker.isQuarantined(() => fingerprint);
		},
		isClosing: () => isDraining,
		createRequestId,
		startTrace: head => storyteller.start({...head, version: keeper.holder.getVersion()}),
		onRequestEnd: ended,
	};

	function handle(request: IncomingMessage, response: ServerResponse): void {
		unfinished++;
		response.on('error', () => {
			response.destroy();
		});
		response.once('close', () => {
			unfinished--;
		});
		const route = router.get(request.headers.host, request.url ?? '/');
		const state = route === undefined ? undefined : fleet.getState(route.selectService());
		if (route === undefined || state === undefined) {
			const verdict = document === undefined ? notRun('lease-expired') : notRun('unknown-service');
			metrics.countRefusal(document === undefined ? 'lease-expired' : 'unknown-service');
			sendVerdict({
				dialect, response, verdict, requestId: createRequestId(), isClosing: isDraining, retryAfterMilliseconds: unroutedReturnMilliseconds,
			});
			return;
		}

		inFlight++;
		handleRequest(context, route, state, request, response).catch((error: unknown) => {
			log.error({error}, 'a request failed inside the entry');
			response.destroy();
		});
	}

	const callers = createServer({
		maxHeaderSize: settings.maximumHeaderBytes, keepAliveTimeout: callerKeepAliveMilliseconds, headersTimeout: headersTimeoutMilliseconds, requestTimeout: requestTimeoutMilliseconds, noDelay: true,
	}, handle);
	callers.on('checkContinue', handle);
	callers.on('upgrade', (_request, socket) => {
		socket.end('HTTP/1.1 400 Bad Request\r\nguavadeck-verdict: not-run\r\nguavadeck-reason: bad-request\r\ncontent-length: 0\r\nconnection: close\r\n\r\n');
	});
	callers.on('clientError', (error: NodeJS.ErrnoException, socket) => {
		if (error.code === 'ECONNRESET' || !socket.writable) {
			socket.destroy();
			return;
		}

		const status = error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : '400 Bad Request';
		socket.end(`HTTP/1.1 ${status}\r\nguavadeck-verdict: not-run\r\nguavadeck-reason: bad-request\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`);
	});

	const admin = createAdminHandler({
		announce: announcementHandler.handle, metrics: metrics.registry, isReady, getVersion: () => keeper.holder.getVersion(), getServerCount: fleet.getSize, getExpiresAt: () => keeper.holder.getExpiresAt(),
	});
	const adminServer = createServer((request, response) => {
		void admin(request, response);
	});
	const callersPort = await listen(callers, {setting: 'callers', ...settings.callers});
	const adminPort = await listen(adminServer, {setting: 'admin', ...settings.admin});
	registerGauges();

	function registerGauges(): void {
		metrics.addGauge('guavadeck_in_flight', 'Requests in flight', () => inFlight);
		metrics.addGauge('guavadeck_document_version', 'Version of the document in force', () => keeper.holder.getVersion());
		metrics.addGauge('guavadeck_lease_seconds', 'Time until the lease ends', () => Math.max(0, keeper.holder.getExpiresAt() - performance.now()) / 1000);
		metrics.addGauge('guavadeck_peers', 'Peers that counts are exchanged with', () => started?.peers.getCount() ?? 0);
		metrics.addGauge('guavadeck_exchange_frames_total', 'Count messages sent to peers', () => started?.peers.getSentFrames() ?? 0);
		metrics.addGauge('guavadeck_probe_duties', 'Servers that this entry probes', () => prober.schedule.getDuties().length);
	}

	function report(): void {
		if (counter !== undefined) {
			client.broadcast(counter.take(Math.floor(Date.now() / periodMilliseconds) * periodMilliseconds));
		}
	}

	function keepHouse(): void {
		endPermitsWhenDue();
		drainQueues();
		logReadiness();
		prober.tick();
	}

	subscription.add(interval(housekeepingMilliseconds).subscribe(keepHouse));
	subscription.add(interval(periodMilliseconds).subscribe(report));
	if (started !== undefined) {
		subscription.add(interval(settings.exchangeMilliseconds).subscribe(started.peers.sendChanges));
	}

	async function finishInFlight(): Promise<void> {
		while (inFlight > 0 || unfinished > 0 || claims.getUnsettledCount() > 0) {
			await delay(drainCheckMilliseconds);
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
			await delay(settings.graceMilliseconds);
			const closed = new Promise(resolve => {
				callers.close(resolve);
			});
			callers.closeIdleConnections();
			await finishInFlight();
			// What is left are connections on which no request is under way.
			callers.closeAllConnections();
			await closed;
			report();
			keeper.release();
			await delay(drainCheckMilliseconds);
			subscription.unsubscribe();
			keeper.stop();
			client.close();
			await started?.peers.stop();
			fleet.close();
			asker.close();
			adminServer.close();
			adminServer.closeAllConnections();
			log.info({}, 'entry stopped');
		},
	};
}

/** Loads what counts service levels only where they are counted, since its histograms take memory. */
async function createCounter(settings: EntrySettings): Promise<ServiceLevelCounter> {
	const {createServiceLevelCounter} = await import('../service-level/counter.js');
	return createServiceLevelCounter(settings.name, settings.environment);
}

function isFailure(verdict: Verdict): boolean {
	return verdict.kind === 'ran' ? verdict.status >= 500 : true;
}

/** Checks whether a refusal says nothing about the service. */
function isCallersFault(verdict: Verdict): boolean {
	if (verdict.kind === 'ran') {
		return false;
	}

	switch (verdict.reason) {
		case 'already-ran':
		case 'bad-request':
		case 'body-too-large':
		case 'caller-left':
		case 'in-progress':
		case 'key-mismatch':
		case 'unknown-service': {
			return true;
		}

		case 'answer-mismatched':
		case 'answer-truncated':
		case 'connection-lost':
		case 'crashes-servers':
		case 'deadline':
		case 'draining':
		case 'lease-expired':
		case 'ledger-full':
		case 'ledger-unavailable':
		case 'no-server':
		case 'overload':
		case 'server-shed':
		case 'unreachable': {
			return false;
		}
	}
}
