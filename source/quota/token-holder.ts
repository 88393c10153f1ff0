/**
 * The entry's tokens of one workspace. A request takes one when it arrives and keeps it until it has ended: it is spent if the request may have
 * run, and free again if not. The leader counts a token as held until it is reported as spent, so what runs never exceeds what is counted.
 */
import {createDemandMeter} from './demand-meter.js';
import {type EarlierTokens, type HolderReport, type QuotaTotals} from './holder-report.js';
import {type HolderGrant, type QuotaToken, type SentReport} from './quota-token.js';
import {createSpendingHistory} from './spending-history.js';

/** Free tokens beyond the wanted ones that are kept, so that a rate that varies a little causes no reports. */
const keptSurplus = 1;

/** Longest time in milliseconds for which an entry without tokens does not ask again. */
const maximumAskMilliseconds = 500;

/** What a leader told of all holders, the time at which it was asked, and the rate of the quota then. */
type ToldTotals = {readonly totals: QuotaTotals; readonly askedAt: number; readonly requestsPerSecond: number};

/** Tokens of one workspace. */
export type TokenHolder = {
	/** Takes a token for a request that has arrived, or returns undefined if none is free. */
	tryTake(now: number): QuotaToken | undefined;
	/** Records the arrival of a request. */
	recordDemand(now: number): void;
	/** Gets the report, after giving back what is not wanted. */
	getReport(now: number, waiting: number): HolderReport;
	/** Records that a report was sent. */
	recordSent(report: HolderReport): SentReport;
	/** Records that a leader has received a report. */
	acknowledge(epoch: number, sentReport: SentReport): void;
	/** Checks whether the leader has to learn of a change. */
	isReportDue(report: HolderReport): boolean;
	apply(grant: HolderGrant, now: number): void;
	/** Records that the leader has changed. Tokens of earlier ones end with the lease that these granted, unless the new one knows of them. */
	beginEpoch(epoch: number, earlierLeaseEndsAt: number): void;
	/** Ends all tokens, because the lease has ended. */
	revoke(): void;
	/** Gives back all free tokens. */
	giveBack(): void;
	/** Records the rate of the quota. */
	setRate(requestsPerSecond: number): void;
	/** Gets the time until which the quota is used up, as far as the leader has told. */
	getUsedUpUntil(): number;
	/** Checks whether the leader may be asked for tokens. */
	mayAsk(now: number): boolean;
	getEpoch(): number;
	/** Gets the number of tokens that are free or taken by requests. */
	getHeld(): number;
};

/** Creates a holder without tokens. */
export function createTokenHolder(): TokenHolder {
	const demand = createDemandMeter();
	/** Term of the leader that stated `granted`. */
	let grantedEpoch = 0;
	/** Newest term that the holder knows; grants of earlier leaders are ignored. */
	let epoch = 0;
	let granted = 0;
	let spent = 0;
	let unused = 0;
	let taken = 0;
	/** Largest number of spent tokens that any leader can have received. */
	let sent = 0;
	/** Minimum number of tokens that the last leader counted as held; undefined once the present leader knows what this process had from earlier ones. */
	let earlierHeld: number | undefined;
	/** What the present leader last told of all holders. */
	let told: ToldTotals | undefined;
	/** What an earlier leader last told of all holders. */
	let earlierTold: ToldTotals | undefined;
	let requestsPerSecond = 0;
	const history = createSpendingHistory();
	/** Number of revocations; tokens that were taken before the last one are void. */
	let revocations = 0;
	let endsAt = Number.POSITIVE_INFINITY;
	let acknowledgedKey: string | undefined;
	let usedUpUntil = Number.NEGATIVE_INFINITY;
	let asksAt = Number.NEGATIVE_INFINITY;

	function getFree(): number {
		return granted - spent - taken;
	}

	function giveBack(count: number): void {
		spent += count;
		unused += count;
	}

	function revoke(): void {
		giveBack(Math.max(0, getFree()));
		spent += taken;
		taken = 0;
		revocations++;
	}

	function revokeIfEnded(now: number): void {
		if (now >= endsAt) {
			endsAt = Number.POSITIVE_INFINITY;
			revoke();
		}
	}

	/** Keeps what the process has from earlier leaders, to report it to the leader of a newer term. */
	function enterEpoch(nextEpoch: number): void {
		if (nextEpoch > epoch) {
			earlierHeld = epoch === 0 ? undefined : Math.max(0, granted - sent);
			earlierTold = told ?? earlierTold;
			told = undefined;
			epoch = nextEpoch;
			acknowledgedKey = undefined;
		}
	}

	/** Records that a leader knows what the holder has. */
	function recordKnown(leaderEpoch: number): void {
		enterEpoch(leaderEpoch);
		grantedEpoch = leaderEpoch;
		endsAt = Number.POSITIVE_INFINITY;
	}

	function createToken(): QuotaToken {
		const takenAfter = revocations;
		let isUsed = false;
		let hasEnded = false;

		function isValid(now: number): boolean {
			revokeIfEnded(now);
			return isUsed || takenAfter === revocations;
		}

		return {
			isValid,
			tryUse(now) {
				isUsed = isValid(now);
				return isUsed;
			},
			end(mayHaveRun, now) {
				if (!hasEnded && mayHaveRun) {
					history.record(now);
				}

				if (!hasEnded && takenAfter === revocations) {
					taken--;
					spent += mayHaveRun ? 1 : 0;
				}

				hasEnded = true;
			},
		};
	}

	function getEarlier(now: number): {readonly earlier?: EarlierTokens} {
		if (earlierHeld === undefined) {
			return {};
		}

		const toldEarlier = earlierTold === undefined ? {} : {told: {...earlierTold.totals, age: Math.ceil(now - earlierTold.askedAt), requestsPerSecond: earlierTold.requestsPerSecond}};
		return {earlier: {held: earlierHeld, recent: history.get(now), ...toldEarlier}};
	}

	return {
		tryTake(now) {
			revokeIfEnded(now);
			if (getFree() < 1) {
				return undefined;
			}

			taken++;
			return createToken();
		},
		recordDemand: demand.record,
		getReport(now, waiting) {
			revokeIfEnded(now);
			const wanted = demand.getWanted(now);
			const surplus = getFree() - wanted - waiting;
			if (surplus > (wanted === 0 ? 0 : keptSurplus)) {
				giveBack(surplus);
			}

			return {
				granted, spent, unused, goal: spent + taken + wanted + waiting, ...getEarlier(now),
			};
		},
		recordSent(report) {
			sent = Math.max(sent, report.spent);
			return {key: getKey(report), epoch};
		},
		acknowledge(leaderEpoch, sentReport) {
			if (leaderEpoch < epoch) {
				return;
			}

			recordKnown(leaderEpoch);
			acknowledgedKey = sentReport.key;
			if (sentReport.epoch === epoch) {
				earlierHeld = undefined;
			}
		},
		isReportDue(report) {
			const isKnown = acknowledgedKey === undefined ? report.granted === report.spent && report.goal === report.spent : acknowledgedKey === getKey(report);
			return report.earlier !== undefined || !isKnown;
		},
		apply(grant, now) {
			if (grant.epoch < epoch) {
				return;
			}

			// What the holder has from earlier leaders is recorded before the number of the new one replaces theirs.
			enterEpoch(grant.epoch);
			granted = grant.epoch > grantedEpoch ? grant.granted : Math.max(granted, grant.granted);
			recordKnown(grant.epoch);
			if (told === undefined || grant.askedAt > told.askedAt) {
				told = {totals: grant.totals, askedAt: grant.askedAt, requestsPerSecond};
			}

			if (getFree() > 0) {
				usedUpUntil = Number.NEGATIVE_INFINITY;
			} else if (grant.retryMilliseconds > 0) {
				usedUpUntil = now + grant.retryMilliseconds;
				asksAt = now + Math.min(grant.retryMilliseconds, maximumAskMilliseconds);
			}
		},
		beginEpoch(nextEpoch, earlierLeaseEndsAt) {
			if (nextEpoch > grantedEpoch) {
				enterEpoch(nextEpoch);
				endsAt = Math.min(endsAt, earlierLeaseEndsAt);
			}
		},
		revoke,
		giveBack() {
			giveBack(Math.max(0, getFree()));
		},
		setRate(rate) {
			requestsPerSecond = rate;
		},
		getUsedUpUntil: () => usedUpUntil,
		mayAsk: now => now >= usedUpUntil || now >= asksAt,
		getEpoch: () => epoch,
		getHeld: () => granted - spent,
	};
}

function getKey({spent, unused, goal}: HolderReport): string {
	return `${spent} ${unused} ${goal}`;
}
