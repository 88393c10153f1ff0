/** An operator in a virtual process: it gives one order after the other, and sends each to one control host after the other until it is acknowledged or given up. */
import {setTimeout as delay} from 'node:timers/promises';
import {
	handleCall, type Call, type CallConnection, type CallResponse,
} from './calls.js';
import {type HistoryRecorder} from './history.js';
import {type ModelHost} from './host.js';
import {closeKind, type Network} from './network.js';
import {type OperatorStep} from './plan.js';

/** Options of `runOperator`. */
export type OperatorOptions = {
	readonly name: string;
	readonly steps: readonly OperatorStep[];
	readonly hostNames: readonly string[];
	readonly network: Network;
	readonly history: HistoryRecorder;
	/** Gets a running control host. */
	getHost(name: string): ModelHost | undefined;
	/** Calls a function once the process of a control host ends. */
	onceEnded(name: string, run: () => void): void;
	renderConfiguration(version: number): string;
	readonly trace: ((text: string) => void) | undefined;
};

/** Order with the calls that carry it. */
type Order = {readonly method: string; readonly path: string; readonly body?: string; readonly attempts: number};

const patienceMilliseconds = 1000;
const backoffMilliseconds = 50;
const refusalMilliseconds = 2;
const maximumRedirects = 2;
const noResponse: CallResponse = {status: 0, text: ''};

/** Gets the kind of a call, for the coverage. */
function getKind({method, path}: Call): string {
	const [kind = '', ...rest] = path.split('/').slice(2);
	return `${method} ${kind}${rest.length > 1 ? ' (confirmation)' : ''}`;
}

/**
 * Runs an operator to its end; must run as its process.
 * @param options - Steps, hosts and history.
 */
export async function runOperator(options: OperatorOptions): Promise<void> {
	const {name, steps, hostNames, network, history, trace} = options;

	/** Sends a call over a connection of its own, and closes it when the response has come or after a second. */
	async function send(call: Call): Promise<CallResponse> {
		const host = options.getHost(call.host);
		if (host === undefined) {
			await delay(refusalMilliseconds);
			return noResponse;
		}

		const connection: CallConnection = {openedAt: performance.now(), isClosed: false};
		trace?.(`${name} sends ${call.method} ${call.path} to ${call.host}`);
		const response = await new Promise<CallResponse>(resolve => {
			const timer = setTimeout(resolve, patienceMilliseconds, noResponse);
			function end(result: CallResponse): void {
				clearTimeout(timer);
				resolve(result);
			}

			options.onceEnded(call.host, () => {
				end(noResponse);
			});
			network.send({
				from: name, to: call.host, kind: getKind(call), deliver(isCopy) {
					if (options.getHost(call.host) !== host) {
						// The connection ended with the process that it led to.
						return;
					}

					trace?.(`${call.host} reads ${call.method} ${call.path} of ${name}`);
					handleCall(host.api, call, isCopy ? {...connection, isClosed: false} : connection, result => {
						trace?.(`${call.host} answers ${call.method} ${call.path} of ${name}: ${result.status}`);
						network.send({
							from: call.host, to: name, kind: 'response', deliver() {
								end(result);
							},
						});
					});
				},
			});
		});
		network.send({
			from: name, to: call.host, kind: closeKind, deliver() {
				connection.isClosed = true;
			},
		});
		return response;
	}

	async function sendOnce(order: Order, host: string): Promise<CallResponse> {
		let response = await send({...order, sender: name, host});
		for (let redirects = 0; response.status === 307 && redirects < maximumRedirects; redirects++) {
			const location = new URL(response.location!);
			response = await send({
				...order, sender: name, host: location.host, path: location.pathname,
			});
		}

		trace?.(`${name} got ${response.status} for ${order.method} ${order.path}`);
		return response;
	}

	/** Sends an order until it is acknowledged; returns false if it was given up. */
	async function sendAgain(order: Order, firstHost: number): Promise<boolean> {
		for (let attempt = 0; attempt < order.attempts; attempt++) {
			const {status} = await sendOnce(order, hostNames[(firstHost + attempt) % hostNames.length]!);
			if (status === 200) {
				return true;
			}

			await delay(backoffMilliseconds * (attempt + 1));
		}

		return false;
	}

	async function read(host: string): Promise<void> {
		const startedAt = history.takeMoment();
		const {status, text} = await sendOnce({
			method: 'GET', path: '/-/config', attempts: 1,
		}, host);
		if (status === 200) {
			const {version} = JSON.parse(text) as {readonly version: string};
			history.recordVersion(name, Number.parseInt(version, 16), startedAt);
		}
	}

	async function runStep(step: OperatorStep): Promise<void> {
		switch (step.kind) {
			case 'evacuate':
			case 'withdraw': {
				const {zone} = step;
				const isOut = step.kind === 'evacuate';
				const record = history.startOrder(zone, isOut);
				history.end(record, await sendAgain({
					method: isOut ? 'POST' : 'DELETE', path: `/-/evacuations/${zone}`, attempts: step.attempts,
				}, step.firstHost));
				return;
			}

			case 'declare': {
				const record = history.startDeclaration(step.version);
				history.end(record, await sendAgain({
					method: 'PUT', path: '/-/config', body: options.renderConfiguration(step.version), attempts: step.attempts,
				}, step.firstHost));
				return;
			}

			case 'read': {
				await read(hostNames[step.firstHost]!);
			}
		}
	}

	for (const step of steps) {
		await delay(step.pause);
		await runStep(step);
	}
}
