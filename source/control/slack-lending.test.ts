import {describe, test} from 'node:test';
import {expect} from 'earl';
import {documentSchema} from '../configuration/index.js';
import {type Grant, type Renewal, type SlackReport} from '../lease/index.js';
import {slackWindowMilliseconds} from '../retry/index.js';
import {createLeadership, type Leadership} from './leadership.js';
import {createStateMachine, type StateMachine} from './state-machine.js';

const termMilliseconds = 3000;
const total = 40;

function createMachine(): StateMachine {
	return createStateMachine({
		retentionMilliseconds: 1000, maximumClaims: 10, maximumAnswerBytes: 10, maximumStoredBytes: 10,
	});
}

function commitDocument(machine: StateMachine): void {
	machine.apply({
		area: 'configuration', command: {
			kind: 'apply', environment: 'production', base: 0, change: 'c', author: 'a', at: 0, update: {kind: 'whole', document: documentSchema.parse({zones: [{name: 'north'}], services: [{name: 'stock'}]})},
		},
	}, 1);
}

function startLeadership(machine: StateMachine, startedAt: number): Leadership {
	return createLeadership({
		epoch: 1, startedAt, termMilliseconds, machine, getWallClock: () => 0, getAppliedIndex: () => 1,
	});
}

function createRenewal(entry: string, slack: Partial<SlackReport> | undefined): Renewal {
	return {
		kind: 'renewal', entry, environment: 'production', sequence: 1, acknowledged: 0, version: 0, epoch: 0, revision: 0, peersRevision: 0, observations: [], failedProbes: [], heard: [], crashes: [], peer: undefined, isFinal: false,
		...(slack === undefined
			? {}
			: {
				slack: {
					total, part: 0, used: 0, wanted: 100, ...slack,
				},
			}),
	};
}

describe('createLeadership: the slack of extra attempts', () => {
	function doTest(leadership: Leadership, renewal: Renewal, now: number, expected: Grant['slack']): void {
		expect(leadership.grant(renewal, now, now).slack).toEqual(expected);
	}

	test('is lent at once by the first leader, before which no entry had a document', () => {
		const machine = createMachine();
		const leadership = startLeadership(machine, 0);
		doTest(leadership, createRenewal('one', {}), 5, {part: 0, isKept: true});
		commitDocument(machine);
		doTest(leadership, createRenewal('one', {}), 10, {part: 40});
	});
	test('is kept by entries that hold it from an earlier leader, and not lent while others may hold it', () => {
		const machine = createMachine();
		commitDocument(machine);
		const leadership = startLeadership(machine, 0);
		doTest(leadership, createRenewal('one', {part: 25}), 10, {part: 25, isKept: true});
		doTest(leadership, createRenewal('two', {wanted: 30}), 10, {part: 0, isKept: true});
		doTest(leadership, createRenewal('two', {wanted: 30}), termMilliseconds + slackWindowMilliseconds, {part: 15});
	});
	test('is not lent to entries of an earlier release, which take equal parts', () => {
		const machine = createMachine();
		const leadership = startLeadership(machine, 0);
		commitDocument(machine);
		doTest(leadership, createRenewal('old', undefined), 10, undefined);
		doTest(leadership, createRenewal('one', {}), 10, {part: 0});
	});
	test('counts what another process of the same entry may have used', () => {
		const machine = createMachine();
		const leadership = startLeadership(machine, 0);
		doTest(leadership, {...createRenewal('one', {}), process: 'killed'}, 5, {part: 0, isKept: true});
		commitDocument(machine);
		doTest(leadership, {...createRenewal('one', {}), process: 'killed'}, 10, {part: 40});
		doTest(leadership, {...createRenewal('one', {}), process: 'next'}, 20, {part: 0});
	});
});
