import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createLinkFailureLog} from './link-failure-log.js';

// Guards against a log that a peer fills by sending the same malformed message on each new link.
describe('createLinkFailureLog', () => {
	function doTest(failuresAt: readonly number[], expectedLines: ReadonlyArray<Readonly<Record<string, unknown>>>): void {
		const lines: Array<Readonly<Record<string, unknown>>> = [];
		let now = 0;
		let count = 0;
		const ignore = (): void => {
			throw new Error('unexpected line');
		};

		const record = createLinkFailureLog({
			log: {
				info: ignore, warn: ignore, error(fields) {
					lines.push(fields);
				},
			},
			count() {
				count++;
			},
			getTime: () => now,
		});
		for (const at of failuresAt) {
			now = at;
			record({peer: 'a', error: 'e'});
		}

		expect([lines, count]).toEqual([[...expectedLines], failuresAt.length]);
	}

	test('writes a line for a failure', () => {
		doTest([0], [{peer: 'a', err: 'e'}]);
	});
	test('counts all of many failures, and writes a line a second with the number left out', () => {
		doTest([0, 100, 200, 300, 1300], [{peer: 'a', err: 'e'}, {peer: 'a', err: 'e', leftOut: 3}]);
	});
});
