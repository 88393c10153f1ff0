import {describe, test} from 'node:test';
import {expect} from 'earl';
import {documentSchema} from '../configuration/index.js';
import {type Grant, type QuotaReport, type Renewal} from '../lease/index.js';
import {createQuotaLending, type QuotaLending} from './quota-lending.js';
import {createStateMachine, type StateMachine} from './state-machine.js';

const termMilliseconds = 3000;
const epoch = 2;
const tolerance = {windowSeconds: 5, overshoot: 0.1, slack: 20};

function commitDocument(machine: StateMachine, requestsPerSecond: number): void {
	machine.apply({
		area: 'configuration', command: {
			kind: 'apply', environment: 'production', base: machine.register.getCurrentNumber('production'), change: `c${requestsPerSecond}`, author: 'a', at: 0, update: {
				kind: 'whole', document: documentSchema.parse({
					zones: [{name: 'north'}],
					services: [{name: 'stock'}],
					workspaces: [
						{name: 'one', keyDigests: [], quota: {requestsPerSecond, burst: 5}},
						{name: 'two', keyDigests: [], quota: {requestsPerSecond: 10, burst: 5}},
						{name: 'free', keyDigests: []},
					],
				}),
			},
		},
	}, 1);
}

function createLending(): {readonly machine: StateMachine; readonly lending: QuotaLending} {
	const machine = createStateMachine({
		retentionMilliseconds: 1000, maximumClaims: 10, maximumAnswerBytes: 10, maximumStoredBytes: 10,
	});
	const lending = createQuotaLending({
		epoch, startedAt: 0, termMilliseconds, machine, tolerance,
	});
	commitDocument(machine, 10);
	return {machine, lending};
}

function createRenewal(sequence: number, acknowledged: number, quota: readonly QuotaReport[] | undefined, process = 'p'): Renewal {
	return {
		kind: 'renewal', entry: 'e', process, environment: 'production', sequence, acknowledged, version: 1, epoch, revision: 0, peersRevision: 0, observations: [], failedProbes: [], heard: [], crashes: [], peer: undefined, isFinal: false,
		...(quota === undefined ? {} : {quota}),
	};
}

function ask(lending: QuotaLending, changes: {readonly epoch?: number; readonly workspace?: string; readonly now?: number} = {}): ReturnType<QuotaLending['answer']> {
	return lending.answer({
		kind: 'quota', environment: 'production', process: 'q', epoch: changes.epoch ?? epoch, report: [changes.workspace ?? 'one', 0, 0, 0, 2], waiting: 1, refused: 0,
	}, changes.now ?? 10);
}

// Guards against tokens that no process learns of, and against those that two leaders lend.
describe('createQuotaLending', () => {
	function getGranted(grant: Pick<Grant, 'quota'>): ReadonlyArray<readonly [workspace: string, granted: number]> | undefined {
		return grant.quota?.map(([workspace, granted]) => [workspace, granted]);
	}

	test('lends nothing to processes that report nothing, as those of earlier releases', () => {
		expect(createLending().lending.grant(createRenewal(1, 0, undefined), 0, 10)).toEqual({});
	});
	test('tells what it has lent until the process is known to have applied it', () => {
		const {lending} = createLending();
		expect(getGranted(lending.grant(createRenewal(1, 0, [['one', 0, 0, 0, 2]]), 0, 10))).toEqual([['one', 2]]);
		expect(getGranted(lending.grant(createRenewal(4, 0, []), 0, 20))).toEqual([['one', 2]]);
		expect(getGranted(lending.grant(createRenewal(8, 4, []), 0, 30))).toEqual([]);
	});
	test('lends nothing for a workspace without a quota', () => {
		expect(getGranted(createLending().lending.grant(createRenewal(1, 0, [['free', 0, 0, 0, 2]]), 0, 10))).toEqual([]);
	});
	test('answers questions', () => {
		const answer = ask(createLending().lending);
		expect(answer.kind === 'quota' && [answer.epoch, answer.granted, answer.retryMilliseconds]).toEqual([epoch, 2, 0]);
	});
	test('does not answer a process that knows a later leader, nor without a confirmation', () => {
		const {lending} = createLending();
		expect([ask(lending, {epoch: epoch + 1}).kind, ask(lending, {workspace: 'free'}).kind, ask(lending, {now: 1000}).kind]).toEqual(['unknown', 'unknown', 'unknown']);
		lending.confirm(990);
		expect(ask(lending, {now: 1000}).kind).toEqual('quota');
	});
	test('lends nothing with a grant that is decided late', () => {
		expect(getGranted(createLending().lending.grant(createRenewal(1, 0, [['one', 0, 0, 0, 2]]), 0, 1000))).toEqual([]);
	});
	test('lists the workspaces above their share, once for each process that acknowledges it', () => {
		const {lending} = createLending();
		expect(lending.grant(createRenewal(1, 0, [['one', 0, 0, 0, 9], ['two', 0, 0, 0, 9]]), 0, 10).aboveShare).toEqual([]);
		expect(lending.grant(createRenewal(2, 1, [['one', 9, 9, 0, 9], ['two', 9, 1, 0, 9]]), 0, 500).aboveShare).toEqual(['one']);
		expect(lending.grant(createRenewal(3, 1, []), 0, 510).aboveShare).toEqual(['one']);
		expect(lending.grant(createRenewal(4, 3, []), 0, 520).aboveShare).toEqual(undefined);
		expect(lending.grant(createRenewal(1, 0, [], 'other'), 0, 530).aboveShare).toEqual(['one']);
	});
	test('applies a lowered quota', () => {
		const {lending, machine} = createLending();
		commitDocument(machine, 0.001);
		const [, granted] = lending.grant(createRenewal(1, 0, [['one', 0, 0, 0, 100]]), 0, 10).quota![0]!;
		expect(granted < 20).toEqual(true);
	});
});
