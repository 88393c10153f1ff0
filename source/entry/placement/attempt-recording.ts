/** Records how attempts ended: the latencies that decide when later attempts of the route are hedged, and the ends of hedges. */
import {type Verdict} from '../../verdict/index.js';
import {type RequestProgress, type RunningAttempt} from './request-progress.js';

/**
 * Records that an attempt has answered a request: its latency, and those of the attempts that it makes needless, which would have
 * taken longer than until now.
 * @param progress - Progress of the request.
 * @param answered - Attempt that answered; it does not count as running any more.
 * @param now - Current time.
 */
export function recordAnswer({admitted, running}: RequestProgress, answered: RunningAttempt, now: number): void {
	const {state, route, context, service} = admitted;
	if (answered.kind === 'hedge') {
		context.metrics.countHedge(service.name, 'won');
	}

	for (const {startedAt} of [answered, ...running]) {
		state.hedging?.getLatencies(route).record(now - startedAt);
	}
}

/**
 * Records that an attempt has failed. One that had no answer until the deadline would have taken longer.
 * @param progress - Progress of the request.
 * @param failed - Attempt that failed.
 * @param verdict - Verdict on it; undefined if the server answered with an error.
 * @param now - Current time.
 */
export function recordFailure({admitted}: RequestProgress, failed: RunningAttempt, verdict: Verdict | undefined, now: number): void {
	const {state, route, context, service} = admitted;
	if (failed.kind === 'hedge') {
		context.metrics.countHedge(service.name, 'failed');
	}

	if (verdict?.kind === 'mayHaveRun' && verdict.reason === 'deadline') {
		state.hedging?.getLatencies(route).record(now - failed.startedAt);
	}
}
