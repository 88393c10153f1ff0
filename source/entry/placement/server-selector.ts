/**
 * Selects the server of one attempt. If the service is configured for load queries, servers are queried until one has room, up to
 * a limit. If no queried server has room, possibly after one short wait, none is selected and the
 * request can be refused without being sent.
 */
import {performance} from 'node:perf_hooks';
import {type Admission, type Candidate} from '../../choice/index.js';
import {sustainedShortage} from '../../limits/index.js';
import {type CandidateReading} from '../servers/index.js';
import {type RequestContext} from '../requests/index.js';
import {type ServiceState} from '../fleet/index.js';
import {type Access, type RequestRank} from '../../workspace/index.js';
import {type RoutePolicy} from '../routing/index.js';
import {type Decision} from '../reporting/index.js';
import {createQueryPlan, type QueryPlan} from './query-plan.js';
import {runQueryPlan} from './query-run.js';
import {formatReading, isFastEnough} from './reading-choice.js';
import {createWorkspaceAdmission} from './workspace-admission.js';

/** Time to wait for replies to a load query, unless the document sets one. */
const defaultQueryMilliseconds = 10;

/** Factor by which the number of queried servers may exceed the configured one before a request is refused; with 2, slots stay free for longer in a shortage. */
const maximumQueryFactor = 3;

/** Share of the target latency for which a request without a server may wait before a last query. */
const maximumWaitTargetShare = 0.125;

/** Time of the last queries as a share of that of the first ones, of which there are more. */
const lastQueryShare = 0.5;

/** Minimum wait that is worth another query. */
const minimumWaitMilliseconds = 4;

/** Queries of one selection, and what came before them. */
type Selection = {
	readonly plan: QueryPlan;
	/** Whether another attempt is already running, so that only a fast server is worth a second one. */
	readonly isHedge: boolean;
	/** Whether the request may still wait for a server to have room. */
	readonly mayWait: boolean;
	readonly startedAt: number;
	/** Readings of the servers that had no room before the wait. */
	readonly earlierReadings: readonly CandidateReading[];
};

/** Receives the selected server, or undefined when none has room. */
export type SelectionCallback = (candidate: Candidate | undefined) => void;

/** Selects the servers of one request. */
export type ServerSelector = {
	/** Chooses a server by the load that the entry has recorded, without a query. */
	chooseImmediately(now: number): Candidate | undefined;
	/** Selects a server, after load queries if the service is configured for them. */
	select(callback: SelectionCallback): void;
	/** Selects a server for a hedge, which must have an acceptable slowdown if servers are queried. */
	selectForHedge(callback: SelectionCallback): void;
	/** Cancels the pending query or wait. */
	cancel(): void;
};

/** Options of a server selector. */
export type ServerSelectorOptions = {
	readonly context: RequestContext;
	readonly state: ServiceState;
	readonly route: RoutePolicy;
	readonly rank: RequestRank;
	readonly access: Access;
	/** Servers that have already received an attempt. */
	readonly excluded: ReadonlySet<number>;
	/** Zones in which an attempt has failed. */
	readonly avoidedZones: ReadonlySet<string>;
	/** Whether the request is unlikely to meet its target latency. */
	readonly isLate: boolean;
	/** Records a decision for the log. */
	recordDecision(decision: Decision): void;
};

/**
 * Creates the server selector of one request.
 * @param options - Service, route and results of earlier attempts.
 */
export function createServerSelector(options: ServerSelectorOptions): ServerSelector {
	const {
		context, state, route, access, excluded, avoidedZones,
	} = options;
	const {zone} = context;
	const workspaceAdmission = createWorkspaceAdmission({context, state, access});
	let cancelPending: (() => void) | undefined;

	function choose(now: number): Candidate | undefined {
		return state.getChooser().choose({
			candidates: state.getCandidates(), excluded, zone, avoidedZones, now,
		});
	}

	/** Starts the queries of a selection. */
	function startQueries(previous: Omit<Selection, 'plan'>, callback: SelectionCallback): void {
		const {askedCandidates = 0} = state.getService();
		const {queryBudget} = context;
		let isComplete = false;
		const now = performance.now();
		const granted = queryBudget.take(askedCandidates, now) + (previous.mayWait ? queryBudget.take(askedCandidates * (maximumQueryFactor - 1), now) : 0);
		const plan = createQueryPlan({
			pools: state.getPools(),
			zoneRoom: state.zoneRoom,
			zone,
			excluded,
			avoidedZones,
			count: Math.min(askedCandidates, granted),
			maximumCount: granted,
			getAdmission,
			random: context.random,
		});
		cancelPending = undefined;
		const cancel = runQueryPlan({
			plan,
			loadQuerier: context.loadQuerier,
			waitMilliseconds: state.getService().askMilliseconds ?? defaultQueryMilliseconds,
			onComplete() {
				isComplete = true;
				cancelPending = undefined;
				queryBudget.giveBack(granted - plan.getQueryCount());
				finishQueries({...previous, plan}, callback);
			},
		});
		if (!isComplete) {
			cancelPending = () => {
				cancel();
				queryBudget.giveBack(granted - plan.getQueryCount());
			};
		}
	}

	/** Selects the best server, waits once for room, or ends without a server. */
	function finishQueries(selection: Selection, callback: SelectionCallback): void {
		const {
			plan, isHedge, earlierReadings,
		} = selection;
		const now = performance.now();
		const best = plan.getBest(now);
		const readings = [...earlierReadings, ...plan.getReadings()];
		// Each request counts once; one that waited for room has already been counted.
		if (!isHedge && earlierReadings.length === 0 && readings.length > 0) {
			state.shortageEstimate.recordPlacement(plan.hasFoundCapacity(), now);
			workspaceAdmission.recordPlacement(plan.hasFoundCapacity());
		}

		if (isHedge && (best === undefined || !isFastEnough(best.reading))) {
			callback(undefined);
			return;
		}

		if (best !== undefined) {
			options.recordDecision({
				kind: 'place', server: best.candidate.getAnnouncement().name, reading: formatReading(best.reading), answered: readings.length,
			});
			callback(best.candidate);
			return;
		}

		// If no server replied, the choice falls back to the load that the entry has recorded.
		if (readings.length === 0) {
			callback(choose(now));
			return;
		}

		waitForRoom(selection, readings, callback);
	}

	function waitForRoom({mayWait, startedAt, isHedge}: Selection, readings: readonly CandidateReading[], callback: SelectionCallback): void {
		const elapsedMilliseconds = performance.now() - startedAt;
		const waitMilliseconds = ((route.targetMilliseconds ?? 0) * maximumWaitTargetShare) - elapsedMilliseconds - (elapsedMilliseconds * lastQueryShare);
		if (!mayWait || waitMilliseconds < minimumWaitMilliseconds) {
			options.recordDecision({
				kind: 'noRoom',
				readings: readings.map(({candidate, reading}) => `${candidate.getAnnouncement().name} ${formatReading(reading)}`),
				waited: !mayWait,
				shortage: roundToHundredths(state.shortageEstimate.getShortage()),
			});
			callback(undefined);
			return;
		}

		const timer = setTimeout(() => {
			startQueries({
				isHedge, mayWait: false, startedAt, earlierReadings: readings,
			}, callback);
		}, waitMilliseconds);
		cancelPending = () => {
			clearTimeout(timer);
		};
	}

	/** Checks whether the request goes last in a sustained shortage, so that more queries and a wait would rarely find it a server. */
	function yields(): boolean {
		const {isLate, shortage} = getAdmission(performance.now());
		return isLate && shortage >= sustainedShortage;
	}

	function getAdmission(now: number): Admission {
		const {isUrgent, isOutranked} = options.rank;
		return {
			isUrgent, isOutranked, isLate: options.isLate || workspaceAdmission.isAboveShare(now), shortage: state.shortageEstimate.getShortage(),
		};
	}

	function startSelection(isHedge: boolean, callback: SelectionCallback): void {
		if ((state.getService().askedCandidates ?? 0) === 0) {
			callback(choose(performance.now()));
			return;
		}

		const yieldReason = workspaceAdmission.getYieldReason(performance.now());
		if (yieldReason !== undefined) {
			context.metrics.countYield(yieldReason);
			options.recordDecision({kind: 'yield', reason: yieldReason});
			callback(undefined);
			return;
		}

		startQueries({
			isHedge, mayWait: !isHedge && !yields(), startedAt: performance.now(), earlierReadings: [],
		}, callback);
	}

	return {
		chooseImmediately: choose,
		select(callback) {
			startSelection(false, candidate => {
				workspaceAdmission.recordResult(candidate !== undefined, performance.now());
				callback(candidate);
			});
		},
		selectForHedge(callback) {
			startSelection(true, callback);
		},
		cancel() {
			cancelPending?.();
		},
	};
}

function roundToHundredths(share: number): number {
	return Math.round(share * 100) / 100;
}
