/** Sends a second attempt of a slow request at a fixed share of the target, for deployments whose settings do not limit hedges. */
import {type AdmittedRequest} from '../requests/index.js';
import {protect, type RequestProgress} from './request-progress.js';
import {mayDispatch, type AttemptStart} from './server-attempt.js';

/** Share of the target latency after which a hedge is sent; a hedge can then still meet the target. */
const hedgeDelayTargetShare = 0.5;

/**
 * Schedules the hedge of a request whose first attempt has been started.
 * @param progress - Progress of the request.
 * @param start - Starts the attempt.
 */
export function scheduleFixedHedge(progress: RequestProgress, start: AttemptStart): void {
	const {state, route} = progress.admitted;
	state.hedges.deposit();
	const delayMilliseconds = route.targetMilliseconds === undefined ? state.hedgeDelay.getMilliseconds() : route.targetMilliseconds * hedgeDelayTargetShare;
	// Defers the hedge by one event loop turn, so that responses that have already arrived are read first.
	progress.hedgeTimer = setTimeout(() => {
		setImmediate(protect, progress, () => {
			sendHedge(progress, start);
		});
	}, delayMilliseconds);
}

function sendHedge(progress: RequestProgress, start: AttemptStart): void {
	const {hedges} = progress.admitted.state;
	// While requests are queued, a hedge would take the slot of a request that has not been attempted.
	if (isHedgeObsolete(progress) || hedges.getBalance() < 1) {
		return;
	}

	progress.selector.selectForHedge(candidate => {
		protect(progress, () => {
			if (candidate !== undefined && !isHedgeObsolete(progress) && mayDispatch(progress) && hedges.tryWithdraw()) {
				start(progress, candidate, 'hedge');
			}
		});
	});
}

function isHedgeObsolete({
	admitted, isSettled, running, attempts, attemptLimit,
}: RequestProgress): boolean {
	return isSettled || running.size !== 1 || attempts >= attemptLimit || admitted.state.queue.getLength() > 0 || isLinkBusy(admitted);
}

/** Checks whether a large response would have to share the link with another one, so that its copy would only delay both. */
function isLinkBusy({linkUse, context}: AdmittedRequest): boolean {
	return linkUse !== undefined && context.link?.isBusy() === true;
}
