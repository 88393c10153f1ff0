/** Starts the first attempt of a request, at once or after a wait in the queue of its service. */
import {performance} from 'node:perf_hooks';
import {type WaiterRank} from '../../limits/index.js';
import {notRun} from '../../verdict/index.js';
import {type RequestRank} from '../../workspace/index.js';
import {scheduleHedge} from './hedging.js';
import {protect, refuse, type RequestProgress} from './request-progress.js';
import {type AttemptStart} from './server-attempt.js';

/** Share of the target latency for which a request may wait for a server; after a longer wait it is unlikely to meet the target. */
const maximumWaitTargetShare = 0.125;

/** Margin by which a timer may fire before its time. */
const timerMarginMilliseconds = 1;

/**
 * Starts the first attempt, or puts the request into the queue while no server is available or other requests wait.
 * @param progress - Progress of the request.
 * @param start - Starts the attempt.
 */
export function startOrEnqueue(progress: RequestProgress, start: AttemptStart): void {
	if (isEntryOverloaded(progress)) {
		progress.admitted.context.metrics.countYield('late-entry');
		progress.admitted.recordDecision({kind: 'yield', reason: 'late-entry'});
		refuse(progress, notRun('overload'));
		return;
	}

	if (progress.admitted.state.queue.getLength() > 0 || !startFirstAttempt(progress, start)) {
		enqueue(progress, start);
	}
}

/** Checks whether the event loop is so late that the request should rather be sent to another entry. Only documents with workspaces ask for this. */
function isEntryOverloaded({admitted: {context, route}}: RequestProgress): boolean {
	const {targetMilliseconds} = route;
	return context.getWorkspaces() !== undefined && targetMilliseconds !== undefined && context.lateness.shouldRefuse(targetMilliseconds, context.random());
}

/** Starts the selection of a server for the first attempt; returns false when no server is available. */
function startFirstAttempt(progress: RequestProgress, start: AttemptStart): boolean {
	const {selector} = progress;
	if (selector.chooseImmediately(performance.now()) === undefined) {
		return false;
	}

	clearTimeout(progress.waitTimer);
	selector.select(candidate => {
		protect(progress, () => {
			if (candidate === undefined) {
				refuse(progress, notRun('overload'));
				return;
			}

			start(progress, candidate, 'first');
			scheduleHedge(progress, start);
		});
	});
	return true;
}

function getWaiterRank({isUrgent, isOutranked}: RequestRank): WaiterRank {
	if (isUrgent) {
		return 0;
	}

	return isOutranked ? 2 : 1;
}

function enqueue(progress: RequestProgress, start: AttemptStart): void {
	const {
		context, state, service, route, rank, access, deadlineAt,
	} = progress.admitted;
	const {targetMilliseconds} = route;
	const now = performance.now();
	const waitDeadlineAt = targetMilliseconds === undefined ? deadlineAt : Math.min(deadlineAt, now + (targetMilliseconds * maximumWaitTargetShare));
	const pauseEndsAt = context.fleet.getPauseEnd(service.name, now) ?? now;
	const isQueued = pauseEndsAt < waitDeadlineAt && state.getCandidates().length > 0 && state.queue.add({
		deadlineAt: waitDeadlineAt,
		rank: getWaiterRank(rank),
		workspace: access.kind === 'granted' ? access.workspace.name : undefined,
		start: () => startFirstAttempt(progress, start),
		expire() {
			refuse(progress, notRun(waitDeadlineAt < deadlineAt ? 'overload' : 'deadline'));
		},
		isSettled: () => progress.isSettled,
	}, now);
	if (!isQueued) {
		refuse(progress, notRun(state.getCandidates().length > 0 ? 'overload' : 'no-server'));
		return;
	}

	progress.waitTimer = setTimeout(() => {
		protect(progress, () => {
			state.queue.expire(performance.now());
		});
	}, Math.ceil(waitDeadlineAt - now) + timerMarginMilliseconds);
}
