/**
 * Logs one line per request with the decisions made for it, their times and inputs, and
 * the outcome. Ordinary requests are sampled. Requests that failed, were refused, needed
 * several attempts or missed their target are logged up to a rate limit; those beyond it
 * are counted.
 */
import {type RetryObstacle} from '../../retry/index.js';
import {createLineLimit, type Log} from '../../telemetry/index.js';
import {getVerdictHeaderValue, type Verdict} from '../../verdict/index.js';

/** One of this many ordinary requests is logged. */
const ordinarySampleInterval = 64;

/** Rate limit of lines for requests that are not ordinary. */
const maximumLinesPerSecond = 50;

/** Decision made for a request. */
export type Decision
	= | {readonly kind: 'place'; readonly server: string; readonly reading: string; readonly answered: number}
	/** No server that replied has room; with the name and the reported load of each. */
		| {readonly kind: 'noRoom'; readonly readings: readonly string[]; readonly waited: boolean; readonly shortage: number}
	/** Refused at once: other workspaces need the capacity, or the event loop of the entry is late. */
		| {readonly kind: 'yield'; readonly reason: 'above-share' | 'low-priority' | 'late-entry'}
		| {readonly kind: 'send'; readonly attempt: 'first' | 'retry' | 'hedge'; readonly server: string; readonly leftMilliseconds: number}
		| {readonly kind: 'failed'; readonly server: string; readonly reason: string}
		| {readonly kind: 'answered'; readonly server: string; readonly status: number}
		| {readonly kind: 'wait'; readonly before: number}
	/** The request waited for the link of the entry, or is refused; with the number of bytes that the link had to carry before. */
		| {readonly kind: 'link'; readonly outcome: 'admitted' | 'refused'; readonly remainingBytes: number}
		| {readonly kind: 'noRetry'; readonly reason: RetryObstacle | 'budget'};

/** Trace of one request. */
export type RequestTrace = {
	/** Records a decision with its time. */
	record(decision: Decision): void;
	/** Ends the trace and logs it if it is selected. */
	end(verdict: Verdict, milliseconds: number): void;
};

/** Data known at the start of a trace. */
export type RequestTraceHead = {
	readonly id: string;
	readonly route: string;
	readonly service: string;
	/** Workspace of the caller; missing if the request belongs to none. */
	readonly workspace?: string;
	/** Version of the document in force. */
	readonly version: number;
	readonly targetMilliseconds: number | undefined;
	/** Estimated time that the caller spent on the request before it arrived. */
	readonly elapsedMilliseconds: number;
	readonly at: number;
};

/** Log of requests. */
export type RequestLog = {start(head: RequestTraceHead): RequestTrace};

/**
 * Creates a request log.
 * @param log - Log to write to.
 * @param getTime - Gets the current time in milliseconds.
 */
export function createRequestLog(log: Log, getTime: () => number): RequestLog {
	let ordinaryCount = 0;
	const limit = createLineLimit(maximumLinesPerSecond, getTime);

	function shouldLog(isOrdinary: boolean): boolean {
		if (!isOrdinary) {
			return limit.take();
		}

		ordinaryCount++;
		return ordinaryCount % ordinarySampleInterval === 0;
	}

	return {
		start(head) {
			const decisions: Array<Decision & {readonly at: number}> = [];
			return {
				record(decision) {
					decisions.push({at: Math.round(getTime() - head.at), ...decision});
				},
				end(verdict, milliseconds) {
					const sendCount = decisions.filter(decision => decision.kind === 'send').length;
					const isLate = milliseconds > (head.targetMilliseconds ?? Number.POSITIVE_INFINITY);
					const isOrdinary = verdict.kind === 'ran' && verdict.status < 500 && sendCount === 1 && !isLate;
					if (!shouldLog(isOrdinary)) {
						return;
					}

					const {at: _, ...rest} = head;
					log.info({
						...rest, outcome: getOutcome(verdict), milliseconds: Math.round(milliseconds), decisions, ...limit.takeLeftOut(),
					}, 'request');
				},
			};
		},
	};
}

function getOutcome(verdict: Verdict): string {
	return verdict.kind === 'ran' ? `ran ${verdict.status}` : `${getVerdictHeaderValue(verdict)} ${verdict.reason}`;
}
