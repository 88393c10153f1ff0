import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createRandom} from '../randomness/index.js';
import {createLatencyHistogram} from './index.js';

/** Width of a bucket, within which the estimate may be off, and the noise of some hundred samples. */
const toleranceShare = 0.2;

describe('createLatencyHistogram', () => {
	function doTest(samples: readonly number[], share: number, expected: number): void {
		const latencies = createLatencyHistogram();
		for (const sample of samples) {
			latencies.record(sample);
		}

		const quantile = latencies.getQuantile(share);
		expect([Math.abs(quantile - expected) <= expected * toleranceShare, latencies.getCount()]).toEqual([true, samples.length]);
	}

	function createSamples(count: number, longest: number): readonly number[] {
		const random = createRandom(3);
		return Array.from({length: count}, () => random() * longest);
	}

	test('has no latency at first', () => {
		doTest([], 0.5, 0);
	});
	test('gets a high quantile and the median', () => {
		doTest(createSamples(2000, 100), 0.95, 95);
		doTest(createSamples(2000, 100), 0.5, 50);
	});
	test('follows a change of the latencies within some hundred responses', () => {
		doTest([...createSamples(5000, 100), ...createSamples(500, 1000)], 0.5, 500);
		doTest([...createSamples(5000, 1000), ...createSamples(500, 100)], 0.95, 95);
	});
	test('stays finite for many latencies', () => {
		doTest(createSamples(20_000, 100), 0.5, 50);
	});
	test('keeps latencies beyond its range in its first and last bucket', () => {
		doTest([0, 0, 0], 0.5, 0.27);
		doTest([1e9, 1e9], 1, 132_000);
	});
});
