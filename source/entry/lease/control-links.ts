/** Opens the links of an entry to the control hosts that its settings and the control hosts name. */
import {performance} from 'node:perf_hooks';
import {
	createControlClient, createHostDirectory, type ControlClient, type ControlClientOptions,
} from '../../control-client/index.js';
import {getSeeds, type EntrySettings, type Security} from '../../settings/index.js';
import {type Log} from '../../telemetry/index.js';
import {type LeaseKeeper} from './lease-keeper.js';

/** Links to the control hosts. */
export type ControlLinks = {
	readonly client: ControlClient;
	/** Applies the seeds of settings that were read again. */
	setSeeds(settings: EntrySettings): void;
};

/** Options of `openControlLinks`. */
export type ControlLinksOptions = {
	readonly settings: EntrySettings;
	readonly security: Security;
	readonly log: Log;
	/** Keeper of the lease, which receives the messages of the control hosts. */
	readonly leaseKeeper: LeaseKeeper;
	/** Called after a link was ended because of an error. */
	readonly onFailure: ControlClientOptions['onFailure'];
	/** Called with each frame that is sent or received. */
	readonly onTransfer: Required<ControlClientOptions>['onTransfer'];
};

/**
 * Opens the links.
 * @param options - Control hosts, keys and receiver of messages.
 */
export function openControlLinks(options: ControlLinksOptions): ControlLinks {
	const {settings, security, log, leaseKeeper} = options;
	const directory = createHostDirectory({control: settings.control, seeds: getSeeds(settings)});
	const client: ControlClient = createControlClient({
		identity: {...security.link, zone: settings.zone, allowsSlowPings: true},
		hosts: directory.getHosts(),
		onMessage(host, message) {
			if (message.kind === 'directory') {
				client.setHosts(directory.update(message));
				return;
			}

			leaseKeeper.receive(host, message);
		},
		onFailure: options.onFailure,
		onTransfer: options.onTransfer,
		onDisconnect(host) {
			log.warn({host, leaseMilliseconds: Math.round(leaseKeeper.holder.getExpiresAt() - performance.now())}, 'lost the connection to a control host');
		},
		onConnect(host) {
			log.info({host}, 'connected to a control host');
			leaseKeeper.handleConnect(host);
		},
	});
	return {
		client,
		setSeeds(next) {
			client.setHosts(directory.setSeeds(getSeeds(next)));
		},
	};
}
