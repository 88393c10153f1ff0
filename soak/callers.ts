/** Callers of one entry, which send requests one after another over kept or new connections. Some leave before the response. */
import {Agent, request as startRequest, type ClientRequest} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {type Random} from '../source/randomness/index.js';
import {readText} from '../stand-in/platform/control-call.js';
import {createRequestSource, type CallerRequest} from './caller-request.js';
import {digestBody, type Exchange, type History} from './history.js';

const longestPauseMilliseconds = 60;
const failurePauseMilliseconds = 60;
const burstProbability = 0.01;
const burstRequests = 12;

/** Time after the deadline for which a caller still waits. */
const patienceMilliseconds = 500;

/** Callers that are running. */
export type Callers = {
	/** Stops sending new requests, and waits until the pending ones are over. */
	stop(): Promise<void>;
};

/** Options of `startCallers`. */
export type CallersOptions = {
	readonly entry: string;
	readonly host: string;
	readonly port: number;
	/** Number of callers that send one request after another. */
	readonly count: number;
	readonly history: History;
	readonly random: Random;
};

/**
 * Starts callers.
 * @param options - Entry and number of callers.
 */
export function startCallers(options: CallersOptions): Callers {
	const {entry, host, port, history, random} = options;
	const keptConnections = new Agent({keepAlive: true});
	let isStopped = false;
	const createRequest = createRequestSource({prefix: entry, history, random});

	/** Sends a request, and returns the complete response or why there is none. */
	async function send({id, method, path, deadlineMilliseconds, isChunked, stayMilliseconds, isOnNewConnection}: CallerRequest): Promise<Exchange['outcome']> {
		return new Promise(resolve => {
			const body = method === 'POST' ? `order ${id}` : undefined;
			const framing = isChunked ? {'Transfer-Encoding': 'chunked'} : {'Content-Length': body?.length ?? 0};
			const request: ClientRequest = startRequest({
				host, port, method, path, agent: isOnNewConnection ? false : keptConnections, headers: {
					Host: 'shop.example', 'Request-Id': id, 'Deadline-Ms': String(deadlineMilliseconds), ...(body === undefined ? {} : framing),
				},
			}, response => {
				void readText(response).then(text => {
					end(text === undefined || !response.complete
						? 'incomplete'
						: {
							status: response.statusCode ?? 0, signature: response.headers['upstream-signature'] as string | undefined, digest: digestBody(text), size: text.length,
						});
				});
			});
			const timer = setTimeout(() => {
				end(stayMilliseconds === Infinity ? 'timeout' : 'left');
				request.destroy();
			}, Math.min(stayMilliseconds, deadlineMilliseconds + patienceMilliseconds));
			function end(outcome: Exchange['outcome']): void {
				clearTimeout(timer);
				resolve(outcome);
			}

			request.on('error', (error: NodeJS.ErrnoException) => {
				end(error.code ?? error.message);
			});
			request.end(body);
		});
	}

	async function exchange(): Promise<boolean> {
		const request = createRequest();
		const sentAt = history.now();
		const outcome = await send(request);
		history.exchanges.push({
			id: request.id, entry, method: request.method, isUnsafe: request.method === 'POST', marker: request.marker, sentAt, endedAt: history.now(), outcome,
		});
		return typeof outcome !== 'string';
	}

	async function run(): Promise<void> {
		while (!isStopped) {
			if (random() < burstProbability) {
				await Promise.all(Array.from({length: burstRequests}, async () => exchange()));
			}

			const hasResponse = await exchange();
			await delay(hasResponse ? random() * longestPauseMilliseconds : failurePauseMilliseconds);
		}
	}

	const running = Array.from({length: options.count}, async () => run());
	return {
		async stop() {
			isStopped = true;
			await Promise.all(running);
			keptConnections.destroy();
		},
	};
}
