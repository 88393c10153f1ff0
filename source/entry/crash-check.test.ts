import {describe, test} from 'node:test';
import {expect} from 'earl';
import {announcementSchema} from '../announcement/index.js';
import {createCandidate} from '../choice/index.js';
import {createCrashCheck} from './crash-check.js';

const candidate = createCandidate(7, announcementSchema.parse({
	service: 'stock', name: 'one', host: '127.0.0.1', port: 1, zone: 'north', slots: 6, connections: 100, boot: 'b', state: 'warm',
}), 'warm');

describe('createCrashCheck', () => {
	function doTest(isAlive: boolean, expected: readonly string[]): void {
		const crashes: string[] = [];
		const check = createCrashCheck({
			ask(question) {
				question.onReadings(isAlive
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

	test('takes a server that is gone for crashed', () => {
		doTest(false, ['orders at 7']);
	});
	test('takes one that answers for alive: only an answer was lost', () => {
		doTest(true, []);
	});
});
