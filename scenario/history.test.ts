import {describe, test} from 'node:test';
import {expect} from 'earl';
import {type RequestRecord} from '../stand-in/index.js';
import {
	checkers, type ChangeAttempt, type History, type VersionSample, type CallerAttempt,
} from './history.js';

const run: RequestRecord = {
	server: 's1', zone: 'north', requestId: 'r', key: 'k', token: 't', sendId: 'k/1', hasStarted: true, startedAt: 1000, endedAt: 1010, inFlight: 1, capacity: 1, isCold: false, outcome: 'ran',
};
const sending: CallerAttempt = {
	sendId: 'k/1', key: 'k', token: 't', entry: 'e1', isRead: false, sentAt: 990, endedAt: 1020, outcome: 'answered', reason: '', isIntact: true,
};
const change: ChangeAttempt = {
	changeId: 'c1', base: 0, sentAt: 0, endedAt: 10, version: 1,
};
const reading: VersionSample = {
	entry: 'e1', at: 500, version: 1, incarnation: 1,
};
const sound: History = {
	callerAttempts: [sending], runs: [run], changeAttempts: [change], versionSamples: [reading], departures: [], departureLimitMilliseconds: 100, probesPerSecond: 1, inForceLimitMilliseconds: 100,
};

describe('checkers', () => {
	function doTest(name: string, broken: Partial<History>): void {
		const checker = checkers[name]!;
		expect(checker(sound)).toEqual([]);
		expect(checker({...sound, ...broken}).length > 0).toEqual(true);
	}

	test('at-most-once finds a key that ran twice', () => {
		doTest('at-most-once', {runs: [run, {...run, server: 's2', sendId: 'k/2'}]});
	});
	test('truth finds a run that was told "not run"', () => {
		doTest('truth', {callerAttempts: [{...sending, outcome: 'notRun'}]});
	});
	test('whole finds an answer that is not the caller\'s own', () => {
		doTest('whole', {callerAttempts: [{...sending, isIntact: false}]});
	});
	test('no-errors finds an unanswered sending', () => {
		doTest('no-errors', {callerAttempts: [{...sending, outcome: 'unknown'}]});
	});
	test('served finds an outage', () => {
		doTest('served', {callerAttempts: [sending, {...sending, outcome: 'notRun'}]});
	});
	test('departures finds late work in a zone', () => {
		doTest('departures', {
			departures: [{
				zone: 'north', server: undefined, acceptedAt: 800, returnedAt: 5000,
			}],
		});
	});
	test('departures finds late work at a server', () => {
		doTest('departures', {
			departures: [{
				zone: undefined, server: 's1', acceptedAt: 800, returnedAt: 5000,
			}],
		});
	});
	test('cold finds an overloaded cold server', () => {
		doTest('cold', {runs: [{...run, isCold: true, inFlight: 2}]});
	});
	test('probes finds two probes in a second', () => {
		doTest('probes', {runs: [{...run, outcome: 'probe'}, {...run, outcome: 'probe', startedAt: 1900}]});
	});
	test('configuration finds a version given twice', () => {
		doTest('configuration', {changeAttempts: [change, {...change, changeId: 'c2'}]});
	});
	test('configuration finds a change accepted on an old base', () => {
		doTest('configuration', {changeAttempts: [change, {...change, changeId: 'c2', version: 3}]});
	});
	test('configuration finds a change answered with two versions', () => {
		doTest('configuration', {changeAttempts: [change, {...change, base: 1, version: 2}]});
	});
	test('configuration finds a version answered after a later one', () => {
		doTest('configuration', {
			changeAttempts: [{...change, base: 1, version: 2}, {
				...change, changeId: 'c0', sentAt: 50, endedAt: 60,
			}],
		});
	});
	test('configuration finds an entry that goes back', () => {
		doTest('configuration', {versionSamples: [{...reading, version: 2}, reading]});
	});
	test('configuration finds a version that is late in force', () => {
		doTest('configuration', {
			changeAttempts: [change, {
				...change, changeId: 'c2', base: 1, version: 2,
			}],
		});
	});
});
