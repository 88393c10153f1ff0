/** Caller of an entry that sends several requests on a connection before it has the responses. At times it leaves before the last one. */
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {createRequestSource, type CallerRequest} from './caller-request.js';
import {type Callers, type CallersOptions} from './callers.js';
import {digestBody, type Exchange} from './history.js';
import {createResponseReader, type ReadResponse} from './response-reader.js';

const maximumRequests = 6;
const longestPauseMilliseconds = 120;
const patienceMilliseconds = 2500;

/** Probability that a burst goes to the connection of the one before. */
const keptProbability = 0.6;

/** Outcome of requests whose connection ended with the incomplete response to an earlier one. */
export const behindIncomplete = 'closed behind an incomplete response';

type PendingRequest = CallerRequest & {readonly sentAt: number};

function render({id, method, path, deadlineMilliseconds, isChunked}: CallerRequest): string {
	const body = method === 'POST' ? `order ${id}` : '';
	const framing = method === 'POST' ? (isChunked ? 'Transfer-Encoding: chunked\r\n' : `Content-Length: ${body.length}\r\n`) : '';
	const content = method === 'POST' && isChunked ? `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n` : body;
	return `${method} ${path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: ${deadlineMilliseconds}\r\n${framing}\r\n${content}`;
}

function getOutcome({status, headers, body}: ReadResponse): Exchange['outcome'] {
	return body === undefined
		? 'incomplete'
		: {
			status, signature: headers.get('upstream-signature'), digest: digestBody(body), size: body.length,
		};
}

/**
 * Starts a caller that pipelines its requests.
 * @param options - Entry, history and random numbers.
 */
export function startPipeliningCaller(options: Omit<CallersOptions, 'count'>): Callers {
	const {entry, host, port, history, random} = options;
	const createRequest = createRequestSource({prefix: `${entry}.pipelined`, history, random});
	let isStopped = false;
	let socket: Socket | undefined;
	let pending: PendingRequest[] = [];
	let handleIdle: (() => void) | undefined;

	function record({id, method, marker, sentAt}: PendingRequest, outcome: Exchange['outcome']): void {
		history.exchanges.push({
			id, entry, method, isUnsafe: method === 'POST', marker, sentAt, endedAt: history.now(), outcome,
		});
		if (pending.length === 0) {
			handleIdle?.();
		}
	}

	/** Records why the pending requests have no response. */
	function abandon(outcome: string): void {
		const abandoned = pending;
		pending = [];
		for (const request of abandoned) {
			record(request, outcome);
		}
	}

	function open(): Socket {
		const opened = connect(port, host);
		let isBrokenOff = false;
		const reader = createResponseReader({
			getMethod: () => pending[0]?.method,
			onResponse(response) {
				isBrokenOff = response.body === undefined;
				// What arrives without a request is recorded too: it belongs to none.
				record(pending.shift() ?? {...createRequest(), id: `${entry}.unasked`, sentAt: history.now()}, getOutcome(response));
			},
		});
		let isInOrder = false;
		opened.setEncoding('latin1');
		opened.on('data', (text: string) => {
			if (socket === opened) {
				reader.receive(text);
			}
		});
		opened.once('end', () => {
			isInOrder = true;
		});
		opened.on('error', () => {
			opened.destroy();
		});
		opened.once('close', () => {
			if (socket === opened) {
				reader.end(isInOrder);
				socket = undefined;
				abandon(isBrokenOff ? behindIncomplete : 'closed');
			}
		});
		return opened;
	}

	function leave(outcome: string): void {
		const left = socket;
		socket = undefined;
		left?.destroy();
		abandon(outcome);
	}

	async function sendBurst(): Promise<void> {
		if (random() >= keptProbability) {
			leave('left');
		}

		socket ??= open();
		const requests = Array.from({length: 1 + Math.floor(random() * maximumRequests)}, () => createRequest());
		pending = requests.map(request => ({...request, sentAt: history.now()}));
		const idle = new Promise<void>(resolve => {
			handleIdle = resolve;
		});
		socket.write(requests.map(request => render(request)).join(''));
		const shortestStay = Math.min(...requests.map(({stayMilliseconds}) => stayMilliseconds));
		const timer = setTimeout(() => {
			leave(shortestStay === Infinity ? 'timeout' : 'left');
		}, Math.min(shortestStay, patienceMilliseconds));
		await idle;
		clearTimeout(timer);
	}

	async function run(): Promise<void> {
		while (!isStopped) {
			await sendBurst();
			await delay(random() * longestPauseMilliseconds);
		}
	}

	const running = run();
	return {
		async stop() {
			isStopped = true;
			await running;
			socket?.destroy();
		},
	};
}
