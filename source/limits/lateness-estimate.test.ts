import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createRandom} from '../randomness/index.js';
import {createLatenessEstimate} from './index.js';

const intervalMilliseconds = 50;
const targetMilliseconds = 200;

describe('createLatenessEstimate', () => {
	/** Observes a timer that is late by the given times, and checks the share of requests that are refused, in tenths. */
	function doTest(lateness: readonly number[], expected: number): void {
		const estimate = createLatenessEstimate(intervalMilliseconds);
		let now = 0;
		estimate.observe(now);
		for (const late of lateness) {
			now += intervalMilliseconds + late;
			estimate.observe(now);
		}

		const draws = Array.from({length: 100}, (_, index) => index / 100);
		expect(Math.round(draws.filter(draw => estimate.shouldRefuse(targetMilliseconds, draw)).length / 10)).toEqual(expected);
	}

	test('refuses nothing while the event loop is in time', () => {
		doTest([], 0);
		doTest(Array.from({length: 50}, () => 10), 0);
	});
	test('refuses nothing after a single stall', () => {
		doTest([...Array.from({length: 50}, () => 0), 800], 0);
	});
	test('refuses more, the later the event loop is', () => {
		doTest(Array.from({length: 50}, () => 18), 5);
		doTest(Array.from({length: 50}, () => 80), 9);
	});
	test('refuses nothing when the event loop has recovered', () => {
		doTest([...Array.from({length: 50}, () => 80), ...Array.from({length: 22}, () => 0)], 0);
	});
});

describe('createLatenessEstimate: an entry with too many requests for its processor', () => {
	const stepMilliseconds = 5;
	const steps = 4;
	const refusalMilliseconds = 2;
	const serverMilliseconds = 100;
	const runMilliseconds = 20_000;

	/** Task of the event loop, and when it can run. */
	type Task = {readonly at: number; readonly milliseconds: number; run(now: number): void};

	/** Runs requests through an event loop that handles one task after another, and gets the share of them that is answered in time. */
	function simulate(requestsPerSecond: number, mayRefuse: boolean): number {
		const estimate = createLatenessEstimate(intervalMilliseconds);
		const random = createRandom(31);
		const tasks: Task[] = [];
		let requests = 0;
		let inTime = 0;

		function add(task: Task): void {
			const index = tasks.findIndex(other => other.at > task.at);
			tasks.splice(index === -1 ? tasks.length : index, 0, task);
		}

		function addStep(arrivedAt: number, step: number, at: number): void {
			add({
				at, milliseconds: stepMilliseconds, run(now) {
					if (step < steps) {
						addStep(arrivedAt, step + 1, now + (step === steps - 1 ? serverMilliseconds : 0));
					} else if (now - arrivedAt <= targetMilliseconds) {
						inTime++;
					}
				},
			});
		}

		function addTimer(at: number): void {
			add({
				at, milliseconds: 0, run(now) {
					estimate.observe(now);
					addTimer(now + intervalMilliseconds);
				},
			});
		}

		addTimer(0);
		for (let at = 0; at < runMilliseconds; at -= Math.log(1 - random()) * 1000 / requestsPerSecond) {
			const arrivedAt = at;
			requests++;
			add({
				at, milliseconds: refusalMilliseconds, run(now) {
					if (!mayRefuse || !estimate.shouldRefuse(targetMilliseconds, random())) {
						addStep(arrivedAt, 1, now);
					}
				},
			});
		}

		let now = 0;
		while (tasks.length > 0 && now < runMilliseconds) {
			const task = tasks.shift()!;
			now = Math.max(now, task.at) + task.milliseconds;
			task.run(now);
		}

		return inTime / requests;
	}

	test('answers at least as many requests in time within its capacity', () => {
		expect(simulate(25, true) >= simulate(25, false) - 0.01).toEqual(true);
	});
	test('answers several times as many requests in time beyond its capacity', () => {
		expect([simulate(70, false) < 0.1, simulate(70, true) > 0.2]).toEqual([true, true]);
	});
});
