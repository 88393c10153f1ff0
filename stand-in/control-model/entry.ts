/** An entry in a virtual process: the product's client and lease keeper. What each grant says of zones and the configuration is a read. */
import {createControlClient, parseHostName} from '../../source/control-client/index.js';
import {keepLease, type LeaseKeeper} from '../../source/entry/lease/lease-keeper.js';
import {type ControlInbound, type ControlOutbound} from '../../source/control/index.js';
import {type Grant} from '../../source/lease/index.js';
import {type Links} from './links.js';
import {type VirtualProcess} from './virtual-world.js';

/** A running entry. */
export type ModelEntry = {readonly keeper: LeaseKeeper};

/** Options of `startModelEntry`. */
export type ModelEntryOptions = {
	readonly process: VirtualProcess;
	readonly hostNames: readonly string[];
	readonly links: Links;
	/** Gets the present moment of the history. */
	takeMoment(): number;
	/** Called with each applied grant, and the moment at which its renewal was sent. */
	onGrant(grant: Grant, startedAt: number): void;
};

const renewMilliseconds = 500;

/**
 * Starts an entry; must run as its process.
 * @param options - Process and links.
 */
export function startModelEntry(options: ModelEntryOptions): ModelEntry {
	const {process, hostNames, links} = options;
	const momentBySequence = new Map<number, number>();

	function recordSent(message: ControlInbound): void {
		if (message.kind === 'renewal' && !momentBySequence.has(message.sequence)) {
			momentBySequence.set(message.sequence, options.takeMoment());
		}
	}

	const client = createControlClient({
		identity: {name: process.name, sharedKey: '', certificates: undefined},
		hosts: hostNames.map(host => parseHostName(host)),
		onMessage(host: string, message: ControlOutbound) {
			keeper.receive(host, message);
		},
		onFailure({error}) {
			throw error;
		},
		onConnect(host: string) {
			keeper.handleConnect(host);
		},
		createDialer(dialer) {
			const link = links.createDialer(process, `${dialer.host}:${dialer.port}`, dialer);
			return {
				...link,
				send(message) {
					recordSent(message as ControlInbound);
					link.send(message);
				},
			};
		},
	});
	const keeper = keepLease({
		entry: process.name,
		environment: 'production',
		renewMilliseconds,
		peer: undefined,
		getClient: () => client,
		takeObservations: () => [],
		getPermits: () => [],
		takeFailedProbes: () => [],
		takeUnchangedServers: () => [],
		getCrashReports: () => [],
		getEarlierState: () => undefined,
		applyGrant(grant) {
			options.onGrant(grant, momentBySequence.get(grant.sequence) ?? 0);
		},
		setQuarantined() {
			// Nothing crashes servers here.
		},
	});
	return {keeper};
}
