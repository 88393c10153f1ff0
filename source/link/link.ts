/**
 * The network link of an entry: admits requests with large responses, and lets their bytes go as the link carries them. Small
 * responses are only counted, so that they never wait.
 */
import {createLargeAdmission, type LargeRequest} from './large-admission.js';
import {createLinkLoad} from './link-load.js';
import {getNextStep} from './link-schedule.js';
import {createLinkUse, type LinkStream, type LinkUse} from './link-use.js';
import {createRefusalRecord, type RefusalListener} from './refusal-period.js';
import {createResponseEstimate, type ResponseEstimate} from './response-estimate.js';

/** Share of the target in which the link is assumed to carry the first response of a route, whose size is unknown. */
const firstResponseTargetShare = 0.125;

/** A request with a large response that arrives. */
export type LinkRequest = {
	readonly route: string;
	readonly targetMilliseconds: number;
	/** Time that is left of the target, in milliseconds. */
	readonly leftMilliseconds: number;
	/** Called when the request is admitted after it waited. */
	onAdmitted(): void;
};

/** Decision on a request that arrives. */
export type LinkDecision
	= | {readonly kind: 'admitted'; readonly use: LinkUse}
		| {readonly kind: 'waiting'; readonly use: LinkUse; readonly maximumMilliseconds: number}
		| {readonly kind: 'refused'; readonly retryAfterMilliseconds: number};

/** Link of an entry. */
export type Link = {
	/** Counts the bytes of a small response, which is written at once. */
	recordSmall(bytes: number): void;
	/** Decides on a request with a large response. */
	arrive(request: LinkRequest): LinkDecision;
	/** Gets the time after which a request would be admitted if no other one arrived, in milliseconds. */
	getWait(request: LinkRequest): number;
	/** Checks whether a large response has bytes that wait for the link. */
	isBusy(): boolean;
	/** Gets the number of requests that are admitted and have not ended. */
	getAdmittedCount(): number;
	getWaitingCount(): number;
	/** Gets the number of bytes that were written and that the link has not carried yet. */
	getQueuedBytes(): number;
	/** Gets the number of bytes that the admitted requests are expected to send. */
	getRemainingBytes(): number;
};

/** Options of `createLink`. */
export type LinkOptions = {
	readonly megabitsPerSecond: number;
	/** Gets the current time in milliseconds. */
	getTime(): number;
	/** Runs a function after a time in milliseconds. */
	schedule(run: () => void, milliseconds: number): void;
	/** Receiver of the times at which requests begin to be refused and are admitted again. */
	readonly refusals?: RefusalListener;
};

/**
 * Creates a link without requests.
 * @param options - Rate of the link, clock and timer.
 */
export function createLink(options: LinkOptions): Link {
	const {getTime} = options;
	const load = createLinkLoad(options.megabitsPerSecond);
	const admission = createLargeAdmission();
	const refusals = createRefusalRecord(options.refusals ?? {});
	const estimates = new Map<string, ResponseEstimate>();
	/** Responses whose callers take more bytes. */
	const streams = new Set<LinkStream>();
	let isWriting = false;
	let isScheduled = false;

	function getEstimate(route: string): ResponseEstimate {
		const estimate = estimates.get(route) ?? createResponseEstimate();
		estimates.set(route, estimate);
		return estimate;
	}

	function getLargeRequest({route, targetMilliseconds, leftMilliseconds}: LinkRequest): LargeRequest {
		const estimate = getEstimate(route);
		return {
			expectedBytes: estimate.getSize() ?? load.getRate() * targetMilliseconds * firstResponseTargetShare,
			expectedWaitMilliseconds: estimate.getWait(),
			targetMilliseconds,
			leftMilliseconds,
		};
	}

	function getLargeRate(): number {
		return load.getLargeRate(getTime());
	}

	/** Writes what the link takes now, and schedules the rest. */
	function writeDueBytes(): void {
		const now = getTime();
		const step = getNextStep(streams, load, now);
		switch (step.kind) {
			case 'write': {
				load.recordLarge(step.bytes, now);
				step.stream.write(step.bytes);
				writeDueBytes();
				break;
			}

			case 'wait': {
				scheduleWrite(step.milliseconds);
				break;
			}

			case 'idle': {
				break;
			}
		}
	}

	function scheduleWrite(milliseconds: number): void {
		if (!isScheduled) {
			isScheduled = true;
			options.schedule(() => {
				isScheduled = false;
				advance();
			}, milliseconds);
		}
	}

	/** Writes what is due, and admits what waits; a write may end or block a response, which calls this again. */
	function advance(): void {
		if (isWriting) {
			return;
		}

		isWriting = true;
		writeDueBytes();
		isWriting = false;
		admission.admitWaiting(getLargeRate());
	}

	return {
		recordSmall(bytes) {
			load.recordSmall(bytes, getTime());
		},
		arrive(request) {
			const largeRequest = getLargeRequest(request);
			const arrivedAt = getTime();
			const decision = admission.arrive(largeRequest, getLargeRate(), request.onAdmitted);
			if (decision.kind === 'refused') {
				refusals.recordRefusal(arrivedAt);
				return decision;
			}

			refusals.recordAdmission(arrivedAt);
			const use = createLinkUse({
				ticket: decision.ticket,
				estimate: getEstimate(request.route),
				streams,
				expectedBytes: largeRequest.expectedBytes,
				dueAt: arrivedAt + request.leftMilliseconds,
				getElapsed: () => getTime() - arrivedAt,
				onChange: advance,
			});
			return {...decision, use};
		},
		getWait: request => admission.getWait(getLargeRequest(request), getLargeRate()),
		isBusy: () => [...streams].some(stream => stream.getReadyBytes() > 0),
		getAdmittedCount: admission.getAdmittedCount,
		getWaitingCount: admission.getWaitingCount,
		getQueuedBytes: () => load.getQueuedBytes(getTime()),
		getRemainingBytes: () => admission.getRemainingBytes(getLargeRate()),
	};
}
