/**
 * Sends requests to whichever control host leads. A request that meets another
 * host, or no answer, is sent again to the next one until its time is up; requests
 * carry change, attempt or boot ids, so a second arrival changes nothing.
 */
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {
	type ControlResponse, type ControlInbound, type ControlOutbound, type ControlRequest,
} from '../control/message.js';
import {createDialer, type Dialer, type LinkIdentity} from '../wire/index.js';

const attemptTimeoutMilliseconds = 1000;
const retryPauseMilliseconds = 25;

/** A control host's name and address. */
export type ControlAddress = {readonly name: string; readonly host: string; readonly port: number};

/**
 * Gets the address of a control host that is named after it: `host:port`.
 * @param name - Name of the control host.
 */
export function parseHostName(name: string): ControlAddress {
	const colon = name.lastIndexOf(':');
	return {name, host: name.slice(0, colon), port: Number(name.slice(colon + 1))};
}

/**
 * Gets the name of a control host that is named after its address.
 * @param address - Address for links.
 */
export function formatHostName(address: {readonly host: string; readonly port: number}): string {
	return `${address.host}:${address.port}`;
}

/** Links to all control hosts. */
export type ControlClient = {
	/** Sends a request to the leader; resolves to `unknown` when no leader answered in time. */
	submit(request: ControlRequest, timeoutMilliseconds: number): Promise<ControlResponse>;
	/** Sends a message to the control host that is believed to lead, or to all when none is. */
	sendToLeader(message: ControlInbound): void;
	/** Sends a message to one control host. */
	sendTo(host: string, message: ControlInbound): void;
	broadcast(message: ControlInbound): void;
	/** Gets the bytes that wait to be sent to one control host. */
	getBacklogBytes(host: string): number;
	/** Takes a hint about the leader; undefined when nothing is known. */
	setLeader(name: string | undefined): void;
	getLeader(): string | undefined;
	/** Links to exactly these control hosts from now on. */
	setHosts(hosts: readonly ControlAddress[]): void;
	close(): void;
};

/** Options of a client. */
export type ControlClientOptions = {
	readonly identity: LinkIdentity;
	readonly hosts: readonly ControlAddress[];
	onMessage(host: string, message: ControlOutbound): void;
	onConnect(host: string): void;
	/** Called when a link that was open is lost. */
	onDisconnect?(host: string): void;
};

type PendingRequest = {readonly settle: (response: ControlResponse) => void};

/**
 * Connects to all control hosts.
 * @param options - Addresses, identity and functions that take events.
 */
export function createControlClient(options: ControlClientOptions): ControlClient {
	const dialers = new Map<string, Dialer>();
	const pendingRequests = new Map<number, PendingRequest>();
	let leader: string | undefined;
	let nextId = 1;
	let rotation = 0;
	let isClosed = false;

	function dial(host: ControlAddress): Dialer {
		return createDialer<ControlOutbound>({
			identity: options.identity,
			host: host.host,
			port: host.port,
			received(message) {
				if (message.kind === 'reply') {
					pendingRequests.get(message.id)?.settle(message.answer);
				} else {
					options.onMessage(host.name, message);
				}
			},
			opened() {
				options.onConnect(host.name);
			},
			closed() {
				options.onDisconnect?.(host.name);
				if (leader === host.name) {
					leader = undefined;
				}
			},
		});
	}

	function setHosts(hosts: readonly ControlAddress[]): void {
		const names = new Set(hosts.map(host => host.name));
		for (const [name, dialer] of dialers) {
			if (!names.has(name)) {
				dialers.delete(name);
				dialer.close();
			}
		}

		for (const host of hosts) {
			if (!dialers.has(host.name)) {
				dialers.set(host.name, dial(host));
			}
		}
	}

	setHosts(options.hosts);

	function chooseHost(): string | undefined {
		if (leader !== undefined && dialers.get(leader)?.isConnected()) {
			return leader;
		}

		const connected = [...dialers].filter(([, dialer]) => dialer.isConnected()).map(([name]) => name);
		rotation++;
		return connected[rotation % Math.max(1, connected.length)];
	}

	async function attempt(host: string, request: ControlRequest, timeoutMilliseconds: number): Promise<ControlResponse> {
		const id = nextId++;
		return new Promise(resolve => {
			const timer = setTimeout(settle, timeoutMilliseconds, {kind: 'unknown'});
			function settle(response: ControlResponse): void {
				clearTimeout(timer);
				pendingRequests.delete(id);
				resolve(response);
			}

			pendingRequests.set(id, {settle});
			dialers.get(host)?.send({kind: 'request', id, request});
		});
	}

	return {
		async submit(request, timeoutMilliseconds) {
			const until = performance.now() + timeoutMilliseconds;
			while (!isClosed) {
				const remainingMilliseconds = until - performance.now();
				if (remainingMilliseconds <= 0) {
					break;
				}

				const host = chooseHost();
				const response: ControlResponse = host === undefined ? {kind: 'unknown'} : await attempt(host, request, Math.min(remainingMilliseconds, attemptTimeoutMilliseconds));
				if (response.kind !== 'notLeader' && response.kind !== 'unknown') {
					return response;
				}

				leader = response.kind === 'notLeader' ? response.leader : undefined;
				await delay(Math.min(retryPauseMilliseconds, Math.max(0, until - performance.now())));
			}

			return {kind: 'unknown'};
		},
		sendToLeader(message) {
			if (leader !== undefined && dialers.get(leader)?.isConnected()) {
				dialers.get(leader)?.send(message);
			} else {
				for (const dialer of dialers.values()) {
					dialer.send(message);
				}
			}
		},
		sendTo(host, message) {
			dialers.get(host)?.send(message);
		},
		broadcast(message) {
			for (const dialer of dialers.values()) {
				dialer.send(message);
			}
		},
		getBacklogBytes: host => dialers.get(host)?.getBacklogBytes() ?? 0,
		setLeader(name) {
			leader = name;
		},
		getLeader: () => leader,
		setHosts,
		close() {
			isClosed = true;
			for (const dialer of dialers.values()) {
				dialer.close();
			}

			for (const request of pendingRequests.values()) {
				request.settle({kind: 'unknown'});
			}
		},
	};
}
