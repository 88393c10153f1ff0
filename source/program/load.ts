/** Open-loop load: arrivals follow their own clock and never wait for answers. */
import {Agent, request as startRequest} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setImmediate as nextTurn, setTimeout as delay} from 'node:timers/promises';
import {type Histogram} from 'hdr-histogram-js';
import {createRandom} from '../randomness/index.js';
import {createLatencyHistogram, unitsPerMillisecond} from '../service-level/index.js';
import {rejectInput} from './exit.js';
import {printJson, printTable} from './print.js';

const requestTimeoutMilliseconds = 30_000;
const connectionsPerTarget = 256;
const timerMilliseconds = 2;

/** Options of a load. */
export type Load = {
	/** Addresses that take turns. */
	readonly targets: readonly string[];
	readonly requestsPerSecond: number;
	/** Length after the warm-up. */
	readonly seconds: number;
	/** Time at the start in which requests are sent and not counted. */
	readonly warmUpSeconds: number;
	readonly seed: number;
	readonly method: string;
	/** Callers that each wait for their answer before they send again; 0 for open-loop arrivals. */
	readonly callers: number;
	/** Prefix of a fresh idempotency key for each request, if any. */
	readonly keyPrefix: string | undefined;
};

/** What a load measured. */
export type LoadResult = {
	readonly sent: number;
	readonly answered: number;
	readonly errors: number;
	/** Answers by status. */
	readonly statuses: Readonly<Record<string, number>>;
	readonly p50: number;
	readonly p99: number;
	readonly p999: number;
	readonly largest: number;
	readonly perSecond: number;
};

/**
 * Sends a load and waits for the last answer.
 * @param load - Rate, length and targets.
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
	let open = 0;
	let until = 0;
	let countedFrom = 0;
	let turn = 0;
	let finished: (() => void) | undefined;

	function end(): void {
		open--;
		const now = performance.now();
		if (load.callers > 0 && now < until) {
			send(now);
			return;
		}

		if (open === 0) {
			finished?.();
		}
	}

	function send(arrivedAt: number): void {
		const {hostname, port, path} = targets[turn++ % targets.length]!;
		const isCounted = arrivedAt >= countedFrom;
		sent += isCounted ? 1 : 0;
		open++;
		const headers = load.keyPrefix === undefined ? {} : {'idempotency-key': `${load.keyPrefix}-${turn}`};
		const request = startRequest({
			hostname, port, path, agent, method: load.method, headers, timeout: requestTimeoutMilliseconds,
		});
		request.once('response', response => {
			response.resume();
			response.once('close', () => {
				if (!isCounted) {
					end();
					return;
				}

				const status = response.complete ? String(response.statusCode) : 'truncated';
				statuses.set(status, (statuses.get(status) ?? 0) + 1);
				answered++;
				histogram.recordValue(Math.max(1, Math.min(600_000, Math.round((performance.now() - arrivedAt) * unitsPerMillisecond))));
				end();
			});
		});
		request.once('timeout', () => {
			request.destroy(new Error('timed out'));
		});
		request.once('error', () => {
			errors += isCounted ? 1 : 0;
			end();
		});
		request.end();
	}

	const startedAt = performance.now();
	countedFrom = startedAt + (load.warmUpSeconds * 1000);
	until = countedFrom + (load.seconds * 1000);
	let nextAt = load.callers > 0 ? until : startedAt;
	for (let caller = 0; caller < load.callers; caller++) {
		send(startedAt);
	}

	while (nextAt < until) {
		const now = performance.now();
		while (nextAt <= now && nextAt < until) {
			send(nextAt);
			nextAt += -Math.log(1 - random()) * 1000 / load.requestsPerSecond;
		}

		await waitUntil(nextAt);
	}

	if (open > 0) {
		await new Promise<void>(resolve => {
			finished = resolve;
		});
	}

	const elapsed = performance.now() - countedFrom;
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
		perSecond: answered / elapsed * 1000,
	};
}

/** Waits until a time in milliseconds; timers only for the most of it, since they come up to a millisecond late. */
async function waitUntil(time: number): Promise<void> {
	const milliseconds = time - performance.now();
	if (milliseconds > timerMilliseconds) {
		await delay(milliseconds - timerMilliseconds);
		return;
	}

	await nextTurn();
}

/**
 * Runs `guavadeck load` and prints its result.
 * @param load - Rate, length and targets.
 * @param json - Whether to print JSON.
 */
export async function loadAndPrint(load: Load, json: boolean): Promise<void> {
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
