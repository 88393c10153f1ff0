/** Links between control hosts, and from entries to control hosts, as the product's client and its hosts see them. */
import {NEVER} from 'rxjs';
import {type ControlInbound, type ControlOutbound} from '../../source/control/index.js';
import {type Dialer, type DialerOptions, type Link} from '../../source/wire/index.js';
import {type Network} from './network.js';
import {type VirtualProcess, type VirtualWorld} from './virtual-world.js';

/** Receiver of the messages that arrive at a control host. */
export type LinkReceiver = (link: Link<ControlInbound>, message: ControlInbound) => void;

/** Links of all processes. */
export type Links = {
	/** Lets a control host accept links, and tells those that dial it. */
	open(host: string, receive: LinkReceiver): void;
	/** Closes the links to a control host and from it. */
	close(name: string): void;
	/** Gets the links that a control host has accepted. The set changes with them. */
	getAccepted(host: string): ReadonlySet<Link<ControlInbound>>;
	createDialer(process: VirtualProcess, host: string, options: DialerOptions<ControlOutbound>): Dialer;
};

type Dialed = {readonly process: VirtualProcess; readonly options: DialerOptions<ControlOutbound>; readonly link: Link<ControlInbound>};

const connectMilliseconds = 2;

/** Gets the kind of a message, for the coverage. */
function getKind(message: ControlInbound | ControlOutbound): string {
	if (message.kind === 'consensus') {
		return message.message.kind;
	}

	return message.kind === 'request' ? `request ${message.request.kind}` : message.kind;
}

/**
 * Creates links over a network.
 * @param world - World of the processes.
 * @param network - Network that carries the messages.
 */
export function createLinks(world: VirtualWorld, network: Network): Links {
	const receivers = new Map<string, LinkReceiver>();
	const accepted = new Map<string, Set<Link<ControlInbound>>>();
	const dialedByHost = new Map<string, Set<Dialed>>();

	function getOrAdd<Item>(sets: Map<string, Set<Item>>, name: string): Set<Item> {
		const set = sets.get(name) ?? new Set<Item>();
		sets.set(name, set);
		return set;
	}

	function connect(host: string, dialed: Dialed): void {
		getOrAdd(accepted, host).add(dialed.link);
		world.schedule(connectMilliseconds, {process: dialed.process, run: dialed.options.onConnect});
	}

	function sendToHost(host: string, link: Link<ControlInbound>, message: ControlInbound): void {
		network.send({
			from: link.peer, to: host, kind: getKind(message), deliver() {
				receivers.get(host)?.(link, message);
			},
		});
	}

	return {
		open(host, receive) {
			receivers.set(host, receive);
			for (const dialed of dialedByHost.get(host) ?? []) {
				connect(host, dialed);
			}
		},
		close(name) {
			receivers.delete(name);
			accepted.get(name)?.clear();
			for (const dialed of dialedByHost.get(name) ?? []) {
				world.schedule(connectMilliseconds, {process: dialed.process, run: dialed.options.onDisconnect});
			}

			for (const [host, dials] of dialedByHost) {
				for (const dialed of [...dials].filter(({process}) => process.name === name)) {
					dials.delete(dialed);
					accepted.get(host)?.delete(dialed.link);
				}
			}
		},
		getAccepted: host => getOrAdd(accepted, host),
		createDialer(process, host, options) {
			const link: Link<ControlInbound> = {
				peer: process.name,
				// The model calls the receiver of the host instead.
				messages: NEVER,
				send(message: unknown) {
					const outbound = message as ControlOutbound;
					network.send({
						from: host, to: process.name, kind: getKind(outbound), deliver() {
							if (!process.isEnded) {
								options.onMessage(outbound);
							}
						},
					});
				},
				close() {
					// The model closes all links of a process at once.
				},
			};
			const dialed: Dialed = {process, options, link};
			getOrAdd(dialedByHost, host).add(dialed);
			if (receivers.has(host)) {
				connect(host, dialed);
			}

			return {
				send(message) {
					if (receivers.has(host)) {
						sendToHost(host, link, message as ControlInbound);
					}
				},
				isConnected: () => receivers.has(host),
				getBacklogBytes: () => 0,
				close() {
					getOrAdd(dialedByHost, host).delete(dialed);
				},
			};
		},
	};
}
