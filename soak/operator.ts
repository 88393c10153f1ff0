/**
 * Operator that follows the platform's protocol: it calls one control host after another, moves on after a second without a
 * response or after a failure, follows redirections, and resends an order for a limited time. Some of the responses that it
 * receives are treated as lost.
 */
import {request as startRequest} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {type Random} from '../source/randomness/index.js';
import {type History, type Order} from './history.js';

const callTimeoutMilliseconds = 1000;
const firstBackoffMilliseconds = 50;
const maximumRedirections = 2;

/** Time within which an order may be resent (`ack_ms`). */
const orderMilliseconds = 4000;

/** Probability that a response to the operator is lost. */
const lossProbability = 0.1;

/** Address of a control host as the operator sees it. */
export type ControlAddress = {readonly name: string; readonly host: string; readonly port: number};

/** An operator. */
export type Operator = {
	/** Orders that a zone is taken out of service or put back, at the given control host first if any, and returns when the order is acknowledged or given up. */
	order(zone: string, isOut: boolean, firstControl?: ControlAddress): Promise<Order>;
	/** Puts a configuration until it is acknowledged. */
	configure(configuration: string): Promise<void>;
};

/** Options of `createOperator`. */
export type OperatorOptions = {
	readonly history: History;
	readonly random: Random;
	readonly controls: readonly ControlAddress[];
};

type Call = {readonly address: {readonly host: string; readonly port: number}; readonly method: string; readonly path: string; readonly body?: string; readonly isResponseLost: boolean};
type CallResult = {readonly status: number; readonly location: string | undefined};

/** Sends one call. The status is 0 if no response arrives in time; the connection is closed then. */
async function sendCall({address, method, path, body, isResponseLost}: Call): Promise<CallResult> {
	return new Promise(resolve => {
		const request = startRequest({
			...address, method, path, agent: false, headers: body === undefined ? {} : {'content-type': 'application/json', 'content-length': body.length},
		}, response => {
			response.resume();
			if (isResponseLost) {
				return;
			}

			clearTimeout(timer);
			resolve({status: response.statusCode ?? 0, location: response.headers.location});
		});
		const timer = setTimeout(() => {
			request.destroy();
			resolve({status: 0, location: undefined});
		}, callTimeoutMilliseconds);
		request.once('error', () => {
			clearTimeout(timer);
			resolve({status: 0, location: undefined});
		});
		request.end(body);
	});
}

/** Sends one call and follows its redirections. */
async function sendRedirectedCall(call: Call): Promise<CallResult> {
	let result = await sendCall(call);
	for (let redirections = 0; result.status === 307 && result.location !== undefined && redirections < maximumRedirections; redirections++) {
		const {hostname, port, pathname, search} = new URL(result.location);
		result = await sendCall({...call, address: {host: hostname, port: Number(port)}, path: `${pathname}${search}`});
	}

	return result;
}

/**
 * Creates an operator.
 * @param options - History, and addresses of the control hosts.
 */
export function createOperator(options: OperatorOptions): Operator {
	const {history, random, controls} = options;

	async function order(zone: string, isOut: boolean, firstControl?: ControlAddress): Promise<Order> {
		const record: Order = {
			zone, isOut, sentAt: history.now(), acknowledgedAt: undefined, attempts: [],
		};
		history.orders.push(record);
		const offset = firstControl === undefined ? Math.floor(random() * controls.length) : controls.indexOf(firstControl);
		let backoff = firstBackoffMilliseconds;
		for (let attempt = 0; history.now() < record.sentAt + orderMilliseconds; attempt++) {
			const control = controls[(offset + attempt) % controls.length]!;
			const isResponseLost = random() < lossProbability;
			const sentAt = history.now();
			const {status} = await sendRedirectedCall({
				address: {host: control.host, port: control.port}, method: isOut ? 'POST' : 'DELETE', path: `/-/evacuations/${zone}`, isResponseLost,
			});
			record.attempts.push(`${control.name}@${Math.round(sentAt)}${isResponseLost ? ' lost' : ''}=${status}`);
			if (status >= 200 && status < 300) {
				record.acknowledgedAt = history.now();
				return record;
			}

			await delay(backoff);
			backoff *= 2;
		}

		return record;
	}

	return {
		order,
		async configure(configuration) {
			for (let attempt = 0; ; attempt++) {
				const {host, port} = controls[attempt % controls.length]!;
				const {status} = await sendRedirectedCall({
					address: {host, port}, method: 'PUT', path: '/-/config', body: configuration, isResponseLost: false,
				});
				if (status >= 200 && status < 300) {
					return;
				}

				await delay(firstBackoffMilliseconds);
			}
		},
	};
}
