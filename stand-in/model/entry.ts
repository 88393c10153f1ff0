/**
 * Models an entry in virtual time: the handling of requests that a real entry runs, with modelled servers in place of connections.
 */
import {performance} from 'node:perf_hooks';
import {announcementSchema} from '../../source/announcement/index.js';
import {createByteBudget} from '../../source/bytes/index.js';
import {
	createSubsetChooser, getExpectedSlowdown, type Candidate, type LoadReading,
} from '../../source/choice/index.js';
import {type EnvironmentDocument} from '../../source/configuration/index.js';
import {createFleet} from '../../source/entry/fleet/fleet.js';
import {type HedgingOptions} from '../../source/entry/fleet/index.js';
import {type ServerReport} from '../../source/entry/index.js';
import {type AttemptKind} from '../../source/entry/placement/request-progress.js';
import {type CandidateReading, type LoadQuery} from '../../source/entry/servers/load-querier.js';
import {type EntryMetrics} from '../../source/entry/reporting/metrics.js';
import {type RequestContext} from '../../source/entry/requests/request-context.js';
import {handleRequest} from '../../source/entry/entrance/request-handler.js';
import {createRouter} from '../../source/entry/routing/router.js';
import {createReportHandler} from '../../source/entry/fleet/server-reports.js';
import {type Random} from '../../source/randomness/index.js';
import {createWorkspaceIndex} from '../../source/workspace/index.js';
import {createLatenessEstimate} from '../../source/limits/index.js';
import {createSlackPart} from '../../source/retry/index.js';
import {emptyReport, getReport, startModelAttempt} from './attempt.js';
import {createExchange, modelDialect, type CallerRequest} from './caller-exchange.js';
import {type Reception, type UpstreamModel} from './upstream.js';

const upstreamConnections = 250;

/** Time that a message between an entry and a server takes, unless the options set one. */
const defaultTransferMilliseconds = 1;
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
	/** Times that a message to a server in the own zone and in another one takes. */
	readonly transferMilliseconds?: {readonly ownZone: number; readonly otherZone: number};
	/** Whether the entry knows what servers state about leaving and pauses. */
	readonly knowsStatements: boolean;
	/** Called when the entry passes on a response of a server, or receives its refusal. */
	onStatement(entry: number, upstream: UpstreamModel, report: ServerReport): void;
	/** Called with the requests for their load that servers get. */
	onQuery(entry: number, upstream: UpstreamModel): void;
	/** Called with the attempts on servers. */
	onAttempt?(entry: number, upstream: UpstreamModel): void;
	/** Called when a request has reached a server, with the load before it and how the server takes it. */
	onReception?(load: LoadReading, kind: Reception['kind']): void;
	/** Checks whether messages between the entry and a server arrive; by default they do. */
	isReachable?(upstream: UpstreamModel): boolean;
	/** Checks whether a workspace uses more than its share; by default none does. */
	isAboveShare?(workspace: string): boolean;
	/** Limits of hedges by recent latencies; by default, hedges start at a fixed share of the target. */
	readonly hedging?: HedgingOptions | undefined;
	/** Called with each attempt that the entry starts. */
	onAttemptKind?(kind: AttemptKind): void;
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
	const {ownZone, otherZone} = options.transferMilliseconds ?? {ownZone: defaultTransferMilliseconds, otherZone: defaultTransferMilliseconds};
	const slackPart = createSlackPart({
		ratio: retryRatio, slack: retrySlack, getTime: () => performance.now(), revokeIfNeeded: ignore,
	});
	slackPart.apply({part: slackPart.getReport(performance.now()).total / options.entryCount});
	const fleet = createFleet(random, {shared: slackPart, hedging: options.hedging}, createSubsetChooser({entry: `entry-${options.number}`, zone}));
	const workspaces = document.workspaces === undefined ? undefined : createWorkspaceIndex(document.workspaces);
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
			options.onAttemptKind?.(kind);
		},
		countHedge: ignore,
		countWithheldHedge: ignore,
		countYield: ignore,
		countRefusal: ignore,
		countEjection: ignore,
		countWithdrawal: ignore,
	} as unknown as EntryMetrics;
	const applyReport = createReportHandler({fleet, metrics, log: {info: ignore, warn: ignore, error: ignore}});

	function onReport(candidate: Candidate, report: ServerReport): void {
		options.onStatement(options.number, upstreams[candidate.id - 1]!, report);
		applyReport(candidate, options.knowsStatements ? report : {...report, isLeaving: false, pauseMilliseconds: undefined});
	}

	function getTransferMilliseconds(upstream: UpstreamModel): number {
		return upstream.zone === zone ? ownZone : otherZone;
	}

	function isReachable(upstream: UpstreamModel): boolean {
		return options.isReachable?.(upstream) ?? true;
	}

	function query({candidates, isSufficient, onReadings, waitMilliseconds}: LoadQuery): () => void {
		const readings: CandidateReading[] = [];
		let pendingCount = candidates.length;
		let isFinished = false;

		function finish(): void {
			if (!isFinished) {
				isFinished = true;
				clearTimeout(timer);
				onReadings(readings.toSorted((one, other) => getExpectedSlowdown(one.reading) - getExpectedSlowdown(other.reading)));
			}
		}

		function queryOne(candidate: Candidate, upstream: UpstreamModel): void {
			if (upstream.isGone(performance.now()) || !isReachable(upstream)) {
				candidate.recordMissedReply(performance.now());
				return;
			}

			const report = getReport(upstream);
			onReport(candidate, report);
			readings.push({candidate, reading: report.load!});
			pendingCount--;
			if (pendingCount === 0 || isSufficient(candidate, report.load!)) {
				finish();
			}
		}

		const timer = setTimeout(finish, waitMilliseconds);
		for (const candidate of candidates) {
			const upstream = upstreams[candidate.id - 1]!;
			options.onQuery(options.number, upstream);
			setTimeout(queryOne, getTransferMilliseconds(upstream) * 2, candidate, upstream);
		}

		return () => {
			isFinished = true;
			clearTimeout(timer);
		};
	}

	const unused: unknown = undefined;
	const context: RequestContext = {
		zone,
		dialect: modelDialect,
		loadQuerier: {query},
		queryBudget: {take: requested => requested, giveBack: ignore},
		random,
		lateness: createLatenessEstimate(1),
		fleet,
		claims: unused as RequestContext['claims'],
		quotaGate: {enter: () => ({kind: 'unlimited'})},
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
		link: undefined,
		maximumStoredBytes: maximumBytes,
		startAttempt(attempt) {
			const upstream = byPool.get(attempt.pool)!;
			options.onAttempt?.(options.number, upstream);
			return startModelAttempt({
				attempt,
				upstream,
				onReception: options.onReception,
				onCancelledWork: options.onCancelledWork,
				entry: options.number,
				connectMilliseconds: options.connectMilliseconds,
				transferMilliseconds: getTransferMilliseconds(upstream),
				isReachable: () => isReachable(upstream),
				...callerTimes.get(attempt.requestId)!,
			});
		},
		getWorkspaces: () => workspaces,
		isAboveShare: workspace => options.isAboveShare?.(workspace) ?? false,
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
				context, route, access: request.workspace === undefined ? {kind: 'open'} : {kind: 'granted', workspace: request.workspace, digest: request.workspace.keyDigests[0]!}, state, exchange,
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
