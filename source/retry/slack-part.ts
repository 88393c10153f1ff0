/**
 * The entry's side of the slack that all entries share: its part of the slack, which the leader lends with the lease, and a budget of extra
 * attempts for each service that the part limits. Without a part, an entry has one extra attempt beyond the ratio of its requests.
 */
import {type SlackGrant, type SlackReport} from '../lease/index.js';
import {type AttemptBudget} from './attempt-budget.js';
import {createSlackMeter, type SlackMeter} from './slack-meter.js';

/** Share of the permitted extra attempts that entries use. The rest is for entries that the leader does not hear, which keep one attempt each. */
const usedBudgetShare = 0.85;

/**
 * Share of the part that hedges may use, and of the ratio that they may claim; the rest is kept for retries. A part that is too small
 * for a hedge and a retry allows a hedge only while no retry is needed.
 */
export const hedgeShare = 0.5;

/** Time after a retry in which a part for a single attempt is kept for further ones: failures come in bursts, such as the loss of a zone. */
const retryReserveMilliseconds = 3000;

/** Part of an entry in the slack that all entries share. */
export type SlackPart = {
	/** Gets the budget of a service. */
	getBudget(service: string): AttemptBudget;
	/** Gets the part of hedges in the budget of a service. Requests deposit to the budget itself only. */
	getHedgeBudget(service: string): Pick<AttemptBudget, 'getBalance' | 'tryWithdraw'>;
	/** Gets what the leader needs to know. */
	getReport(now: number): SlackReport;
	/** Applies what a leader lends; undefined from leaders of earlier releases, which lend nothing. */
	apply(grant: SlackGrant | undefined): void;
	/** Ends the part, because the lease has ended. */
	revoke(): void;
	getPart(): number;
};

/** Options of `createSlackPart`. */
export type SlackPartOptions = {
	/** Number of extra attempts per request. */
	readonly ratio: number;
	/** Number of extra attempts beyond the ratio that all entries together may make in the time that counts. */
	readonly slack: number;
	/** Gets the time in milliseconds. */
	getTime(): number;
	/** Called before the part is used or reported; revokes it if the lease has ended. */
	revokeIfNeeded(): void;
};

/**
 * Creates a part of nothing.
 * @param options - Ratio, slack and clock.
 */
export function createSlackPart(options: SlackPartOptions): SlackPart {
	const {slack, getTime, revokeIfNeeded} = options;
	const ratio = options.ratio * usedBudgetShare;
	const total = slack * usedBudgetShare;
	/** Meters by service. They outlive their service, which may come back within the window. */
	const meters = new Map<string, SlackMeter>();
	/** Times of the last wish for a retry, by service. */
	const retriedAt = new Map<string, number>();
	let part = 0;

	function getMeter(service: string): SlackMeter {
		const meter = meters.get(service) ?? createSlackMeter();
		meters.set(service, meter);
		return meter;
	}

	function getBalance(meter: SlackMeter): number {
		revokeIfNeeded();
		return Math.max(1, part) - meter.getUsed(getTime());
	}

	/** Gets the balance that hedges may use. They never take it all while it is enough for two attempts. */
	function getHedgeBalance(service: string, meter: SlackMeter): number {
		const balance = getBalance(meter);
		const isRetryLikely = getTime() < (retriedAt.get(service) ?? Number.NEGATIVE_INFINITY) + retryReserveMilliseconds;
		const reserve = part * hedgeShare >= 1 || isRetryLikely ? Math.max(1, part * (1 - hedgeShare)) : 0;
		return balance - reserve;
	}

	return {
		getBudget(service) {
			const meter = getMeter(service);
			return {
				deposit() {
					meter.repay(ratio);
				},
				tryWithdraw() {
					retriedAt.set(service, getTime());
					if (getBalance(meter) < 1) {
						meter.refuse(getTime());
						return false;
					}

					meter.charge(getTime());
					return true;
				},
				getBalance: () => getBalance(meter),
			};
		},
		getHedgeBudget(service) {
			const meter = getMeter(service);
			return {
				tryWithdraw() {
					const isAllowed = getHedgeBalance(service, meter) >= 1;
					if (isAllowed) {
						meter.charge(getTime());
					}

					return isAllowed;
				},
				getBalance: () => getHedgeBalance(service, meter),
			};
		},
		getReport(now) {
			revokeIfNeeded();
			const all = [...meters.values()];
			return {
				total,
				part,
				used: Math.max(0, ...all.map(meter => meter.getPeak(now))),
				wanted: Math.max(0, ...all.map(meter => meter.getPeak(now) + meter.getRefused(now))),
			};
		},
		apply(grant) {
			part = grant?.isKept === true ? Math.min(part, grant.part) : grant?.part ?? 0;
		},
		revoke() {
			part = 0;
		},
		getPart: () => part,
	};
}
