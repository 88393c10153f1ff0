/**
 * Operator that follows the platform's protocol: it calls one control host after another, moves on after a second without a
 * response or after a failure, follows redirections, and resends an order for a limited time. Some of the responses that it
 * receives are treated as lost.
 */
import {request as startRequest} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {type Random} from '../source/randomness/index.js';
import {readText} from '../stand-in/platform/control-call.js';
import {type History, type Order, type Version} from './history.js';

const callTimeoutMilliseconds = 1000;
const firstBackoffMilliseconds = 50;
const maximumRedirections = 2;

/** Time within which an order may be resent (`ack_ms`). */
const orderMilliseconds = 4000;

/** Probability that a response to the operator is lost. */
const lossProbability = 0.1;

/** Control host: the address of the link over which the operator reaches it, and its own address, to which redirections point. */
export type ControlAddress = {readonly name: string; readonly host: string; readonly port: number; readonly ownHost: string};

/** An operator. */
export type Operator = {
	/** Orders that a zone is taken out of service or put back, at the given control host first if any, and returns when the order is acknowledged or given up. */
	order(zone: string, isOut: boolean, firstControl?: ControlAddress): Promise<Order>;
	/** Puts a version of the configuration, and returns when it is acknowledged, refused or given up. */
	configure(number: number, configuration: string): Promise<void>;
	/** Reads the configuration at one control host. */
	read(): Promise<void>;
};

/** Options of `createOperator`. */
export type OperatorOptions = {
	readonly history: History;
	/** Source of random numbers for orders. */
	readonly random: Random;
	/** Source of random numbers for what else is called, so that these calls, whose number depends on the time, do not change the orders. */
	readonly otherRandom: Random;
	readonly controls: readonly ControlAddress[];
	/** Whether it follows redirections; one that does not sends its order again. */
	readonly followsRedirections: boolean;
};

type Call = {readonly address: ControlAddress; readonly method: string; readonly path: string; readonly body?: string; readonly isResponseLost: boolean};
type CallResult = {readonly status: number; readonly location?: string; readonly text?: string};

/** Sends one call. The status is 0 if no response arrives in time; the connection is closed then. */
async function sendCall({address, method, path, body, isResponseLost}: Call): Promise<CallResult> {
	return new Promise(resolve => {
		const request = startRequest({
			host: address.host, port: address.port, method, path, agent: false, headers: body === undefined ? {} : {'content-type': 'application/json', 'content-length': body.length},
		}, response => {
			void readText(response).then(text => {
				if (isResponseLost) {
					return;
				}

				clearTimeout(timer);
				resolve({status: text === undefined ? 0 : response.statusCode ?? 0, location: response.headers.location, text});
			});
		});
		const timer = setTimeout(() => {
			request.destroy();
			resolve({status: 0});
		}, callTimeoutMilliseconds);
		request.once('error', () => {
			clearTimeout(timer);
			resolve({status: 0});
		});
		request.end(body);
	});
}

/**
 * Creates an operator.
 * @param options - History, and addresses of the control hosts.
 */
export function createOperator(options: OperatorOptions): Operator {
	const {
		history, random, otherRandom, controls, followsRedirections,
	} = options;

	const redirectionLimit = followsRedirections ? maximumRedirections : 0;

	/** Decides whether the next response is lost; none is after the last fault, when every order must be acknowledged. */
	function isNextLost(source: Random): boolean {
		return history.steadyFrom === undefined && source() < lossProbability;
	}

	/** Sends one call and follows its redirections, over the links. Each of the responses may be lost. */
	async function sendRedirectedCall(control: ControlAddress, call: Pick<Call, 'method' | 'path' | 'body'>, source: Random): Promise<CallResult & {readonly trace: string}> {
		let isResponseLost = isNextLost(source);
		let trace = `${control.name}@${Math.round(history.now())}`;
		let result = await sendCall({...call, address: control, isResponseLost});
		for (let redirections = 0; result.status === 307 && result.location !== undefined && redirections < redirectionLimit; redirections++) {
			const {hostname, pathname, search} = new URL(result.location);
			const address = controls.find(({ownHost}) => ownHost === hostname)!;
			isResponseLost = isNextLost(source);
			trace += `>${address.name}`;
			result = await sendCall({
				...call, address, path: `${pathname}${search}`, isResponseLost,
			});
		}

		return {...result, trace: `${trace}${isResponseLost ? ' lost' : ''}=${result.status}`};
	}

	async function order(zone: string, isOut: boolean, firstControl?: ControlAddress): Promise<Order> {
		const record: Order = {
			zone, isOut, sentAt: history.now(), acknowledgedAt: undefined, endedAt: undefined, attempts: [],
		};
		history.orders.push(record);
		const offset = firstControl === undefined ? Math.floor(random() * controls.length) : controls.indexOf(firstControl);
		let backoff = firstBackoffMilliseconds;
		for (let attempt = 0; history.now() < record.sentAt + orderMilliseconds; attempt++) {
			const control = controls[(offset + attempt) % controls.length]!;
			const {status, trace} = await sendRedirectedCall(control, {method: isOut ? 'POST' : 'DELETE', path: `/-/evacuations/${zone}`}, random);
			record.attempts.push(trace);
			if (status >= 200 && status < 300) {
				record.acknowledgedAt = history.now();
				record.endedAt = record.acknowledgedAt;
				return record;
			}

			await delay(backoff);
			backoff *= 2;
		}

		record.endedAt = history.now();
		return record;
	}

	return {
		order,
		async configure(number, configuration) {
			const version: Version = {
				number, sentAt: history.now(), acknowledgedAt: undefined, refusal: undefined,
			};
			history.versions.push(version);
			const offset = Math.floor(otherRandom() * controls.length);
			for (let attempt = 0; history.now() < version.sentAt + orderMilliseconds; attempt++) {
				const {status} = await sendRedirectedCall(controls[(offset + attempt) % controls.length]!, {method: 'PUT', path: '/-/config', body: configuration}, otherRandom);
				if (status >= 200 && status < 300) {
					version.acknowledgedAt = history.now();
					return;
				}

				if (status >= 400 && status < 500) {
					version.refusal = status;
					return;
				}

				await delay(firstBackoffMilliseconds);
			}
		},
		async read() {
			const sentAt = history.now();
			const control = controls[Math.floor(otherRandom() * controls.length)]!;
			const {status, text} = await sendRedirectedCall(control, {method: 'GET', path: '/-/config'}, otherRandom);
			if (status === 200) {
				const {version} = JSON.parse(text ?? '') as {readonly version: string};
				history.readings.push({
					control: control.name, sentAt, endedAt: history.now(), number: Number.parseInt(version, 16),
				});
			}
		},
	};
}
