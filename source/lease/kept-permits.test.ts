import {describe, test} from 'node:test';
import {expect} from 'earl';
import {
	getNextPermit, withoutKeptPermits, type Grant, type Permit, type SlackGrant,
} from './index.js';

describe('getNextPermit', () => {
	function doTest(current: Permit | undefined, granted: Permit | undefined, expected: Permit | undefined): void {
		expect(getNextPermit(current, granted)).toEqual(expected);
	}

	test('replaces a permit by the one that is granted', () => {
		doTest({server: 1, slots: 2}, {server: 1, slots: 3}, {server: 1, slots: 3});
		doTest({server: 1, slots: 2}, undefined, undefined);
	});
	test('keeps a permit without raising it', () => {
		doTest({server: 1, slots: 2}, {server: 1, slots: 3, isKept: true}, {server: 1, slots: 2});
		doTest({server: 1, slots: 2}, {server: 1, slots: 1, isKept: true}, {server: 1, slots: 1});
	});
	test('keeps the capacity by which a permit was granted', () => {
		const capacity = {
			epoch: 1, grant: 1, slots: 6, held: 6,
		};
		doTest({server: 1, slots: 2, capacity}, {server: 1, slots: 1, isKept: true}, {server: 1, slots: 1, capacity});
		doTest({server: 1, slots: 2, capacity}, {server: 1, slots: 1, capacity: {...capacity, slots: 5}}, {server: 1, slots: 1, capacity: {...capacity, slots: 5}});
		doTest({server: 1, slots: 2, capacity}, {server: 1, slots: 1}, {server: 1, slots: 1});
	});
	test('keeps a rate as it is', () => {
		doTest({server: 1, slots: 0, requestsPerSecond: 4}, {
			server: 1, slots: 0, requestsPerSecond: 5, isKept: true,
		}, {server: 1, slots: 0, requestsPerSecond: 4});
	});
	test('keeps nothing where nothing is held', () => {
		doTest(undefined, {server: 1, slots: 1, isKept: true}, undefined);
	});
});

describe('withoutKeptPermits', () => {
	function doTest(permits: readonly Permit[], slack: SlackGrant | undefined, expected: {readonly permits: readonly Permit[]; readonly slack: SlackGrant | undefined}): void {
		const {permits: left, slack: leftSlack} = withoutKeptPermits({permits, slack} as unknown as Grant);
		expect({permits: left, slack: leftSlack}).toEqual(expected);
	}

	test('leaves what the leader grants', () => {
		doTest([{server: 1, slots: 2}], {part: 3}, {permits: [{server: 1, slots: 2}], slack: {part: 3}});
	});
	test('removes what would be kept from a lease that has ended', () => {
		doTest([{server: 1, slots: 2, isKept: true}], {part: 3, isKept: true}, {permits: [], slack: undefined});
	});
});
