/**
 * Selects the server of one attempt. If the service is configured for load queries, a few candidates are queried first, and
 * others if none of them has room. If still no queried server has room, possibly after one short wait, none is selected and the
 * request can be refused without being sent.
 */
import {performance} from 'node:perf_hooks';
import {
	isBelowKnee, isUncongested, selectQueryCandidates, type Candidate,
} from '../../choice/index.js';
import {type CandidateReading} from '../servers/index.js';
import {type RequestContext} from '../requests/index.js';
import {type ServiceState} from '../fleet/index.js';
import {type RequestRank} from '../../workspace/index.js';
import {type RoutePolicy} from '../routing/index.js';
import {type Decision} from '../reporting/index.js';
import {
	findBestWithRoom, formatReading, getBetter, isFastEnough, type ReadingCriteria,
} from './reading-choice.js';

/** Time to wait for replies to a load query, unless the document sets one. */
const defaultQueryMilliseconds = 10;

/** Query rounds before a request is refused: the first queries the nearest candidates, the second others. */
const maximumQueryRounds = 2;

/** Share of the target latency for which a request without a server may wait before a last query. */
const maximumWaitTargetShare = 0.125;

/** Minimum wait that is worth another query. */
const minimumWaitMilliseconds = 4;

/** State of a selection after the query rounds so far. */
type SelectionState = {
	readonly count: number;
	/** Ids of excluded and already queried servers. */
	readonly queried: Set<number>;
	readonly roundsLeft: number;
	/** Number of replies received in earlier rounds. */
	readonly replyCount: number;
	/** Whether a server was below its knee, or had an acceptable slowdown beyond it in the first round. */
	readonly hasFoundCapacity: boolean;
	/** Formatted readings of all replies, logged when no server has room. */
	readonly loggedReadings: readonly string[];
	/** Best server with room among the replies so far. */
	readonly best: CandidateReading | undefined;
	/** Whether another attempt is already running, so that only a fast server is worth a second one. */
	readonly isHedge: boolean;
	/** Whether the request may still wait for a server to have room. */
	readonly mayWait: boolean;
	readonly startedAt: number;
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
		context, state, route, excluded, avoidedZones,
	} = options;
	const {zone} = context;
	let cancelPending: (() => void) | undefined;
	let isCancelled = false;

	function choose(now: number): Candidate | undefined {
		return state.getChooser().choose({
			candidates: state.getCandidates(), excluded, zone, avoidedZones, now,
		});
	}

	function selectCandidates(selection: SelectionState): readonly Candidate[] {
		const now = performance.now();
		return selectQueryCandidates({
			candidates: state.getCandidates(),
			excluded: selection.queried,
			zone,
			avoidedZones,
			count: context.queryBudget.take(selection.count, now),
			prefersOwnZone: selection.replyCount === 0 || selection.best !== undefined,
			subset: state.getSubset(),
			now,
		}, context.random);
	}

	/** Queries some candidates, and others in a further round when none has room or all are slow. */
	function queryCandidates(selection: SelectionState, callback: SelectionCallback): void {
		const candidates = selectCandidates(selection);
		if (candidates.length === 0) {
			finishQueries(selection, callback);
			return;
		}

		cancelPending = context.loadQuerier.query({
			candidates,
			waitMilliseconds: state.getService().askMilliseconds ?? defaultQueryMilliseconds,
			isSufficient: (candidate, reading) => isInOwnZone(candidate) && isUncongested(reading),
			onReadings(readings) {
				cancelPending = undefined;
				if (!isCancelled) {
					evaluateReadings(selection, candidates, readings, callback);
				}
			},
		});
	}

	function evaluateReadings(selection: SelectionState, candidates: readonly Candidate[], readings: readonly CandidateReading[], callback: SelectionCallback): void {
		const best = getBetter(selection.best, findBestWithRoom(readings, getCriteria()));
		const isAcceptable = best !== undefined && isFastEnough(best.reading);
		const next: SelectionState = {
			...selection,
			best,
			hasFoundCapacity: selection.hasFoundCapacity || (isAcceptable && selection.roundsLeft === maximumQueryRounds) || readings.some(({reading}) => isBelowKnee(reading)),
			replyCount: selection.replyCount + readings.length,
			roundsLeft: selection.roundsLeft - 1,
			loggedReadings: [...selection.loggedReadings, ...readings.map(({candidate, reading}) => `${candidate.getAnnouncement().name} ${formatReading(reading)}`)],
		};
		if (isAcceptable || next.roundsLeft <= 0) {
			finishQueries(next, callback);
			return;
		}

		for (const candidate of candidates) {
			selection.queried.add(candidate.id);
		}

		queryCandidates(next, callback);
	}

	/** Selects the best server, waits once for room, or ends without a server. */
	function finishQueries(selection: SelectionState, callback: SelectionCallback): void {
		const {best, replyCount, isHedge, hasFoundCapacity} = selection;
		// Each request counts once; one that waited for room has already been counted.
		if (selection.mayWait && replyCount > 0) {
			state.shortageEstimate.recordPlacement(hasFoundCapacity, performance.now());
		}

		if (isHedge && (best === undefined || !isFastEnough(best.reading))) {
			callback(undefined);
			return;
		}

		if (best !== undefined) {
			options.recordDecision({
				kind: 'place', server: best.candidate.getAnnouncement().name, reading: formatReading(best.reading), answered: replyCount,
			});
			callback(best.candidate);
			return;
		}

		// If no server replied, the choice falls back to the load that the entry has recorded.
		if (replyCount === 0) {
			callback(choose(performance.now()));
			return;
		}

		waitForRoom(selection, callback);
	}

	function waitForRoom(selection: SelectionState, callback: SelectionCallback): void {
		const elapsedMilliseconds = performance.now() - selection.startedAt;
		const millisecondsPerRound = elapsedMilliseconds / maximumQueryRounds;
		const waitMilliseconds = ((route.targetMilliseconds ?? 0) * maximumWaitTargetShare) - elapsedMilliseconds - millisecondsPerRound;
		if (!selection.mayWait || waitMilliseconds < minimumWaitMilliseconds) {
			options.recordDecision({
				kind: 'noRoom', readings: selection.loggedReadings, waited: !selection.mayWait, shortage: roundToHundredths(state.shortageEstimate.getShortage()),
			});
			callback(undefined);
			return;
		}

		const timer = setTimeout(() => {
			queryCandidates({
				...selection, queried: new Set(excluded), roundsLeft: 1, mayWait: false,
			}, callback);
		}, waitMilliseconds);
		cancelPending = () => {
			clearTimeout(timer);
		};
	}

	function isInOwnZone(candidate: Candidate): boolean {
		return candidate.getAnnouncement().zone === zone;
	}

	function getCriteria(): ReadingCriteria {
		return {
			admission: {
				isUrgent: options.rank.isUrgent, isOutranked: options.rank.isOutranked, isLate: options.isLate, shortage: state.shortageEstimate.getShortage(),
			},
			zone,
			now: performance.now(),
		};
	}

	function startSelection(isHedge: boolean, callback: SelectionCallback): void {
		const {askedCandidates = 0} = state.getService();
		if (askedCandidates === 0) {
			callback(choose(performance.now()));
			return;
		}

		queryCandidates({
			count: askedCandidates,
			queried: new Set(excluded),
			roundsLeft: isHedge ? 1 : maximumQueryRounds,
			replyCount: 0,
			hasFoundCapacity: false,
			loggedReadings: [],
			best: undefined,
			isHedge,
			mayWait: !isHedge,
			startedAt: performance.now(),
		}, callback);
	}

	return {
		chooseImmediately: choose,
		select(callback) {
			startSelection(false, callback);
		},
		selectForHedge(callback) {
			startSelection(true, callback);
		},
		cancel() {
			isCancelled = true;
			cancelPending?.();
		},
	};
}

function roundToHundredths(share: number): number {
	return Math.round(share * 100) / 100;
}
