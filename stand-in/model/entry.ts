/**
 * Models an entry in virtual time: the handling of requests that a real entry runs, with modelled servers in place of connections.
 */
import {performance} from 'node:perf_hooks';
import {announcementSchema} from '../../source/announcement/index.js';
import {createByteBudget} from '../../source/bytes/index.js';
import {getExpectedSlowdown, type Candidate, type LoadReading} from '../../source/choice/index.js';
import {type EnvironmentDocument} from '../../source/configuration/index.js';
import {createFleet} from '../../source/entry/fleet/fleet.js';
import {type HedgingOptions} from '../../source/entry/fleet/index.js';
import {type ServerReport} from '../../source/entry/index.js';
import {type AttemptKind} from '../../source/entry/placement/request-progress.js';
import {type LoadQuery} from '../../source/entry/servers/load-querier.js';
import {type EntryMetrics} from '../../source/entry/reporting/metrics.js';
import {type RequestContext} from '../../source/entry/requests/request-context.js';
import {handleRequest} from '../../source/entry/entrance/request-handler.js';
import {createRouter} from '../../source/entry/routing/router.js';
import {createReportHandler} from '../../source/entry/fleet/server-reports.js';
import {type Random} from '../../source/randomness/index.js';
import {createSlackPart} from '../../source/retry/index.js';
import {
	emptyReport, getReport, startModelAttempt, transferMilliseconds,
} from './attempt.js';
import {createExchange, modelDialect, type CallerRequest} from './caller-exchange.js';
import {type UpstreamModel} from './upstream.js';

const upstreamConnections = 250;
const maximumBytes = 1_000_000;

/** Share of requests that may have an extra attempt, and the slack of all entries together. */
const retryRatio = 0.2;
const retrySlack = 64;

/** A modelled entry. */
export type EntryModel = {
	handle(request: CallerRequest): void;
	/** Applies what a server states, as if the entry had received it in a response. */
	applyStatement(upstream: UpstreamModel, statement: Partial<ServerReport>): void;
	/** Refuses the requests that have waited too long, and starts others; called at each interval of the entry's housekeeping. */
	keepHouse(): void;
};

/** Options of `createEntryModel`. */
export type EntryModelOptions = {
	/** Number of the entry, from 0. */
	readonly number: number;
	readonly entryCount: number;
	readonly zone: string;
	readonly document: EnvironmentDocument;
	readonly upstreams: readonly UpstreamModel[];
	readonly random: Random;
	/** Time until a connection to a server is ready; 0 if connections are open. */
	readonly connectMilliseconds: number;
	/** Whether the entry knows what servers state about leaving and pauses. */
	readonly knowsStatements: boolean;
	/** Called when the entry passes on a response of a server, or receives its refusal. */
	onStatement(entry: number, upstream: UpstreamModel, report: ServerReport): void;
	/** Called with the requests for their load that servers get. */
	onQuery(entry: number, upstream: UpstreamModel): void;
	/** Limits of hedges by recent latencies; by default, hedges start at a fixed share of the target. */
	readonly hedging?: HedgingOptions | undefined;
	/** Called with each attempt that the entry starts. */
	onAttempt?(kind: AttemptKind): void;
	/** Called with the work that a server did for an attempt that was then cancelled, in milliseconds on a server without load. */
	onCancelledWork?(milliseconds: number): void;
};

function ignore(): void {
	// Nothing is counted or logged in the model.
}

/**
 * Creates a modelled entry that knows the servers and holds a lease.
 * @param options - Servers, document and observers.
 */
export function createEntryModel(options: EntryModelOptions): EntryModel {
	const {upstreams, document, random, zone} = options;
	const slackPart = createSlackPart({
		ratio: retryRatio, slack: retrySlack, getTime: () => performance.now(), revokeIfNeeded: ignore,
	});
	slackPart.apply({part: slackPart.getReport(performance.now()).total / options.entryCount});
	const fleet = createFleet(random, {shared: slackPart, hedging: options.hedging});
	const router = createRouter(document.services, document.routes, random);
	const callerTimes = new Map<string, {readonly sentAt: number; readonly serviceMilliseconds: number}>();
	fleet.setDocument(document);
	fleet.update(upstreams.map((upstream, index) => ({
		id: index + 1,
		state: 'warm',
		isAbsent: false,
		isRemoved: false,
		announcement: announcementSchema.parse({
			service: document.services[0]!.name, name: upstream.name, host: '127.0.0.1', port: index + 1, zone: upstream.zone,
			slots: upstream.slots, connections: upstreamConnections, boot: 'one', state: 'warm',
		}),
	})), true);
	const byPool = new Map([...fleet.getServers()].map(({candidate, pool}) => [pool, upstreams[candidate.id - 1]!]));
	const metrics = {
		countAttempt(_service: string, kind: AttemptKind) {
			options.onAttempt?.(kind);
		},
		countHedge: ignore,
		countWithheldHedge: ignore,
		countRefusal: ignore,
		countEjection: ignore,
		countWithdrawal: ignore,
	} as unknown as EntryMetrics;
	const applyReport = createReportHandler({fleet, metrics, log: {info: ignore, warn: ignore, error: ignore}});

	function onReport(candidate: Candidate, report: ServerReport): void {
		options.onStatement(options.number, upstreams[candidate.id - 1]!, report);
		applyReport(candidate, options.knowsStatements ? report : {...report, isLeaving: false, pauseMilliseconds: undefined});
	}

	function query({candidates, isSufficient, onReadings}: LoadQuery): () => void {
		const readings: Array<{readonly candidate: Candidate; readonly reading: LoadReading}> = [];
		let isFinished = false;
		const timer = setTimeout(() => {
			for (const candidate of candidates) {
				const upstream = upstreams[candidate.id - 1]!;
				options.onQuery(options.number, upstream);
				const now = performance.now();
				if (!isFinished && !upstream.isGone(now)) {
					const report = getReport(upstream);
					onReport(candidate, report);
					readings.push({candidate, reading: report.load!});
					isFinished = isSufficient(candidate, report.load!);
				}
			}

			onReadings(readings.toSorted((one, other) => getExpectedSlowdown(one.reading) - getExpectedSlowdown(other.reading)));
		}, transferMilliseconds * 2);
		return () => {
			clearTimeout(timer);
		};
	}

	const unused: unknown = undefined;
	const context: RequestContext = {
		zone,
		dialect: modelDialect,
		loadQuerier: {query, close: ignore},
		queryBudget: {take: requested => requested},
		random,
		fleet,
		claims: unused as RequestContext['claims'],
		crashTracker: {
			setQuarantined: ignore, getQuarantined: () => [], isQuarantined: () => false, reportCrash: async () => false, getReports: () => [], recordSuccess: ignore,
		},
		metrics,
		discardedAnswers: unused as RequestContext['discardedAnswers'],
		maximumBodyBytes: maximumBytes,
		maximumHeldBodyBytes: maximumBytes,
		heldBodies: createByteBudget(maximumBytes),
		maximumBufferedBytes: maximumBytes,
		bufferedResponses: createByteBudget(maximumBytes),
		maximumResponseBytes: maximumBytes,
		maximumStoredBytes: maximumBytes,
		startAttempt: attempt => startModelAttempt({
			attempt,
			upstream: byPool.get(attempt.pool)!,
			entry: options.number,
			connectMilliseconds: options.connectMilliseconds,
			onCancelledWork: options.onCancelledWork,
			...callerTimes.get(attempt.requestId)!,
		}),
		getWorkspaces: () => undefined,
		mayDispatch: () => true,
		onReport,
		reportCrash: async () => false,
		createRequestId: () => '',
		startTrace: () => ({record: ignore, end: ignore}),
		onInternalError(error) {
			throw error;
		},
		onRequestEnd: ignore,
	};

	return {
		handle(request) {
			const arrivedAt = performance.now();
			const route = router.get(undefined, request.path)!;
			const state = fleet.getState(route.selectService())!;
			callerTimes.set(request.id, {sentAt: arrivedAt, serviceMilliseconds: request.serviceMilliseconds});
			const exchange = createExchange({
				...request, onResponse(response) {
					callerTimes.delete(request.id);
					request.onResponse(response);
				},
			});
			void handleRequest({
				context, route, access: {kind: 'open'}, state, exchange,
			});
		},
		applyStatement(upstream, statement) {
			applyReport(fleet.get(upstreams.indexOf(upstream) + 1)!.candidate, {...emptyReport, ...statement});
		},
		keepHouse() {
			const now = performance.now();
			for (const {queue} of fleet.getStates()) {
				queue.expire(now);
				queue.drain(now);
			}
		},
	};
}
