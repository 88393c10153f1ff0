/**
 * The zones out of service as an entry acts on them: their revision, which host granted them and since when. Logs each change of
 * the revision or the zones, and a lease that ends while the entry goes on with what it knows.
 */
import {type Grant} from '../../lease/index.js';
import {type Log} from '../../telemetry/index.js';

const millisecondsPerSecond = 1000;

/** Record of the zones that an entry acts on. */
export type ZoneView = {
	/**
	 * Records a grant that the entry has applied.
	 * @param grant - Applied grant.
	 * @param host - Control host that sent it.
	 * @param sentAt - Time at which the renewal was sent; the grant reflects a later state.
	 */
	recordGrant(grant: Grant, host: string, sentAt: number): void;
	/** Records whether the lease is valid; logs when it ends and when the next one begins. */
	recordLease(isValid: boolean): void;
	/** Gets the revision of the zones, or 0 if none is known. */
	getRevision(): number;
	/** Gets the number of zones out of service. */
	getZonesOutCount(): number;
	/** Gets the time since the renewal of the last grant was sent, in seconds; infinite before the first grant. */
	getGrantAgeSeconds(): number;
};

/** Options of `createZoneView`. */
export type ZoneViewOptions = {
	readonly log: Log;
	/** Whether the entry goes on to send requests after its lease has ended. */
	readonly isServingWithoutControl: boolean;
	/** Gets the current time in milliseconds. */
	getTime(): number;
};

type View = {readonly zonesOut: readonly string[]; readonly revision: number; readonly epoch: number; readonly host: string};

/**
 * Creates a record without a grant.
 * @param options - Log and clock.
 */
export function createZoneView(options: ZoneViewOptions): ZoneView {
	const {log, isServingWithoutControl, getTime} = options;
	let view: View | undefined;
	let sinceAt = Number.NEGATIVE_INFINITY;
	let grantSentAt = Number.NEGATIVE_INFINITY;
	let leaseEndedAt: number | undefined;

	function getMilliseconds(since: number): number {
		return Math.round(getTime() - since);
	}

	/** Logs the zones of a grant if they differ from the ones before. A revision below the one before means that the granting host lags behind. */
	function recordZones(next: View, previous: View | undefined): void {
		const isSame = next.revision === previous?.revision && next.zonesOut.join(' ') === previous.zonesOut.join(' ');
		if (isSame) {
			return;
		}

		const isEarlier = next.revision < (previous?.revision ?? 0);
		log[isEarlier ? 'warn' : 'info']({
			...next, previousRevision: previous?.revision, previousMilliseconds: previous === undefined ? undefined : getMilliseconds(sinceAt), grantMilliseconds: getMilliseconds(grantSentAt),
		}, isEarlier ? 'zones out of service; their revision is an earlier one' : 'zones out of service');
		sinceAt = getTime();
	}

	return {
		recordGrant({zonesOut, zonesRevision = 0, epoch}, host, sentAt) {
			const previous = view;
			grantSentAt = sentAt;
			view = {
				zonesOut, revision: zonesRevision, epoch, host,
			};
			recordZones(view, previous);
		},
		recordLease(isValid) {
			if (view === undefined || isValid === (leaseEndedAt === undefined)) {
				return;
			}

			const fields = {...view, sinceMilliseconds: getMilliseconds(sinceAt), grantMilliseconds: getMilliseconds(grantSentAt)};
			if (isValid) {
				log.info({...fields, withoutLeaseMilliseconds: getMilliseconds(leaseEndedAt!)}, 'lease granted again');
				leaseEndedAt = undefined;
			} else {
				log.warn({...fields, serves: isServingWithoutControl}, 'lease ended');
				leaseEndedAt = getTime();
			}
		},
		getRevision: () => view?.revision ?? 0,
		getZonesOutCount: () => view?.zonesOut.length ?? 0,
		getGrantAgeSeconds: () => (getTime() - grantSentAt) / millisecondsPerSecond,
	};
}
