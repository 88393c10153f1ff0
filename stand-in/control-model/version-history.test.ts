import {describe, test} from 'node:test';
import {expect} from 'earl';
import {type DeclarationRecord, type VersionRead} from './history.js';
import {findVersionFault} from './version-history.js';

describe('findVersionFault', () => {
	const declarations: readonly DeclarationRecord[] = [
		{
			version: 3, startedAt: 1, endedAt: 3, isAcknowledged: true,
		},
		{
			version: 5, startedAt: 4, endedAt: 6, isAcknowledged: false,
		},
		{
			version: 4, startedAt: 10, endedAt: 12, isAcknowledged: true,
		},
	];

	function doTest(reads: ReadonlyArray<readonly [version: number, startedAt: number]>, isSound: boolean): void {
		const records: readonly VersionRead[] = reads.map(([version, startedAt]) => ({
			version, startedAt, endedAt: startedAt + 1, reader: 'e0',
		}));
		expect(findVersionFault(declarations, records) === undefined).toEqual(isSound);
	}

	test('accepts versions that rise, and none before the first', () => {
		doTest([[0, 0], [0, 2], [3, 4], [5, 8], [5, 13]], true);
	});
	test('finds a version below an acknowledged one', () => {
		doTest([[0, 4]], false);
		doTest([[3, 13]], false);
	});
	test('finds a version below one that was read before', () => {
		doTest([[5, 8], [4, 13]], false);
	});
	test('finds a version that was not declared yet', () => {
		doTest([[4, 7]], false);
	});
});
