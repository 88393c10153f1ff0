import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createWaitQueue, type WaiterRank} from './index.js';

type Step
	= | {readonly kind: 'add'; readonly name: string; readonly deadlineAt: number; readonly at: number; readonly rank: WaiterRank; readonly workspace: string | undefined}
		| {readonly kind: 'departed' | 'drain' | 'expire' | 'open'; readonly at: number};

describe('createWaitQueue', () => {
	function doTest(steps: readonly Step[], expected: readonly string[], bound = 3): void {
		const events: string[] = [];
		let open = 0;
		const queue = createWaitQueue(() => bound);
		for (const step of steps) {
			switch (step.kind) {
				case 'add': {
					const {name} = step;
					const isAdded = queue.add({
						deadlineAt: step.deadlineAt,
						rank: step.rank,
						workspace: step.workspace,
						start() {
							if (open === 0) {
								return false;
							}

							open--;
							events.push(`start ${name}`);
							return true;
						},
						expire() {
							events.push(`expire ${name}`);
						},
						isSettled: () => name.startsWith('gone'),
					}, step.at);
					if (!isAdded) {
						events.push(`shed ${name}`);
					}

					break;
				}

				case 'departed': {
					queue.recordDeparture(step.at);
					break;
				}

				case 'drain': {
					queue.drain(step.at);
					break;
				}

				case 'expire': {
					queue.expire(step.at);
					break;
				}

				case 'open': {
					open++;
					break;
				}
			}
		}

		expect(events).toEqual([...expected]);
	}

	function add(name: string, at = 0, deadlineAt = 1000, rank: WaiterRank = 1): Step {
		return {
			kind: 'add', name, at, deadlineAt, rank, workspace: undefined,
		};
	}

	/** Adds a request of a workspace, whose name is the first letter of the request's. */
	function addOf(name: string, deadlineAt = 1000, at = 0): Step {
		return {
			kind: 'add', name, at, deadlineAt, rank: 1, workspace: name[0],
		};
	}

	function openAndDrain(count: number, at = 1): readonly Step[] {
		return [...Array.from({length: count}, (): Step => ({kind: 'open', at})), {kind: 'drain', at}];
	}

	test('starts requests in the order of their arrival', () => {
		doTest([add('a'), add('b'), {kind: 'open', at: 1}, {kind: 'drain', at: 1}, {kind: 'open', at: 2}, {kind: 'drain', at: 2}], ['start a', 'start b']);
	});
	test('sheds requests beyond its maximum length', () => {
		doTest([add('a'), add('b'), add('c'), add('d')], ['shed d']);
	});
	test('skips requests whose callers have disconnected', () => {
		doTest([add('gone'), add('b'), {kind: 'open', at: 1}, {kind: 'drain', at: 1}], ['start b']);
	});
	test('refuses requests whose deadline passes while they wait', () => {
		doTest([add('a', 0, 10), add('b', 0, 100), {kind: 'expire', at: 50}], ['expire a']);
	});
	test('does not treat a service without load as a slow one', () => {
		doTest([{kind: 'departed', at: 1}, {kind: 'departed', at: 60_000}, add('a', 60_001, 60_500), add('b', 60_001, 60_500)], []);
	});
	test('sheds requests that cannot be served before their deadline', () => {
		const departures: Step[] = [100, 400, 700].map(at => ({kind: 'departed', at}));
		doTest([add('a', 0, 9000), add('b', 0, 9000), ...departures, add('late', 700, 900), add('c', 700, 9000)], ['shed late']);
	});
	test('starts requests of urgent ranks first', () => {
		doTest([add('low', 0, 1000, 2), add('normal'), add('urgent', 0, 1000, 0), ...openAndDrain(3)], ['start urgent', 'start normal', 'start low']);
	});
	test('starts requests of workspaces in turn', () => {
		doTest([addOf('a1'), addOf('a2'), addOf('a3'), addOf('b1'), addOf('c1'), ...openAndDrain(4)], ['start a1', 'start b1', 'start c1', 'start a2'], 10);
	});
	test('starts requests of the workspace first that had the fewest starts lately', () => {
		doTest([addOf('a1'), ...openAndDrain(1), addOf('a2'), addOf('b1'), ...openAndDrain(2, 100)], ['start a1', 'start b1', 'start a2'], 10);
	});
	test('starts requests of a workspace in the order of their deadlines', () => {
		doTest([addOf('a1', 1000), addOf('a2', 500), addOf('a3', 500), ...openAndDrain(3)], ['start a2', 'start a3', 'start a1']);
	});
	// Guards against a workspace with many requests that leaves no places for others.
	test('sheds requests of a workspace beyond half of the places while others wait', () => {
		doTest([addOf('a1'), addOf('a2'), addOf('a3'), addOf('b1'), addOf('a4'), addOf('b2')], ['shed a4'], 6);
		doTest([addOf('a1'), addOf('a2'), addOf('a3'), addOf('a4')], [], 6);
	});
	test('expects no wait for a workspace behind the many requests of another one', () => {
		const departures: Step[] = [100, 400, 700].map(at => ({kind: 'departed', at}));
		const many = Array.from({length: 8}, (_, index) => addOf(`a${index}`, 9000));
		doTest([...many, ...departures, addOf('a9', 1500, 700), addOf('b', 1500, 700)], ['shed a9'], 100);
	});
});

describe('createWaitQueue: a waiter that ends while others are started or expired', () => {
	/** Lets requests expire whose end frees a server, and checks which requests start and expire. */
	function doTest(deadlines: readonly number[], expected: readonly string[]): void {
		const events: string[] = [];
		const queue = createWaitQueue(() => 10);
		let now = 0;
		for (const [index, deadlineAt] of deadlines.entries()) {
			queue.add({
				deadlineAt,
				rank: 1,
				workspace: undefined,
				start() {
					events.push(`start ${index}`);
					queue.drain(now);
					return true;
				},
				expire() {
					events.push(`expire ${index}`);
					queue.drain(now);
				},
				isSettled: () => false,
			}, now);
		}

		now = 50;
		queue.expire(now);
		queue.drain(now);
		queue.expire(200);
		expect({events, left: queue.getLength()}).toEqual({events: [...expected], left: 0});
	}

	test('starts no request twice, and expires no started request', () => {
		doTest([10, 100], ['expire 0', 'start 1']);
		doTest([10, 100, 100], ['expire 0', 'start 1', 'start 2']);
		doTest([100, 10, 100], ['expire 1', 'start 0', 'start 2']);
		doTest([100, 100, 100], ['start 0', 'start 1', 'start 2']);
	});
});
