import {describe, test} from 'node:test';
import {expect} from 'earl';
import {announcementSchema} from '../../announcement/index.js';
import {createCandidate} from '../../choice/index.js';
import {createCrashCheck} from './crash-check.js';

const candidate = createCandidate(7, announcementSchema.parse({
	service: 'stock', name: 'one', host: '127.0.0.1', port: 1, zone: 'north', slots: 6, connections: 100, boot: 'b', state: 'warm',
}), 'warm');

describe('createCrashCheck', () => {
	function doTest(isAnswering: boolean, expected: readonly string[]): void {
		const crashes: string[] = [];
		const check = createCrashCheck({
			query(question) {
				question.onReadings(isAnswering
					? [{
						candidate, reading: {
							running: 1, waiting: 0, slots: 6, slowness: 1,
						},
					}]
					: []);
				return () => undefined;
			},
			reportCrash(fingerprint, server) {
				crashes.push(`${fingerprint} at ${server}`);
			},
			schedule(run) {
				run();
			},
		});
		check.check('orders', candidate);
		expect(crashes).toEqual([...expected]);
	}

	test('reports a crash when the server does not answer', () => {
		doTest(false, ['orders at 7']);
	});
	test('reports no crash when the server answers, since only a response was lost', () => {
		doTest(true, []);
	});
});
