/** Generates HTTP load: open-loop arrivals that do not wait for responses, or a fixed number of callers that do. */
import {Agent, request as startRequest} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setImmediate as yieldToEventLoop, setTimeout as delay} from 'node:timers/promises';
import {type Histogram} from 'hdr-histogram-js';
import {createRandom} from '../randomness/index.js';
import {createLatencyHistogram, unitsPerMillisecond} from '../service-level/index.js';
import {rejectInput} from './exit.js';
import {printJson, printTable} from './print.js';

const requestTimeoutMilliseconds = 30_000;
const connectionsPerTarget = 256;
const timerMarginMilliseconds = 2;

/** Options of a load run. */
export type Load = {
	/** Addresses that receive the requests in round-robin order. */
	readonly targets: readonly string[];
	readonly requestsPerSecond: number;
	/** Duration after the warm-up. */
	readonly seconds: number;
	/** Time at the start in which requests are sent but not measured. */
	readonly warmUpSeconds: number;
	readonly seed: number;
	readonly method: string;
	/** Number of closed-loop callers, each of which waits for a response before its next request; 0 for open-loop arrivals. */
	readonly callers: number;
	/** Prefix of the idempotency keys, which are unique to each request; no keys are sent if it is undefined. */
	readonly keyPrefix: string | undefined;
};

/** Measurements of a load run. */
export type LoadResult = {
	readonly sent: number;
	readonly answered: number;
	readonly errors: number;
	/** Number of responses by status. */
	readonly statuses: Readonly<Record<string, number>>;
	readonly p50: number;
	readonly p99: number;
	readonly p999: number;
	readonly largest: number;
	readonly perSecond: number;
};

/**
 * Sends a load and waits for the last response.
 * @param load - Rate, duration and targets.
 */
export async function runLoad(load: Load): Promise<LoadResult> {
	const random = createRandom(load.seed);
	const targets = load.targets.map(target => new URL(target)).map(({hostname, port, pathname, search}) => ({hostname, port, path: `${pathname}${search}`}));
	const agent = new Agent({keepAlive: true, maxSockets: connectionsPerTarget});
	const histogram: Histogram = createLatencyHistogram();
	const statuses = new Map<string, number>();
	let sent = 0;
	let answered = 0;
	let errors = 0;
	let requestsInFlight = 0;
	let endAt = 0;
	let measuredFrom = 0;
	let requestCount = 0;
	let resolveWhenIdle: (() => void) | undefined;

	function handleRequestEnd(): void {
		requestsInFlight--;
		const now = performance.now();
		if (load.callers > 0 && now < endAt) {
			send(now);
			return;
		}

		if (requestsInFlight === 0) {
			resolveWhenIdle?.();
		}
	}

	function send(arrivedAt: number): void {
		const {hostname, port, path} = targets[requestCount++ % targets.length]!;
		const isMeasured = arrivedAt >= measuredFrom;
		sent += isMeasured ? 1 : 0;
		requestsInFlight++;
		const headers = load.keyPrefix === undefined ? {} : {'idempotency-key': `${load.keyPrefix}-${requestCount}`};
		const request = startRequest({
			hostname, port, path, agent, method: load.method, headers, timeout: requestTimeoutMilliseconds,
		});
		request.once('response', response => {
			response.resume();
			response.once('close', () => {
				if (!isMeasured) {
					handleRequestEnd();
					return;
				}

				const status = response.complete ? String(response.statusCode) : 'truncated';
				statuses.set(status, (statuses.get(status) ?? 0) + 1);
				answered++;
				histogram.recordValue(Math.max(1, Math.min(600_000, Math.round((performance.now() - arrivedAt) * unitsPerMillisecond))));
				handleRequestEnd();
			});
		});
		request.once('timeout', () => {
			request.destroy(new Error('timed out'));
		});
		request.once('error', () => {
			errors += isMeasured ? 1 : 0;
			handleRequestEnd();
		});
		request.end();
	}

	const startedAt = performance.now();
	measuredFrom = startedAt + (load.warmUpSeconds * 1000);
	endAt = measuredFrom + (load.seconds * 1000);
	let nextArrivalAt = load.callers > 0 ? endAt : startedAt;
	for (let caller = 0; caller < load.callers; caller++) {
		send(startedAt);
	}

	while (nextArrivalAt < endAt) {
		const now = performance.now();
		while (nextArrivalAt <= now && nextArrivalAt < endAt) {
			send(nextArrivalAt);
			nextArrivalAt += -Math.log(1 - random()) * 1000 / load.requestsPerSecond;
		}

		await waitUntil(nextArrivalAt);
	}

	if (requestsInFlight > 0) {
		await new Promise<void>(resolve => {
			resolveWhenIdle = resolve;
		});
	}

	const elapsedMilliseconds = performance.now() - measuredFrom;
	agent.destroy();
	return {
		sent,
		answered,
		errors,
		statuses: Object.fromEntries(statuses),
		p50: histogram.getValueAtPercentile(50) / unitsPerMillisecond,
		p99: histogram.getValueAtPercentile(99) / unitsPerMillisecond,
		p999: histogram.getValueAtPercentile(99.9) / unitsPerMillisecond,
		largest: histogram.maxValue / unitsPerMillisecond,
		perSecond: answered / elapsedMilliseconds * 1000,
	};
}

/**
 * Waits at most until a time in milliseconds. Uses a timer only while the time is far away, since timers fire up to a millisecond late;
 * yields to the event loop once when it is near.
 */
async function waitUntil(time: number): Promise<void> {
	const milliseconds = time - performance.now();
	if (milliseconds > timerMarginMilliseconds) {
		await delay(milliseconds - timerMarginMilliseconds);
		return;
	}

	await yieldToEventLoop();
}

/**
 * Runs `guavadeck load` and prints its result.
 * @param load - Rate, duration and targets.
 * @param json - Whether to print JSON.
 */
export async function runLoadCommand(load: Load, json: boolean): Promise<void> {
	for (const target of load.targets) {
		if (!URL.canParse(target)) {
			rejectInput([`target: "${target}" is not an address; write http://IP:PORT/PATH`]);
		}
	}

	const result = await runLoad(load);
	if (json) {
		printJson(result);
		return;
	}

	printTable(['SENT', 'ANSWERED', 'ERRORS', 'PER SECOND', 'P50 MS', 'P99 MS', 'P99.9 MS', 'MAX MS', 'STATUSES'], [[
		String(result.sent), String(result.answered), String(result.errors), result.perSecond.toFixed(0), result.p50.toFixed(1), result.p99.toFixed(1), result.p999.toFixed(1), result.largest.toFixed(1), JSON.stringify(result.statuses),
	]]);
}
