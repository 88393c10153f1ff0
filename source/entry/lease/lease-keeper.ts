/** Keeps the entry's lease: sends renewals to the leader of the control hosts and applies the grants that it returns. */
import {randomBytes} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {Subject, type Observable} from 'rxjs';
import {
	applyDocumentUpdate, noVersion, type DocumentUpdate, type EnvironmentDocument,
} from '../../configuration/index.js';
import {
	createLeaseHolder, createRenewalPacing, createUnansweredSheds, withoutKeptPermits, type Grant, type LeaseHolder, type Renewal,
} from '../../lease/index.js';
import {type ControlOutbound} from '../../control/message.js';
import {type LeaseKeeperOptions} from './lease-keeper-options.js';

/** Time beyond the renewal interval without an answer after which a renewal counts as lost and the leader as unknown. */
const leaderTimeoutMilliseconds = 300;

/** Size of the random id of the process in bytes. It tells processes of one entry apart, and is part of every renewal. */
const processIdBytes = 6;

/** Renews a lease at regular intervals. */
export type LeaseKeeper = {
	readonly holder: LeaseHolder;
	/** Random id of the process, which is part of every renewal. */
	readonly process: string;
	/** Emits each grant after it was applied. */
	readonly grants: Observable<Grant>;
	receive(host: string, message: ControlOutbound): void;
	/** Sends a renewal immediately. */
	renew(): void;
	/** Sends a renewal as soon as possible, because the grant of the one on its way may be of no use. */
	expedite(): void;
	/** Sends the renewal that is on its way to a host that has just been connected, unless another host is known to lead. */
	handleConnect(host: string): void;
	/** Ends the lease, and sends a final renewal to the leader. */
	release(): void;
	stop(): void;
};

/**
 * Starts to renew a lease.
 * @param options - Entry, timing and callbacks.
 */
export function keepLease(options: LeaseKeeperOptions): LeaseKeeper {
	const process = randomBytes(processIdBytes).toString('base64url');
	const holder = createLeaseHolder();
	const grants = new Subject<Grant>();
	const unansweredSheds = createUnansweredSheds();
	const pacing = createRenewalPacing({renewMilliseconds: options.renewMilliseconds, answerTimeoutMilliseconds: options.renewMilliseconds + leaderTimeoutMilliseconds});
	let isStopped = false;
	let timer: NodeJS.Timeout | undefined;
	let document: EnvironmentDocument | undefined;
	let needsFullDocument = false;
	let wasSentToAll = false;
	let lastRenewal: Renewal | undefined;
	/** Epoch of the leader that knows the crashes of this entry. */
	let crashesEpoch = 0;

	function send(isFinal: boolean): void {
		// Noticed later, a suspension would count for this renewal too, and its grant would be refused.
		options.observeSuspension?.();
		const now = performance.now();
		const client = options.getClient();
		if (pacing.isUnanswered(now)) {
			client.setLeader(undefined);
		}

		pacing.recordSent(now);
		const earlier = options.getEarlierState();
		const sequence = holder.startRenewal(now);
		const quota = options.getQuotaReports?.({sequence, isFinal}, now);
		const renewal: Renewal = {
			kind: 'renewal',
			entry: options.entry,
			process,
			environment: options.environment,
			sequence,
			acknowledged: holder.getAcknowledged(),
			version: needsFullDocument || document === undefined ? noVersion : holder.getVersion(),
			epoch: holder.getEpoch(),
			revision: holder.getRevision(),
			logIndex: holder.getLogIndex(),
			peersRevision: holder.getPeersRevision(),
			observations: unansweredSheds.addTo(sequence, options.takeObservations()),
			held: holder.isValid(now) ? options.getPermits() : [],
			slack: options.getSlackReport?.(now),
			...(quota === undefined ? {} : {quota}),
			failedProbes: options.takeFailedProbes(),
			heard: options.takeUnchangedServers(),
			crashes: holder.getEpoch() === crashesEpoch ? [] : options.getCrashReports(),
			...(earlier === undefined ? {} : {earlier}),
			peer: options.peer,
			isFinal,
		};
		lastRenewal = renewal;
		wasSentToAll = client.sendToLeader(renewal) === 'all';
		schedule();
	}

	/** Schedules the next renewal for the time at which it is due. */
	function schedule(): void {
		clearTimeout(timer);
		if (!isStopped) {
			timer = setTimeout(send, Math.max(0, pacing.getDueAt() - performance.now()), false);
		}
	}

	function stopRenewals(): void {
		isStopped = true;
		clearTimeout(timer);
	}

	function scheduleRenewal(): void {
		pacing.request();
		schedule();
	}

	/** Applies an update to the document; returns false if the update is based on a different document. */
	function updateDocument(update: DocumentUpdate): boolean {
		const next = applyDocumentUpdate(document, update);
		document = next.unwrapOr(document);
		return next.isOk;
	}

	function handleGrant(host: string, grant: Grant): void {
		options.observeSuspension?.();
		if (grant.sequence === lastRenewal?.sequence) {
			pacing.recordAnswer();
		}

		options.getClient().setLeader(host);
		schedule();
		const isFirst = holder.getAcknowledged() === 0;
		const now = performance.now();
		if (!holder.isAcceptable(grant, now)) {
			return;
		}

		const isNewVersion = grant.document !== undefined && (document === undefined || grant.version !== holder.getVersion());
		if (isNewVersion && !updateDocument(grant.document)) {
			// A grant must not be applied without its document; the next renewal requests the full document.
			needsFullDocument = true;
			scheduleRenewal();
			return;
		}

		needsFullDocument = false;
		const hasHeldLease = holder.isValid(now);
		holder.accept(grant, now);
		unansweredSheds.recordAnswer(grant);
		if (grant.sequence === lastRenewal?.sequence && lastRenewal.epoch === grant.epoch) {
			crashesEpoch = grant.epoch;
		}

		options.applyGrant(hasHeldLease ? grant : withoutKeptPermits(grant), isNewVersion ? document : undefined, host);
		grants.next(grant);
		const isOwedCrashes = crashesEpoch !== grant.epoch && options.getCrashReports().length > 0;
		if (isFirst || isNewVersion || isOwedCrashes || options.isQuotaReportOwed?.() === true) {
			scheduleRenewal();
		}
	}

	/** Follows the hint of a host that does not lead. The leader has the renewal already if it was sent to all hosts. */
	function handleRefusal(host: string, leader: string | undefined): void {
		if (leader === undefined || leader === host) {
			pacing.recordAnswer();
			schedule();
			return;
		}

		options.getClient().setLeader(leader);
		if (!wasSentToAll) {
			pacing.expedite();
			schedule();
		}
	}

	/** Renews early. A nudge comes from the leader, so a renewal that is on its way to another host is lost. */
	function handleNudge(host: string): void {
		if (options.getClient().getLeader() !== host) {
			options.getClient().setLeader(host);
			pacing.expedite();
		}

		scheduleRenewal();
	}

	timer = setTimeout(send, options.renewMilliseconds, false);

	return {
		holder,
		process,
		grants,
		receive(host, message) {
			switch (message.kind) {
				case 'grant': {
					handleGrant(host, message);
					return;
				}

				case 'refusal': {
					handleRefusal(host, message.leader);
					return;
				}

				case 'nudge': {
					handleNudge(host);
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
		expedite() {
			pacing.expedite();
			schedule();
		},
		handleConnect(host) {
			const client = options.getClient();
			if (lastRenewal === undefined || !pacing.isOnItsWay()) {
				if (!isStopped) {
					send(false);
				}
			} else if ((client.getLeader() ?? host) === host) {
				// A host that was not connected when the renewal was sent may have been named as the leader since.
				client.sendTo(host, lastRenewal);
			}
		},
		release() {
			send(true);
			holder.release();
			// A renewal after the final one would be granted a lease that nobody returns.
			stopRenewals();
		},
		stop() {
			stopRenewals();
			grants.complete();
		},
	};
}
