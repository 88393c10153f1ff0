import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createRecordedLog} from '../../stand-in/recorded-log.js';
import {createStallWatch, type StallReading} from './stall-watch.js';

const intervalMilliseconds = 100;

describe('createStallWatch', () => {
	/** Observes a regular second, then a reading that has advanced by the given times, and another regular second; gets the lines and totals. */
	function observe(jump: StallReading): unknown {
		const log = createRecordedLog();
		let reading: StallReading = {wall: 1_000_000, monotonic: 500, processor: 50};
		const watch = createStallWatch({log, intervalMilliseconds, readClocks: () => reading});
		const advance = (by: StallReading): void => {
			reading = {wall: reading.wall + by.wall, monotonic: reading.monotonic + by.monotonic, processor: reading.processor + by.processor};
			watch.observe();
		};

		const regular: StallReading = {wall: intervalMilliseconds, monotonic: intervalMilliseconds, processor: 1};
		for (const by of [...Array.from({length: 10}, () => regular), jump, ...Array.from({length: 10}, () => regular)]) {
			advance(by);
		}

		return {lines: log.lines, count: watch.getStallCount(), milliseconds: watch.getStalledMilliseconds()};
	}

	test('logs nothing in regular operation', context => {
		expect(observe({wall: 600, monotonic: 600, processor: 600})).toMatchSnapshot(context);
	});
	test('logs a stopped process, which used no processor time', context => {
		expect(observe({wall: 2600, monotonic: 2600, processor: 1})).toMatchSnapshot(context);
	});
	test('logs a blocked event loop, which used processor time', context => {
		expect(observe({wall: 2600, monotonic: 2600, processor: 2590})).toMatchSnapshot(context);
	});
	test('logs a suspended machine, whose monotonic clock stopped', context => {
		expect(observe({wall: 2600, monotonic: 10, processor: 1})).toMatchSnapshot(context);
	});
});
