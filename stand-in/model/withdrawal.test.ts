import {describe, test} from 'node:test';
import {expect} from 'earl';
import {type Withdrawal} from './upstream.js';
import {simulateWithdrawals, type WithdrawalOptions, type WithdrawalResult} from './withdrawal.js';

const upstreamCount = 27;
const leavingCount = 10;
const load = 0.9;
const pauseMilliseconds = 3000;
const startMilliseconds = 2000;

/** Least share of the room that is left that must be used. */
const minimumSlotsUsed = 0.98;

/** Time in which a request must be refused that no server takes, as the entry knows. */
const refusalLimitMilliseconds = 20;

/** Time in which any other request is refused: an eighth of its target latency, in which a pause may end, and the time of its attempts. */
const waitLimitMilliseconds = 32;

function createWithdrawals(getWithdrawals: (index: number) => readonly Withdrawal[]): ReadonlyArray<readonly Withdrawal[]> {
	return Array.from({length: upstreamCount}, (_, index) => getWithdrawals(index));
}

/** Ten servers state within a second that they leave, and stay for three seconds after their drain time. */
const leaving: Omit<WithdrawalOptions, 'seed' | 'knowledge'> = {
	load,
	arrivalMilliseconds: 8000,
	measured: {from: 3000, until: 8000},
	withdrawals: createWithdrawals(index => {
		const from = startMilliseconds + (index * 100);
		return index < leavingCount ? [{kind: 'leaving', from, until: from + 5000}] : [];
	}),
};

/** For 20 s, one half of the servers refuses with a pause of 3 s, then the other half, and so on. */
const pausesInTurn: Omit<WithdrawalOptions, 'seed' | 'knowledge'> = {
	load,
	arrivalMilliseconds: 22_000,
	measured: {from: 2000, until: 22_000},
	withdrawals: createWithdrawals(index => Array.from({length: 7}, (_, turn) => turn)
		.filter(turn => turn % 2 === index % 2)
		.map(turn => startMilliseconds + (turn * pauseMilliseconds))
		.map(from => ({
			kind: 'pause', from, until: Math.min(22_000, from + pauseMilliseconds), pauseMilliseconds,
		}))),
};

/** All servers refuse for 8 s with a pause of 3 s. */
const commonPause: Omit<WithdrawalOptions, 'seed' | 'knowledge'> = {
	load,
	arrivalMilliseconds: 16_000,
	measured: {from: 14_000, until: 16_000},
	withdrawals: createWithdrawals(() => [{
		kind: 'pause', from: startMilliseconds, until: 10_000, pauseMilliseconds,
	}]),
};

describe('simulateWithdrawals', () => {
	/** Checks that no request reaches a server that has withdrawn, and that nothing fails. */
	async function simulate(options: Omit<WithdrawalOptions, 'seed' | 'knowledge'>, seed: number): Promise<WithdrawalResult> {
		const result = await simulateWithdrawals({...options, seed, knowledge: 'statements'});
		expect([result.beyondRule, result.sentAfterStatement, result.failed]).toEqual([0, 0, 0]);
		return result;
	}

	test('10 of 27 servers leave: none gets requests beyond the rule, and the room that is left is used', async () => {
		const result = await simulate(leaving, 1);
		expect(result.slotsUsed >= minimumSlotsUsed).toEqual(true);
	});
	test('half of the servers pause in turn: none gets requests in its pause, and the room that is left is used', async () => {
		const result = await simulate(pausesInTurn, 1);
		expect(result.slotsUsed >= minimumSlotsUsed).toEqual(true);
	});
	test('all servers pause: requests are refused at once, until the first pause ends', async () => {
		const result = await simulate(commonPause, 1);
		expect(result.refusalMilliseconds <= waitLimitMilliseconds).toEqual(true);
		expect([result.knownRefusals > 1000, result.knownRefusalMilliseconds < refusalLimitMilliseconds, result.earlyReturns]).toEqual([true, true, 0]);
	});
	test('servers pause while requests wait for connections: none gets requests beyond the rule', async () => {
		await simulate({
			...commonPause, load: 0.2, arrivalMilliseconds: 6000, connectMilliseconds: 800,
		}, 1);
	});
	test('entries that ignore the statements break the rules', async () => {
		const result = await simulateWithdrawals({...leaving, seed: 1, knowledge: 'never'});
		expect([result.beyondRule > 1000, result.sentAfterStatement > 1000]).toEqual([true, true]);
	});
	test('the same seed has the same result', async () => {
		const options = {
			...leaving, arrivalMilliseconds: 4000, seed: 7, knowledge: 'statements',
		} as const;
		expect(await simulateWithdrawals(options)).toEqual(await simulateWithdrawals(options));
	});
});
