import {describe, test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {getStoredCopy} from '../../stand-in/stored-copy.js';
import {createLedger, type LedgerCommand} from './index.js';

const limits = {
	retentionMilliseconds: 1000, maximumClaims: 3, maximumAnswerBytes: 6, maximumStoredBytes: 10,
};

function claim(key: string, attempt: string, at = 0, digest = 'd'): LedgerCommand {
	return {
		kind: 'claim', shard: 0, key, attempt, digest, at,
	};
}

function finish(key: string, attempt: string, body?: string, at = 0): LedgerCommand {
	const answer = body === undefined ? undefined : {status: 200, headers: ['a', 'b'], body: new TextEncoder().encode(body)};
	return {
		kind: 'finish', shard: 0, key, attempt, answer, at,
	};
}

function release(key: string, attempt: string, at = 0): LedgerCommand {
	return {
		kind: 'release', shard: 0, key, attempt, at,
	};
}

describe('createLedger', () => {
	function doTest(commands: readonly LedgerCommand[], expected: readonly string[]): void {
		let ledger = createLedger(limits);
		const kinds: string[] = commands.map(command => {
			// A replica may restart from a snapshot between any two commands.
			const snapshot = getStoredCopy(ledger.takeSnapshot());
			ledger = createLedger(limits);
			ledger.restore(snapshot);
			return ledger.apply(command).kind;
		});
		expect(kinds).toEqual([...expected]);
	}

	test('grants an unclaimed key', () => {
		doTest([claim('k', '1')], ['granted']);
	});
	test('grants the same attempt again, in case the first result was lost', () => {
		doTest([claim('k', '1'), claim('k', '1')], ['granted', 'granted']);
	});
	test('refuses a second attempt while the first is unfinished', () => {
		doTest([claim('k', '1'), claim('k', '2')], ['granted', 'inProgress']);
	});
	test('replays a stored response', () => {
		doTest([claim('k', '1'), finish('k', '1', 'ok'), claim('k', '2')], ['granted', 'done', 'replay']);
	});
	test('stores no response that is larger than the limit for one', () => {
		doTest([claim('k', '1'), finish('k', '1', 'seven b'), claim('k', '2')], ['granted', 'done', 'alreadyRan']);
		doTest([claim('k', '1'), finish('k', '1', 'six by'), claim('k', '2')], ['granted', 'done', 'replay']);
	});
	test('reports that a request already ran when its response was too large to store', () => {
		doTest([claim('k', '1'), finish('k', '1'), claim('k', '2')], ['granted', 'done', 'alreadyRan']);
	});
	test('does not store responses above the size limit', () => {
		doTest([claim('k', '1'), finish('k', '1', 'more than ten bytes'), claim('k', '2')], ['granted', 'done', 'alreadyRan']);
		doTest([claim('k', '1'), finish('k', '1', 'six by'), claim('l', '1'), finish('l', '1', 'fives'), claim('l', '2')], ['granted', 'done', 'granted', 'done', 'alreadyRan']);
	});
	test('refuses a different request with the same key', () => {
		doTest([claim('k', '1'), claim('k', '2', 0, 'other')], ['granted', 'mismatch']);
	});
	test('grants a released key to another attempt', () => {
		doTest([claim('k', '1'), release('k', '1'), claim('k', '2')], ['granted', 'done', 'granted']);
	});
	test('never grants a released attempt, however late its duplicate is', () => {
		doTest([claim('k', '1'), release('k', '1'), claim('k', '1')], ['granted', 'done', 'released']);
	});
	test('never grants an attempt whose release arrived before its claim', () => {
		doTest([release('k', '1'), claim('k', '1')], ['done', 'released']);
	});
	test('keeps a finished claim when a late release arrives', () => {
		doTest([claim('k', '1'), finish('k', '1', 'ok'), release('k', '1'), claim('k', '2')], ['granted', 'done', 'done', 'replay']);
	});
	test('ignores a finish of another attempt', () => {
		doTest([claim('k', '1'), finish('k', '2', 'ok'), claim('k', '3')], ['granted', 'done', 'inProgress']);
	});
	test('refuses a claim when the ledger is full', () => {
		doTest([claim('a', '1'), claim('b', '2'), claim('c', '3'), claim('d', '4')], ['granted', 'granted', 'granted', 'full']);
	});
	test('removes a claim after the retention time', () => {
		doTest([claim('k', '1'), claim('k', '2', 1000)], ['granted', 'granted']);
	});
	test('keeps a claim within the retention time', () => {
		doTest([claim('k', '1'), claim('k', '2', 999)], ['granted', 'inProgress']);
	});
});

describe('createLedger: released attempts', () => {
	function doTest(released: number, expected: number): void {
		const ledger = createLedger(limits);
		for (let attempt = 0; attempt < released; attempt++) {
			ledger.apply(release('k', String(attempt)));
		}

		expect(ledger.getReleaseCount()).toEqual(expected);
		expect(ledger.apply(claim('k', String(released - 1))).kind).toEqual('released');
	}

	test('are stored', () => {
		doTest(2, 2);
	});
	test('are limited in number, and the newest are kept', () => {
		doTest(100, limits.maximumClaims);
	});
});

describe('createLedger: any order of commands', () => {
	test('allows at most one attempt of a key to be dispatched', () => {
		const attempt = fc.constantFrom('1', '2', '3');
		const command = fc.oneof(attempt.map(id => claim('k', id)), attempt.map(id => finish('k', id, 'ok')), attempt.map(id => release('k', id)));
		fc.assert(fc.property(fc.array(command, {maxLength: 40}), commands => {
			const ledger = createLedger(limits);
			const running = new Set<string>();
			const released = new Set<string>();
			let finished = 0;
			for (const step of commands) {
				// An entry releases only attempts that it has not dispatched, so a release of a finished attempt cannot arrive.
				const isOwnRelease = step.kind === 'release' && running.has(step.attempt);
				const {kind} = ledger.apply(step);
				if (step.kind === 'claim' && kind === 'granted') {
					expect(released.has(step.attempt)).toEqual(false);
					running.add(step.attempt);
				}

				if (step.kind === 'release') {
					released.add(step.attempt);
				}

				if (isOwnRelease) {
					running.delete(step.kind === 'release' ? step.attempt : '');
				}

				finished += step.kind === 'finish' && running.has(step.attempt) ? 1 : 0;
				expect(running.size <= 1 || finished > 0).toEqual(true);
			}
		}), {seed: 21, numRuns: 500});
	});
});
