/** Models an attempt on a server in virtual time. */
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {type LoadReading} from '../../source/choice/index.js';
import {type Attempt} from '../../source/entry/servers/attempt.js';
import {type AttemptOptions} from '../../source/entry/servers/attempt-options.js';
import {type ServerReport} from '../../source/entry/index.js';
import {mayHaveRun, notRun, type Verdict} from '../../source/verdict/index.js';
import {type ModelRequest} from './server.js';
import {type Reception, type UpstreamModel} from './upstream.js';

const okStatus = 200;

/** Report of a server that states nothing. */
export const emptyReport: ServerReport = {
	coldMilliseconds: undefined, load: undefined, server: undefined, isLeaving: false, pauseMilliseconds: undefined,
};

/**
 * Gets what a server states in a response.
 * @param upstream - Server that responds.
 * @param pauseMilliseconds - Pause that it asks for, if any.
 */
export function getReport(upstream: UpstreamModel, pauseMilliseconds?: number): ServerReport {
	return {
		...emptyReport, load: {...upstream.getReading()}, isLeaving: upstream.isLeaving(performance.now()), pauseMilliseconds,
	};
}

/** Options of `startModelAttempt`. */
export type ModelAttemptOptions = {
	readonly attempt: AttemptOptions;
	readonly upstream: UpstreamModel;
	/** Number of the entry. */
	readonly entry: number;
	/** Time at which the caller sent the request. */
	readonly sentAt: number;
	/** Service time on a server without load. */
	readonly serviceMilliseconds: number;
	/** Time until a connection is ready; 0 if one is open. */
	readonly connectMilliseconds: number;
	/** Time that a message between the entry and the server takes. */
	readonly transferMilliseconds: number;
	/** Checks whether messages between the entry and the server arrive. */
	isReachable(): boolean;
	/** Called when the request has reached the server, with the load before it and how the server takes it. */
	onReception?: ((load: LoadReading, kind: Reception['kind']) => void) | undefined;
	/** Called when the attempt is cancelled, with the work that the server did for it. */
	readonly onCancelledWork?: ((milliseconds: number) => void) | undefined;
};

/**
 * Starts an attempt on a modelled server.
 * @param options - Attempt as the entry starts it, and server.
 */
export function startModelAttempt(options: ModelAttemptOptions): Attempt {
	const {attempt, upstream, transferMilliseconds} = options;
	const request: ModelRequest = {remainingMilliseconds: options.serviceMilliseconds, onComplete: answer};
	let isEnded = false;
	let isDispatched = false;

	/** Ends the attempt; the server sees that its connection is closed. */
	function cancel(): void {
		isEnded = true;
		clearTimeout(timer);
		request.remainingMilliseconds = 0;
	}

	function fail(verdict: Verdict): void {
		if (!isEnded) {
			cancel();
			attempt.onEnd({kind: 'failed', verdict, hasCrashed: false});
		}
	}

	function answer(): void {
		setTimeout(() => {
			if (isEnded) {
				return;
			}

			cancel();
			attempt.onReport(getReport(upstream));
			attempt.onEnd({
				kind: 'whole', head: {status: okStatus, headers: [], isCloseDelimited: false}, body: Buffer.alloc(0), reservation: {
					tryGrowTo: () => true, release() {
					// Nothing is reserved.
					},
				},
			});
		}, transferMilliseconds);
	}

	function refuse(pauseMilliseconds: number | undefined): void {
		setTimeout(() => {
			if (!isEnded) {
				attempt.onReport(getReport(upstream, pauseMilliseconds));
				fail(notRun('server-shed'));
			}
		}, transferMilliseconds);
	}

	function arrive(): void {
		const load = upstream.getReading();
		const reception = upstream.receive({entry: options.entry, sentAt: options.sentAt, at: performance.now()}, request);
		options.onReception?.(load, reception.kind);
		switch (reception.kind) {
			case 'accepted':
			case 'unanswered': {
				return;
			}

			case 'gone': {
				setTimeout(fail, transferMilliseconds, notRun('unreachable'));
				return;
			}

			case 'refused': {
				refuse(reception.pauseMilliseconds);
			}
		}
	}

	function send(): void {
		isDispatched = true;
		setTimeout(() => {
			if (!isEnded && options.isReachable()) {
				arrive();
			}
		}, transferMilliseconds);
	}

	/** Sends the request on a connection that is ready now, unless it must not be sent any more. */
	function dispatch(): void {
		if (isEnded) {
			return;
		}

		if (!attempt.mayDispatch()) {
			fail(notRun('lease-expired'));
		} else if (attempt.hasServerWithdrawn()) {
			fail(notRun('server-withdrawn'));
		} else {
			send();
		}
	}

	const timer = setTimeout(() => {
		fail(isDispatched ? mayHaveRun('deadline') : notRun('deadline'));
	}, Math.max(0, attempt.deadlineAt - performance.now()));
	if (options.connectMilliseconds > 0) {
		setTimeout(dispatch, options.connectMilliseconds);
	} else {
		send();
	}

	return {
		cancel() {
			options.onCancelledWork?.(options.serviceMilliseconds - Math.min(options.serviceMilliseconds, Math.max(0, request.remainingMilliseconds)));
			cancel();
		},
		wasDispatched: () => isDispatched,
	};
}
