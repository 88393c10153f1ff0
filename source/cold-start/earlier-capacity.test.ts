import {describe, test} from 'node:test';
import {expect} from 'earl';
import {type GrantedCapacity} from '../lease/index.js';
import {createEarlierCapacity} from './index.js';

const initialSlots = 2;

describe('createEarlierCapacity', () => {
	type Step = GrantedCapacity | 'shed';
	type Expected = {readonly slots: number | undefined; readonly inheritable: number; readonly excess: number};

	/** Applies what entries report, and gets what follows for a server that announces eight slots, of which ten were handed over. */
	function doTest(steps: readonly Step[], expected: Expected): void {
		const earlier = createEarlierCapacity(initialSlots);
		for (const step of steps) {
			if (step === 'shed') {
				earlier.recordShed();
			} else {
				earlier.learn(step);
			}
		}

		expect({slots: earlier.getSlots(8), inheritable: earlier.getInheritable(10, 8), excess: earlier.getExcess(8)}).toEqual(expected);
	}

	const capacity = (slots: number, rest: Partial<GrantedCapacity> = {}): GrantedCapacity => ({
		epoch: 1, grant: 1, slots, held: slots, ...rest,
	});

	test('is unknown if no permit states it, and then withholds nothing', () => {
		doTest([], {slots: undefined, inheritable: 10, excess: 0});
		doTest(['shed'], {slots: undefined, inheritable: 0, excess: 0});
	});
	test('withholds what exceeds the announced slots', () => {
		doTest([capacity(6)], {slots: 6, inheritable: 6, excess: 0});
		doTest([capacity(12)], {slots: 8, inheritable: 8, excess: 4});
	});
	test('withholds what was in use beyond it', () => {
		doTest([capacity(4, {held: 6})], {slots: 4, inheritable: 4, excess: 2});
		doTest([capacity(4, {held: 3})], {slots: 4, inheritable: 4, excess: 0});
	});
	test('is that of the newest grant', () => {
		doTest([capacity(4, {grant: 2}), capacity(6)], {slots: 4, inheritable: 4, excess: 0});
		doTest([capacity(4), capacity(6, {grant: 2})], {slots: 6, inheritable: 6, excess: 0});
		doTest([capacity(6, {grant: 3}), capacity(4, {epoch: 2})], {slots: 4, inheritable: 4, excess: 0});
	});
	test('is halved by sheds, whenever they are reported, down to the initial slots', () => {
		doTest([capacity(7), 'shed'], {slots: 3, inheritable: 3, excess: 4});
		doTest(['shed', capacity(7)], {slots: 3, inheritable: 3, excess: 4});
		doTest([capacity(7), 'shed', 'shed', 'shed'], {slots: 2, inheritable: 2, excess: 5});
		doTest([capacity(12), 'shed'], {slots: 4, inheritable: 4, excess: 8});
		doTest([capacity(1), 'shed'], {slots: 1, inheritable: 1, excess: 0});
	});
});
