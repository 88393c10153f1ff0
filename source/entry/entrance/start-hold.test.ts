import {describe, mock, test} from 'node:test';
import {expect} from 'earl';
import {Subject} from 'rxjs';
import {type Exchange} from '../callers/index.js';
import {createStartHold} from './start-hold.js';

// Guards against callers that are refused although the document arrives a moment later, and against requests that are held for long.
describe('createStartHold', () => {
	function doTest(run: (changes: Subject<void>, response: {destroyed: boolean}) => void, expectedEnds: number): void {
		mock.timers.enable({apis: ['setTimeout']});
		const changes = new Subject<void>();
		const response = {destroyed: false};
		let ends = 0;
		createStartHold(changes).add({response} as unknown as Exchange, () => {
			ends++;
		});
		run(changes, response);
		mock.timers.reset();
		expect(ends).toEqual(expectedEnds);
	}

	test('continues with the document', () => {
		doTest(changes => {
			changes.next();
		}, 1);
	});
	test('continues without a document after a tenth of a second', () => {
		doTest(() => {
			mock.timers.tick(99);
		}, 0);
		doTest(() => {
			mock.timers.tick(100);
		}, 1);
	});
	test('continues once', () => {
		doTest(changes => {
			changes.next();
			changes.next();
			mock.timers.tick(100);
		}, 1);
	});
	test('drops a request whose caller has left', () => {
		doTest((changes, response) => {
			response.destroyed = true;
			changes.next();
		}, 0);
	});
	test('holds a bounded number of requests', () => {
		const hold = createStartHold(new Subject());
		const exchange = {response: {destroyed: true}} as unknown as Exchange;
		const added = Array.from({length: 201}, () => hold.add(exchange, () => undefined));
		expect([added.indexOf(false), added.length]).toEqual([200, 201]);
	});
});
