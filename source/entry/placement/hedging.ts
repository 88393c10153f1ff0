/**
 * Sends a second attempt (hedge) of a slow request to another server, within the budget of hedges. The running attempt is checked
 * from the time on at which it is late, and until it ends, a hedge is sent or the request has no further attempt.
 */
import {performance} from 'node:perf_hooks';
import {getExpectedSlowdown, type Candidate, type LoadReading} from '../../choice/index.js';
import {
	decideHedge, mayHedge, type HedgeObstacle, type HedgeSituation, type HedgeTimes,
} from '../../retry/index.js';
import {type ServiceHedging} from '../fleet/index.js';
import {scheduleFixedHedge} from './fixed-hedging.js';
import {protect, type RequestProgress, type RunningAttempt} from './request-progress.js';
import {mayDispatch, type AttemptStart} from './server-attempt.js';

/** Slowness beyond which a server counts as slow, and expected slowdown beyond which another one is unlikely to be sooner. */
const maximumUsualSlowness = 1.5;

/** Factor by which the time between two checks grows, so that an attempt that never ends is checked only a few times. */
const intervalGrowth = 1.5;

/** Time to wait for the load of the server of the attempt, unless the document sets one. */
const defaultQueryMilliseconds = 10;

/**
 * Schedules the hedge of a request whose first attempt has been started, if it may have one.
 * @param progress - Progress of the request.
 * @param start - Starts the attempt.
 */
export function scheduleHedge(progress: RequestProgress, start: AttemptStart): void {
	const {state, service, route, request} = progress.admitted;
	const {method, isIdempotent, stream} = request;
	const hedgeRatio = state.hedging?.getRatio() ?? service.hedgeRatio;
	if (!mayHedge({
		method, isIdempotent, isRepeatable: stream === undefined, hedgeRatio,
	})) {
		return;
	}

	if (progress.attemptLimit < 2) {
		return;
	}

	if (state.hedging === undefined) {
		scheduleFixedHedge(progress, start);
		return;
	}

	const times = state.hedging.getTimes(route);
	if (times !== undefined) {
		watchAttempt({
			progress, start, hedging: state.hedging, times,
		});
	}
}

type WatchOptions = {
	readonly progress: RequestProgress;
	readonly start: AttemptStart;
	readonly hedging: ServiceHedging;
	readonly times: HedgeTimes;
};

/** Checks the running attempt of a request at intervals that grow, and hedges it once. */
function watchAttempt({
	progress, start, hedging, times,
}: WatchOptions): void {
	const {context, state, service, route} = progress.admitted;
	let lastObstacle: HedgeObstacle | undefined;
	let {interval} = times;

	/** Defers the check by one event loop turn, so that responses that have already arrived are read first. */
	function schedule(milliseconds: number): void {
		progress.hedgeTimer = setTimeout(() => {
			setImmediate(protect, progress, check);
		}, milliseconds);
	}

	function scheduleNext(elapsedMilliseconds: number): void {
		const nextTime = [times.first, times.certain, times.overdue].find(time => time > elapsedMilliseconds) ?? Number.POSITIVE_INFINITY;
		schedule(Math.min(interval, nextTime - elapsedMilliseconds));
		interval *= intervalGrowth;
	}

	function withhold(obstacle: HedgeObstacle, attempt: RunningAttempt): void {
		if (obstacle !== lastObstacle) {
			context.metrics.countWithheldHedge(service.name, obstacle);
		}

		lastObstacle = obstacle;
		scheduleNext(getElapsed(attempt));
	}

	function getSituation(attempt: RunningAttempt): HedgeSituation {
		return {
			elapsedMilliseconds: getElapsed(attempt),
			times,
			waitingRequests: state.queue.getLength(),
			shortage: state.shortageEstimate.getShortage(),
			congestedShare: hedging.loads.getCongestedShare(),
			// Without a link of known rate, a copy of a large response could delay all others.
			isLinkBusy: route.hasLargeResponses && (context.link?.isBusy() ?? true),
			tokens: hedging.budget.getTokens(),
			isWithinBudget: hedging.budget.isWithinSharedBudget(),
		};
	}

	function check(): void {
		const attempt = getOnlyAttempt(progress);
		if (attempt === undefined) {
			return;
		}

		const decision = decideHedge(getSituation(attempt));
		switch (decision.kind) {
			case 'wait': {
				scheduleNext(getElapsed(attempt));
				return;
			}

			case 'withhold': {
				withhold(decision.obstacle, attempt);
				return;
			}

			case 'ask': {
				askServer(attempt);
				return;
			}

			case 'send': {
				selectServer(attempt);
			}
		}
	}

	/** Asks the server of the attempt for its load; one that does not reply counts as slow. */
	function askServer(attempt: RunningAttempt): void {
		if ((service.askedCandidates ?? 0) === 0) {
			withhold('not-slow', attempt);
			return;
		}

		context.queryBudget.take(1, performance.now());
		context.loadQuerier.query({
			candidates: [attempt.candidate],
			waitMilliseconds: service.askMilliseconds ?? defaultQueryMilliseconds,
			isSufficient: () => true,
			onReadings([first]) {
				protect(progress, () => {
					if (getOnlyAttempt(progress) !== attempt) {
						return;
					}

					if (first !== undefined && first.reading.slowness <= maximumUsualSlowness) {
						withhold('not-slow', attempt);
					} else {
						selectServer(attempt);
					}
				});
			},
		});
	}

	function selectServer(attempt: RunningAttempt): void {
		const isCertain = getElapsed(attempt) >= times.certain;
		progress.selector.selectForHedge(candidate => {
			protect(progress, () => {
				if (getOnlyAttempt(progress) !== attempt || !mayDispatch(progress)) {
					return;
				}

				const obstacle = getTargetObstacle(candidate, isCertain) ?? getBudgetObstacle();
				if (obstacle === undefined) {
					start(progress, candidate!, 'hedge');
				} else {
					withhold(obstacle, attempt);
				}
			});
		});
	}

	/** Gets the reason not to hedge on a server. */
	function getTargetObstacle(candidate: Candidate | undefined, isCertain: boolean): HedgeObstacle | undefined {
		if (candidate === undefined) {
			return 'no-server';
		}

		if (candidate.isCold()) {
			return 'cold';
		}

		if (!isLikelySooner(hedging.loads.get(candidate))) {
			return 'not-sooner';
		}

		const isFar = candidate.getAnnouncement().zone !== context.zone;
		return isFar && (!isCertain || route.hasLargeResponses) ? 'other-zone' : undefined;
	}

	/** Takes the hedge from the budgets, which other requests may have used since the check. */
	function getBudgetObstacle(): HedgeObstacle | undefined {
		return hedging.budget.tryWithdraw() ? undefined : 'reserve';
	}

	schedule(times.first);
}

function isLikelySooner(reading: LoadReading | undefined): boolean {
	return reading === undefined || getExpectedSlowdown(reading) <= maximumUsualSlowness;
}

/** Gets the running attempt of a request that may have a hedge, if it is the only one. */
function getOnlyAttempt({
	isSettled, running, attempts, attemptLimit,
}: RequestProgress): RunningAttempt | undefined {
	const [attempt] = running;
	return isSettled || running.size !== 1 || attempts >= attemptLimit ? undefined : attempt;
}

function getElapsed({startedAt}: RunningAttempt): number {
	return performance.now() - startedAt;
}
