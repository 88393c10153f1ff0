/** A process of an entry that shares a slack in virtual time. Only tests use this. */
import {
	createLeaseHolder, withoutKeptPermits, type Grant, type SlackGrant, type SlackReport,
} from '../lease/index.js';
import {createAttemptBudget, createSlackPart, type AttemptBudget} from './index.js';

/** Share of the ratio and the slack that entries use. */
export const usedShare = 0.85;

/** A renewal, as far as it matters here. */
export type SimulatedRenewal = {readonly holder: string; readonly sequence: number; readonly acknowledged: number; readonly slack: SlackReport | undefined};

/** A grant, as far as it matters here. */
export type SimulatedGrant = {readonly sequence: number; readonly epoch: number; readonly termMilliseconds: number; readonly slack: SlackGrant | undefined};

/** A simulated process. */
export type SimulatedProcess = {
	/** Whether it is of an earlier release, which has an equal part in place of a lent one. */
	readonly isEarlierRelease: boolean;
	createRenewal(now: number): SimulatedRenewal;
	apply(grant: SimulatedGrant, now: number): void;
	/** Records a request. */
	deposit(): void;
	/** Makes an extra attempt if its part allows it, but not the one that it has without a part. Returns whether it does. */
	tryWithdraw(now: number): boolean;
	getPart(now: number): number;
};

/** Options of `createSimulatedProcess`. */
export type SimulatedProcessOptions = {
	readonly holder: string;
	readonly ratio: number;
	readonly slack: number;
	/** Speed of its clock. */
	readonly clockRate: number;
	getTime(): number;
};

/**
 * Creates a process without a lease.
 * @param options - Identifier, budget and clock.
 */
export function createSimulatedProcess({holder, ratio, slack, clockRate, getTime}: SimulatedProcessOptions): SimulatedProcess {
	const lease = createLeaseHolder();
	const part = createSlackPart({
		ratio, slack, getTime: () => getTime() * clockRate, revokeIfNeeded,
	});
	const budget = part.getBudget('stock');

	function revokeIfNeeded(): void {
		if (!lease.isValid(getTime() * clockRate)) {
			part.revoke();
		}
	}

	function getPart(): number {
		revokeIfNeeded();
		return part.getPart();
	}

	return {
		isEarlierRelease: false,
		createRenewal: now => ({
			holder, sequence: lease.startRenewal(now * clockRate), acknowledged: lease.getAcknowledged(), slack: part.getReport(now * clockRate),
		}),
		apply(simulatedGrant, now) {
			const grant = {
				...simulatedGrant, kind: 'grant', version: 0, permits: [],
			} as unknown as Grant;
			const hasHeldLease = lease.isValid(now * clockRate);
			if (lease.accept(grant, now * clockRate)) {
				part.apply((hasHeldLease ? grant : withoutKeptPermits(grant)).slack);
			}
		},
		deposit: budget.deposit,
		tryWithdraw: () => getPart() >= 1 && budget.tryWithdraw(),
		getPart,
	};
}

/**
 * Creates a process of an earlier release, whose budget fills up to an equal part.
 * @param ratio - Number of extra attempts per request.
 * @param equalPart - Its part.
 */
export function createEarlierProcess(ratio: number, equalPart: number): SimulatedProcess {
	const budget: AttemptBudget = createAttemptBudget(() => ratio, 1);
	let sequence = 0;
	return {
		isEarlierRelease: true,
		createRenewal: () => ({
			holder: 'earlier', sequence: ++sequence, acknowledged: 0, slack: undefined,
		}),
		apply() {
			// Its part is the same at all times.
		},
		deposit() {
			if (budget.getBalance() + ratio <= equalPart) {
				budget.deposit();
			}
		},
		tryWithdraw: budget.tryWithdraw,
		getPart: () => 0,
	};
}
