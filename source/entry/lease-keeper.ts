/** Keeps the entry's lease: sends renewals, takes grants and puts them in force. */
import {performance} from 'node:perf_hooks';
import {Subject, type Observable} from 'rxjs';
import {
	applyDocumentUpdate, type DocumentUpdate, type Environment, type EnvironmentDocument,
} from '../configuration/index.js';
import {
	createLeaseHolder, type Grant, type LeaseHolder, type Observation, type PeerAddress, type Renewal,
} from '../lease/index.js';
import {type ControlClient} from '../control-client/index.js';
import {type ControlOutbound} from '../control/message.js';

const nudgeSpacingMilliseconds = 20;
const unansweredMilliseconds = 300;

/** Keeps a lease. */
export type LeaseKeeper = {
	readonly holder: LeaseHolder;
	/** Emits each grant after it is in force. */
	readonly grants: Observable<Grant>;
	receive(host: string, message: ControlOutbound): void;
	renew(): void;
	/** Hands the lease back. */
	release(): void;
	stop(): void;
};

/** Options of a keeper. */
export type LeaseKeeperOptions = {
	readonly entry: string;
	readonly environment: Environment;
	readonly renewMilliseconds: number;
	readonly peer: PeerAddress | undefined;
	getClient(): ControlClient;
	takeObservations(): readonly Observation[];
	takeFailedProbes(): readonly number[];
	takeUnchangedServers(): readonly number[];
	/** Puts a grant in force, with its document if it brings another one; runs before the grant is acknowledged. */
	applyGrant(grant: Grant, document: EnvironmentDocument | undefined): void;
	/** Takes the fingerprints that are refused. */
	setQuarantined(fingerprints: readonly string[]): void;
};

/**
 * Starts to keep a lease.
 * @param options - Entry, timing and functions that take grants.
 */
export function keepLease(options: LeaseKeeperOptions): LeaseKeeper {
	const holder = createLeaseHolder();
	const grants = new Subject<Grant>();
	let lastRenewedAt = Number.NEGATIVE_INFINITY;
	let lastAnsweredAt = performance.now();
	let nudge: NodeJS.Timeout | undefined;
	let document: EnvironmentDocument | undefined;
	let wantsWhole = false;

	function send(isFinal: boolean): void {
		const now = performance.now();
		const client = options.getClient();
		if (now - lastAnsweredAt > options.renewMilliseconds + unansweredMilliseconds) {
			client.setLeader(undefined);
		}

		lastRenewedAt = now;
		const renewal: Renewal = {
			kind: 'renewal',
			entry: options.entry,
			environment: options.environment,
			sequence: holder.startRenewal(now),
			acknowledged: holder.getAcknowledged(),
			version: wantsWhole ? 0 : holder.getVersion(),
			epoch: holder.getEpoch(),
			revision: holder.getRevision(),
			peersRevision: holder.getPeersRevision(),
			observations: options.takeObservations(),
			failedProbes: options.takeFailedProbes(),
			heard: options.takeUnchangedServers(),
			crashes: [],
			peer: options.peer,
			isFinal,
		};
		client.sendToLeader(renewal);
	}

	function renewSoon(): void {
		if (nudge !== undefined) {
			return;
		}

		const wait = Math.max(0, lastRenewedAt + nudgeSpacingMilliseconds - performance.now());
		nudge = setTimeout(() => {
			nudge = undefined;
			send(false);
		}, wait);
	}

	/** Updates the document; returns false when the update belongs to another one. */
	function update(change: DocumentUpdate): boolean {
		const next = applyDocumentUpdate(document, change);
		document = next.unwrapOr(document);
		return next.isOk;
	}

	function accept(host: string, grant: Grant): void {
		lastAnsweredAt = performance.now();
		options.getClient().setLeader(host);
		const isFirst = holder.getAcknowledged() === 0;
		const now = performance.now();
		if (!holder.isAcceptable(grant, now)) {
			return;
		}

		const isNewVersion = grant.document !== undefined && grant.version !== holder.getVersion();
		if (isNewVersion && !update(grant.document)) {
			// Without its document the grant must not be in force; the next renewal asks for a whole one.
			wantsWhole = true;
			renewSoon();
			return;
		}

		wantsWhole = false;
		holder.accept(grant, now);
		options.applyGrant(grant, isNewVersion ? document : undefined);
		grants.next(grant);
		if (isFirst || isNewVersion) {
			renewSoon();
		}
	}

	const timer = setInterval(() => {
		send(false);
	}, options.renewMilliseconds);

	return {
		holder,
		grants,
		receive(host, message) {
			switch (message.kind) {
				case 'grant': {
					accept(host, message);
					return;
				}

				case 'refusal': {
					if (message.leader !== undefined && message.leader !== host) {
						options.getClient().setLeader(message.leader);
						renewSoon();
					}

					return;
				}

				case 'nudge': {
					renewSoon();
					break;
				}

				case 'quarantined': {
					options.setQuarantined(message.fingerprints);
					break;
				}

				case 'directory':
				case 'reply': {
					// The client has matched replies with their requests, and the entry takes directories.
					break;
				}
			}
		},
		renew() {
			send(false);
		},
		release() {
			send(true);
			holder.release();
		},
		stop() {
			clearInterval(timer);
			clearTimeout(nudge);
			grants.complete();
		},
	};
}
