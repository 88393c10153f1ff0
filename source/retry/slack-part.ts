/**
 * The entry's side of the slack that all entries share: its part of the slack, which the leader lends with the lease, and a budget of extra
 * attempts for each service that the part limits. Without a part, an entry has one extra attempt beyond the ratio of its requests.
 */
import {type SlackGrant, type SlackReport} from '../lease/index.js';
import {type AttemptBudget} from './attempt-budget.js';
import {createSlackMeter, type SlackMeter} from './slack-meter.js';

/** Share of the permitted extra attempts that entries use. The rest is for entries that the leader does not hear, which keep one attempt each. */
const usedBudgetShare = 0.85;

/** Part of an entry in the slack that all entries share. */
export type SlackPart = {
	/** Gets the budget of a service. */
	getBudget(service: string): AttemptBudget;
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

	return {
		getBudget(service) {
			const meter = getMeter(service);
			return {
				deposit() {
					meter.repay(ratio);
				},
				tryWithdraw() {
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
