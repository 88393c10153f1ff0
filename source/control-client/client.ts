/**
 * Sends requests to the leading control host. A request that reaches another host, or gets
 * no response, is retried on the next host until its timeout. Requests carry change, attempt
 * or boot ids, so that a duplicate has no effect.
 */
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {
	type ControlResponse, type ControlInbound, type ControlOutbound, type ControlRequest,
} from '../control/message.js';
import {checkOutbound} from '../control/outbound-check.js';
import {
	createDialer as createSocketDialer, type Dialer, type DialerOptions, type LinkIdentity, type Transfer,
} from '../wire/index.js';

const attemptTimeoutMilliseconds = 1000;
const retryDelayMilliseconds = 25;

/** Name and address of a control host. */
export type ControlAddress = {readonly name: string; readonly host: string; readonly port: number};

/**
 * Parses the address of a control host from its name, which has the form `host:port`.
 * @param name - Name of the control host.
 */
export function parseHostName(name: string): ControlAddress {
	const colon = name.lastIndexOf(':');
	return {name, host: name.slice(0, colon), port: Number(name.slice(colon + 1))};
}

/**
 * Gets the name of a control host from its address, as `host:port`.
 * @param address - Address for links.
 */
export function formatHostName(address: {readonly host: string; readonly port: number}): string {
	return `${address.host}:${address.port}`;
}

/** Client with links to all control hosts. */
export type ControlClient = {
	/** Sends a request to the leader. Resolves to `unknown` if no leader responds within the timeout. */
	submit(request: ControlRequest, timeoutMilliseconds: number): Promise<ControlResponse>;
	/** Sends a message to the last known leader, or to all control hosts if none is known or connected, and returns to whom. */
	sendToLeader(message: ControlInbound): 'leader' | 'all';
	/** Sends a message to one control host. */
	sendTo(host: string, message: ControlInbound): void;
	broadcast(message: ControlInbound): void;
	/** Gets the number of bytes queued for one control host. */
	getBacklogBytes(host: string): number;
	/** Sets the control host that is assumed to be the leader; undefined if none is known. */
	setLeader(name: string | undefined): void;
	getLeader(): string | undefined;
	/** Replaces the control hosts, and closes the links to hosts that are no longer among them. */
	setHosts(hosts: readonly ControlAddress[]): void;
	close(): void;
};

/** Options of `createControlClient`. */
export type ControlClientOptions = {
	readonly identity: LinkIdentity;
	readonly hosts: readonly ControlAddress[];
	onMessage(host: string, message: ControlOutbound): void;
	/** Called after a link was ended because a message was malformed or its handler failed. */
	readonly onFailure: DialerOptions<ControlOutbound>['onFailure'];
	onConnect(host: string): void;
	/** Called when an open link is closed. */
	onDisconnect?(host: string): void;
	/** Called with each frame that is sent or received. */
	onTransfer?(transfer: Transfer): void;
	/** Creates the link to a control host; over a socket by default. */
	createDialer?(options: DialerOptions<ControlOutbound>): Dialer;
};

type PendingRequest = {readonly settle: (response: ControlResponse) => void};

/**
 * Connects to all control hosts.
 * @param options - Addresses, identity and event callbacks.
 */
export function createControlClient(options: ControlClientOptions): ControlClient {
	const {createDialer = createSocketDialer} = options;
	const dialers = new Map<string, Dialer>();
	const pendingRequests = new Map<number, PendingRequest>();
	let leader: string | undefined;
	let nextId = 1;
	let hostRotationIndex = 0;
	let isClosed = false;

	function dial(host: ControlAddress): Dialer {
		return createDialer({
			identity: options.identity,
			host: host.host,
			port: host.port,
			check: checkOutbound,
			onFailure: options.onFailure,
			onMessage(message) {
				if (message.kind === 'reply') {
					pendingRequests.get(message.id)?.settle(message.answer);
				} else {
					options.onMessage(host.name, message);
				}
			},
			onTransfer(transfer) {
				options.onTransfer?.(transfer);
			},
			onConnect() {
				options.onConnect(host.name);
			},
			onDisconnect() {
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
		hostRotationIndex++;
		return connected[hostRotationIndex % Math.max(1, connected.length)];
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
			const deadlineAt = performance.now() + timeoutMilliseconds;
			while (!isClosed) {
				const remainingMilliseconds = deadlineAt - performance.now();
				if (remainingMilliseconds <= 0) {
					break;
				}

				const host = chooseHost();
				const response: ControlResponse = host === undefined ? {kind: 'unknown'} : await attempt(host, request, Math.min(remainingMilliseconds, attemptTimeoutMilliseconds));
				if (response.kind !== 'notLeader' && response.kind !== 'unknown') {
					return response;
				}

				leader = response.kind === 'notLeader' ? response.leader : undefined;
				await delay(Math.min(retryDelayMilliseconds, Math.max(0, deadlineAt - performance.now())));
			}

			return {kind: 'unknown'};
		},
		sendToLeader(message) {
			if (leader !== undefined && dialers.get(leader)?.isConnected()) {
				dialers.get(leader)?.send(message);
				return 'leader';
			}

			for (const dialer of dialers.values()) {
				dialer.send(message);
			}

			return 'all';
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

			for (const pendingRequest of pendingRequests.values()) {
				pendingRequest.settle({kind: 'unknown'});
			}
		},
	};
}
