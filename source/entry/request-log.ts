/**
 * The story of a request: what was decided for it, on which inputs of which age, and how
 * it ended, in one line of the log. Requests that went as usual are sampled; what failed,
 * was refused, was tried more than once or came late is told up to a rate, and what is
 * left out beyond it is counted.
 */
import {type Log} from '../telemetry/index.js';
import {getVerdictHeaderValue, type Verdict} from '../verdict/index.js';

/** One in so many ordinary requests is told. */
const ordinarySample = 64;

/** Lines a second at most for requests that are not ordinary. */
const linesPerSecond = 50;

const millisecondsPerSecond = 1000;

/** A decision for a request. */
export type Decision
	= | {readonly kind: 'place'; readonly server: string; readonly reading: string; readonly answered: number}
	/** No server that answered has room; each with what it said of its load. */
		| {readonly kind: 'noRoom'; readonly readings: readonly string[]; readonly waited: boolean; readonly shortage: number}
		| {readonly kind: 'send'; readonly attempt: 'first' | 'retry' | 'hedge'; readonly server: string; readonly leftMilliseconds: number}
		| {readonly kind: 'failed'; readonly server: string; readonly reason: string}
		| {readonly kind: 'answered'; readonly server: string; readonly status: number}
		| {readonly kind: 'wait'; readonly before: number}
		| {readonly kind: 'noRetry'; readonly reason: 'attempts' | 'budget' | 'deadline' | 'may-have-run' | 'quarantined'};

/** The story of one request. */
export type RequestTrace = {
	/** Notes a decision. */
	record(decision: Decision): void;
	/** Ends the story. */
	end(verdict: Verdict, milliseconds: number): void;
};

/** What a story begins with. */
export type RequestTraceHead = {
	readonly id: string;
	readonly route: string;
	readonly service: string;
	/** Version of the document that decides. */
	readonly version: number;
	readonly targetMilliseconds: number | undefined;
	/** Time that the caller seems to have spent before, in milliseconds. */
	readonly elapsedMilliseconds: number;
	readonly at: number;
};

/** Tells stories within the bounds. */
export type RequestLog = {start(head: RequestTraceHead): RequestTrace};

/**
 * Creates a storyteller.
 * @param log - Log to write to.
 * @param getTime - Gets the time in milliseconds.
 */
export function createRequestLog(log: Log, getTime: () => number): RequestLog {
	let ordinary = 0;
	let balance = linesPerSecond;
	let filledAt = getTime();
	let leftOut = 0;

	function maySpend(): boolean {
		const now = getTime();
		balance = Math.min(linesPerSecond, balance + ((now - filledAt) * linesPerSecond / millisecondsPerSecond));
		filledAt = now;
		if (balance < 1) {
			leftOut++;
			return false;
		}

		balance--;
		return true;
	}

	function isTold(isOrdinary: boolean): boolean {
		if (!isOrdinary) {
			return maySpend();
		}

		ordinary++;
		return ordinary % ordinarySample === 0;
	}

	return {
		start(head) {
			const decisions: Array<Decision & {readonly at: number}> = [];
			return {
				record(decision) {
					decisions.push({at: Math.round(getTime() - head.at), ...decision});
				},
				end(verdict, milliseconds) {
					const sends = decisions.filter(decision => decision.kind === 'send').length;
					const isLate = milliseconds > (head.targetMilliseconds ?? Number.POSITIVE_INFINITY);
					const isOrdinary = verdict.kind === 'ran' && verdict.status < 500 && sends === 1 && !isLate;
					if (!isTold(isOrdinary)) {
						return;
					}

					const {at: _, ...rest} = head;
					log.info({
						...rest, outcome: getOutcome(verdict), milliseconds: Math.round(milliseconds), decisions, ...(leftOut > 0 ? {leftOut} : {}),
					}, 'request');
					leftOut = 0;
				},
			};
		},
	};
}

function getOutcome(verdict: Verdict): string {
	return verdict.kind === 'ran' ? `ran ${verdict.status}` : `${getVerdictHeaderValue(verdict)} ${verdict.reason}`;
}
