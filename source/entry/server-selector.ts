/**
 * Chooses the server of one attempt. Where a service wants it, a few candidates are asked
 * for their load first, and others when none of them has room; a request that nobody has
 * room for gets no server, so that it can be refused at once.
 */
import {performance} from 'node:perf_hooks';
import {
	selectQueryCandidates, getExpectedSlowdown, hasRoom, isBelowKnee, isUncongested, type Candidate, type LoadReading,
} from '../choice/index.js';
import {type CandidateReading} from './load-querier.js';
import {type RequestContext} from './request-handler.js';
import {type ServiceState} from './fleet.js';
import {type RoutePolicy} from './router.js';
import {type Decision} from './request-log.js';

/** Time in which servers that are asked answer, where the document does not say, in milliseconds. */
const ordinaryAskMilliseconds = 10;

/** Rounds of questions before a request is refused: the nearest candidates, then others. */
const askingRounds = 2;

/** Time, as a multiple of the usual, beyond which others are asked although a server has room: it would be late there. */
const acceptableTime = 2.2;

/** Share of the target latency for which a request that nobody has room for waits before it asks once more. */
const waitedTargetShare = 0.125;

/** Shortest wait that is worth another question, in milliseconds. */
const shortestWaitMilliseconds = 4;

/** What was asked so far. */
type Asking = {
	readonly count: number;
	/** Candidates that take no part, which each round adds to. */
	readonly alreadyAsked: Set<number>;
	readonly roundsLeft: number;
	/** Answers that came in the rounds before. */
	readonly answers: number;
	/** Whether a server was below its knee, or quick enough beyond it. */
	readonly isRelieved: boolean;
	/** What the servers said that had no room. */
	readonly fullReadings: readonly string[];
	/** Best server with room so far. */
	readonly best: CandidateReading | undefined;
	/** Whether another attempt already runs, so that only a quick server is worth it. */
	readonly isBeside: boolean;
	/** Whether the request may still wait for room. */
	readonly mayWait: boolean;
	readonly startedAt: number;
};

/** Takes the chosen server, or undefined when none has room. */
export type SelectionCallback = (candidate: Candidate | undefined) => void;

/** Chooses the servers of one request. */
export type ServerSelector = {
	/** Chooses by what is known without questions. */
	chooseImmediately(now: number): Candidate | undefined;
	/** Chooses, after questions where the service wants them. */
	select(take: SelectionCallback): void;
	/** Chooses for an attempt beside one that runs: only a server that would be quick. */
	selectForHedge(take: SelectionCallback): void;
	/** Forgets the question that is under way. */
	cancel(): void;
};

/** Options of a placement. */
export type ServerSelectorOptions = {
	readonly context: RequestContext;
	readonly state: ServiceState;
	readonly route: RoutePolicy;
	/** Servers that already took an attempt. */
	readonly excluded: ReadonlySet<number>;
	/** Zones in which an attempt has failed. */
	readonly avoidedZones: ReadonlySet<string>;
	/** Whether the request can hardly be answered within its target any more. */
	readonly isLate: boolean;
	/** Notes a decision for the log. */
	recordDecision(decision: Decision): void;
};

/**
 * Creates the placement of one request.
 * @param options - Service, route and what the request has met so far.
 */
export function createServerSelector(options: ServerSelectorOptions): ServerSelector {
	const {
		context, state, route, excluded, avoidedZones,
	} = options;
	const {zone} = context;
	let forgetQuestion: (() => void) | undefined;
	let isForgotten = false;

	function choose(now: number): Candidate | undefined {
		return state.getChooser().choose({
			candidates: state.getCandidates(), excluded, zone, avoidedZones, now,
		});
	}

	function getCandidatesToAsk(asking: Asking): readonly Candidate[] {
		const now = performance.now();
		return selectQueryCandidates({
			candidates: state.getCandidates(),
			excluded: asking.alreadyAsked,
			zone,
			avoidedZones,
			count: context.queryBudget.take(asking.count, now),
			prefersOwnZone: asking.answers === 0 || asking.best !== undefined,
			now,
		}, context.random);
	}

	/** Asks some candidates; others after them when none has room or all are slow. */
	function ask(asking: Asking, take: SelectionCallback): void {
		const asked = getCandidatesToAsk(asking);
		if (asked.length === 0) {
			finish(asking, take);
			return;
		}

		forgetQuestion = context.loadQuerier.query({
			candidates: asked,
			waitMilliseconds: state.getService().askMilliseconds ?? ordinaryAskMilliseconds,
			isSufficient: (candidate, reading) => isNear(candidate) && isUncongested(reading),
			onReadings(readings) {
				forgetQuestion = undefined;
				if (!isForgotten) {
					takeReadings(asking, asked, readings, take);
				}
			},
		});
	}

	function takeReadings(asking: Asking, asked: readonly Candidate[], readings: readonly CandidateReading[], take: SelectionCallback): void {
		const best = getBetter(asking.best, getRoomiest(readings));
		const isGoodEnough = best !== undefined && getExpectedSlowdown(best.reading) <= acceptableTime;
		const next: Asking = {
			...asking,
			best,
			isRelieved: asking.isRelieved || (isGoodEnough && asking.roundsLeft === askingRounds) || readings.some(({reading}) => isBelowKnee(reading)),
			answers: asking.answers + readings.length,
			roundsLeft: asking.roundsLeft - 1,
			fullReadings: [...asking.fullReadings, ...readings.map(({candidate, reading}) => `${candidate.getAnnouncement().name} ${describe(reading)}`)],
		};
		if (isGoodEnough || next.roundsLeft <= 0) {
			finish(next, take);
			return;
		}

		for (const other of asked) {
			asking.alreadyAsked.add(other.id);
		}

		ask(next, take);
	}

	/** Takes the best server, waits once for room, or gives up. */
	function finish(asking: Asking, take: SelectionCallback): void {
		const {best, answers, isBeside, isRelieved} = asking;
		// A request counts once; one that waited for room has been counted before.
		if (asking.mayWait && answers > 0) {
			state.shortageEstimate.recordPlacement(isRelieved, performance.now());
		}

		if (isBeside && (best === undefined || getExpectedSlowdown(best.reading) > acceptableTime)) {
			take(undefined);
			return;
		}

		if (best !== undefined) {
			options.recordDecision({
				kind: 'place', server: best.candidate.getAnnouncement().name, reading: describe(best.reading), answered: answers,
			});
			take(best.candidate);
			return;
		}

		// Where nobody answered anything, what is known without questions has to do.
		if (answers === 0) {
			take(choose(performance.now()));
			return;
		}

		waitForRoom(asking, take);
	}

	function waitForRoom(asking: Asking, take: SelectionCallback): void {
		const elapsed = performance.now() - asking.startedAt;
		const perRound = elapsed / askingRounds;
		const pause = ((route.targetMilliseconds ?? 0) * waitedTargetShare) - elapsed - perRound;
		if (!asking.mayWait || pause < shortestWaitMilliseconds) {
			options.recordDecision({
				kind: 'noRoom', readings: asking.fullReadings, waited: !asking.mayWait, shortage: roundShare(state.shortageEstimate.getShortage()),
			});
			take(undefined);
			return;
		}

		const timer = setTimeout(() => {
			ask({
				...asking, alreadyAsked: new Set(excluded), roundsLeft: 1, mayWait: false,
			}, take);
		}, pause);
		forgetQuestion = () => {
			clearTimeout(timer);
		};
	}

	function isNear(candidate: Candidate): boolean {
		return candidate.getAnnouncement().zone === zone;
	}

	/** Gets the best of the servers that answered and have room; bytes between zones are dear, so a near one that is quick enough goes first. */
	function getRoomiest(readings: readonly CandidateReading[]): CandidateReading | undefined {
		const now = performance.now();
		const admission = {
			isUrgent: route.isUrgent, isOutranked: route.isOutranked, isLate: options.isLate, shortage: state.shortageEstimate.getShortage(),
		};
		const roomy = readings.filter(({candidate, reading}) => candidate.isAvailable(now) && hasRoom(reading, admission));
		return roomy.find(({candidate, reading}) => isNear(candidate) && getExpectedSlowdown(reading) <= acceptableTime) ?? roomy[0];
	}

	function start(isBeside: boolean, take: SelectionCallback): void {
		const {askedCandidates = 0} = state.getService();
		if (askedCandidates === 0) {
			take(choose(performance.now()));
			return;
		}

		ask({
			count: askedCandidates,
			alreadyAsked: new Set(excluded),
			roundsLeft: isBeside ? 1 : askingRounds,
			answers: 0,
			isRelieved: false,
			fullReadings: [],
			best: undefined,
			isBeside,
			mayWait: !isBeside,
			startedAt: performance.now(),
		}, take);
	}

	return {
		chooseImmediately: choose,
		select(take) {
			start(false, take);
		},
		selectForHedge(take) {
			start(true, take);
		},
		cancel() {
			isForgotten = true;
			forgetQuestion?.();
		},
	};
}

function roundShare(share: number): number {
	return Math.round(share * 100) / 100;
}

/** Describes a reading for the log: running, waiting, slots, slowness. */
function describe({running, waiting, slots, slowness}: LoadReading): string {
	return `${running},${waiting},${slots},${slowness}`;
}

function getBetter(one: CandidateReading | undefined, other: CandidateReading | undefined): CandidateReading | undefined {
	if (one === undefined || other === undefined) {
		return one ?? other;
	}

	return getExpectedSlowdown(other.reading) < getExpectedSlowdown(one.reading) ? other : one;
}
