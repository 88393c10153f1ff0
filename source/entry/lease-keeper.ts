/** Keeps the entry's lease: sends renewals to the leader of the control hosts and applies the grants that it returns. */
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

/** Minimum time between a renewal and one that is sent ahead of the regular interval. */
const minimumSpacingMilliseconds = 20;

/** Time beyond the renewal interval without a grant after which the leader counts as unknown. */
const leaderTimeoutMilliseconds = 300;

/** Renews a lease at regular intervals. */
export type LeaseKeeper = {
	readonly holder: LeaseHolder;
	/** Emits each grant after it was applied. */
	readonly grants: Observable<Grant>;
	receive(host: string, message: ControlOutbound): void;
	/** Sends a renewal immediately. */
	renew(): void;
	/** Ends the lease, and sends a final renewal to the leader. */
	release(): void;
	stop(): void;
};

/** Options of `keepLease`. */
export type LeaseKeeperOptions = {
	readonly entry: string;
	readonly environment: Environment;
	readonly renewMilliseconds: number;
	/** Address on which other entries reach this one; undefined if it exchanges no counts. */
	readonly peer: PeerAddress | undefined;
	getClient(): ControlClient;
	takeObservations(): readonly Observation[];
	takeFailedProbes(): readonly number[];
	takeUnchangedServers(): readonly number[];
	/** Applies a grant, with its document if the grant carries a new version. Runs before the grant is acknowledged. */
	applyGrant(grant: Grant, document: EnvironmentDocument | undefined): void;
	/** Replaces the fingerprints of quarantined requests. */
	setQuarantined(fingerprints: readonly string[]): void;
};

/**
 * Starts to renew a lease.
 * @param options - Entry, timing and callbacks.
 */
export function keepLease(options: LeaseKeeperOptions): LeaseKeeper {
	const holder = createLeaseHolder();
	const grants = new Subject<Grant>();
	let lastSentAt = Number.NEGATIVE_INFINITY;
	let lastGrantAt = performance.now();
	let pendingRenewal: NodeJS.Timeout | undefined;
	let document: EnvironmentDocument | undefined;
	let needsFullDocument = false;

	function send(isFinal: boolean): void {
		const now = performance.now();
		const client = options.getClient();
		if (now - lastGrantAt > options.renewMilliseconds + leaderTimeoutMilliseconds) {
			client.setLeader(undefined);
		}

		lastSentAt = now;
		const renewal: Renewal = {
			kind: 'renewal',
			entry: options.entry,
			environment: options.environment,
			sequence: holder.startRenewal(now),
			acknowledged: holder.getAcknowledged(),
			version: needsFullDocument ? 0 : holder.getVersion(),
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

	function scheduleRenewal(): void {
		if (pendingRenewal !== undefined) {
			return;
		}

		const wait = Math.max(0, lastSentAt + minimumSpacingMilliseconds - performance.now());
		pendingRenewal = setTimeout(() => {
			pendingRenewal = undefined;
			send(false);
		}, wait);
	}

	/** Applies an update to the document; returns false if the update is based on a different document. */
	function updateDocument(update: DocumentUpdate): boolean {
		const next = applyDocumentUpdate(document, update);
		document = next.unwrapOr(document);
		return next.isOk;
	}

	function handleGrant(host: string, grant: Grant): void {
		lastGrantAt = performance.now();
		options.getClient().setLeader(host);
		const isFirst = holder.getAcknowledged() === 0;
		const now = performance.now();
		if (!holder.isAcceptable(grant, now)) {
			return;
		}

		const isNewVersion = grant.document !== undefined && grant.version !== holder.getVersion();
		if (isNewVersion && !updateDocument(grant.document)) {
			// A grant must not be applied without its document; the next renewal requests the full document.
			needsFullDocument = true;
			scheduleRenewal();
			return;
		}

		needsFullDocument = false;
		holder.accept(grant, now);
		options.applyGrant(grant, isNewVersion ? document : undefined);
		grants.next(grant);
		if (isFirst || isNewVersion) {
			scheduleRenewal();
		}
	}

	const renewalTimer = setInterval(() => {
		send(false);
	}, options.renewMilliseconds);

	return {
		holder,
		grants,
		receive(host, message) {
			switch (message.kind) {
				case 'grant': {
					handleGrant(host, message);
					return;
				}

				case 'refusal': {
					if (message.leader !== undefined && message.leader !== host) {
						options.getClient().setLeader(message.leader);
						scheduleRenewal();
					}

					return;
				}

				case 'nudge': {
					scheduleRenewal();
					break;
				}

				case 'quarantined': {
					options.setQuarantined(message.fingerprints);
					break;
				}

				case 'directory':
				case 'reply': {
					// The control client matches replies with their requests, and the entry handles directories.
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
			clearInterval(renewalTimer);
			clearTimeout(pendingRenewal);
			grants.complete();
		},
	};
}
