import {describe, test} from 'node:test';
import {expect} from 'earl';
import {type RequestRecord} from '../stand-in/index.js';
import {
	checkers, type CallerAttempt, type ChangeAttempt, type History, type VersionSample,
} from './history.js';

const record: RequestRecord = {
	server: 's1', zone: 'north', requestId: 'r', key: 'k', token: 't', sendId: 'k/1', hasStarted: true, startedAt: 1000, earliestAt: 1000, endedAt: 1010, inFlight: 1, capacity: 1, isCold: false, outcome: 'ran',
};
const attempt: CallerAttempt = {
	sendId: 'k/1', key: 'k', token: 't', entry: 'e1', isRead: false, sentAt: 990, endedAt: 1020, outcome: 'answered', reason: '', isIntact: true,
};
const change: ChangeAttempt = {
	changeId: 'c1', base: 0, sentAt: 0, endedAt: 10, version: 1,
};
const sample: VersionSample = {
	entry: 'e1', at: 500, version: 1, incarnation: 1,
};
const validHistory: History = {
	callerAttempts: [attempt],
	requestRecords: [record],
	changeAttempts: [change],
	versionSamples: [sample],
	departures: [],
	departureLimitMilliseconds: 100,
	probesPerSecond: 1,
	inForceLimitMilliseconds: 100,
};

describe('checkers', () => {
	function doTest(name: string, overrides: Partial<History>): void {
		const checker = checkers[name]!;
		expect(checker(validHistory)).toEqual([]);
		expect(checker({...validHistory, ...overrides}).length > 0).toEqual(true);
	}

	test('at-most-once finds a request that ran twice', () => {
		doTest('at-most-once', {requestRecords: [record, {...record, server: 's2', sendId: 'k/2'}]});
	});
	test('truth finds a request that ran although it was reported as not run', () => {
		doTest('truth', {callerAttempts: [{...attempt, outcome: 'notRun'}]});
	});
	test('whole finds a response that is not intact', () => {
		doTest('whole', {callerAttempts: [{...attempt, isIntact: false}]});
	});
	test('no-errors finds an attempt that failed', () => {
		doTest('no-errors', {callerAttempts: [{...attempt, outcome: 'unknown'}]});
	});
	test('leaving finds a request that was sent after the entry had passed on that the server leaves', () => {
		doTest('leaving', {
			callerAttempts: [attempt, {...attempt, sendId: 'k/2', sentAt: 1021}],
			requestRecords: [{...record, withdrawal: {kind: 'leaving'}}, {...record, sendId: 'k/2', startedAt: 1022}],
		});
	});
	test('retry-after finds three requests in a pause that the server asked for', () => {
		const inPause = [2000, 2100, 2200].map(startedAt => ({...record, startedAt, endedAt: startedAt}));
		doTest('retry-after', {requestRecords: [{...record, outcome: 'shed', withdrawal: {kind: 'pause', milliseconds: 3000}}, ...inPause]});
	});
	test('served finds that no more than half of the attempts were answered', () => {
		doTest('served', {callerAttempts: [attempt, {...attempt, outcome: 'notRun'}]});
	});
	test('departures finds a late request to a server in a departed zone', () => {
		doTest('departures', {
			departures: [{
				zone: 'north', server: undefined, acceptedAt: 800, returnedAt: 5000,
			}],
		});
	});
	test('departures finds a late request to a departed server', () => {
		doTest('departures', {
			departures: [{
				zone: undefined, server: 's1', acceptedAt: 800, returnedAt: 5000,
			}],
		});
	});
	test('cold finds an overloaded cold server', () => {
		doTest('cold', {requestRecords: [{...record, isCold: true, inFlight: 2}]});
	});
	test('probes finds two probes within a second', () => {
		doTest('probes', {
			requestRecords: [{...record, outcome: 'probe'}, {
				...record, outcome: 'probe', startedAt: 1900, earliestAt: 1900,
			}],
		});
	});
	test('probes finds two probes within a second of the earliest arrival of the first', () => {
		doTest('probes', {
			requestRecords: [{...record, outcome: 'probe', earliestAt: 950}, {
				...record, outcome: 'probe', startedAt: 1900, earliestAt: 1900,
			}],
		});
	});
	test('probes finds nothing if the first may have arrived a second earlier, while the server was late', () => {
		expect(checkers.probes!({
			...validHistory, requestRecords: [{...record, outcome: 'probe', earliestAt: 800}, {
				...record, outcome: 'probe', startedAt: 1900, earliestAt: 1900,
			}],
		})).toEqual([]);
	});
	test('configuration finds a version assigned to two changes', () => {
		doTest('configuration', {changeAttempts: [change, {...change, changeId: 'c2'}]});
	});
	test('configuration finds a change whose version does not follow its base', () => {
		doTest('configuration', {changeAttempts: [change, {...change, changeId: 'c2', version: 3}]});
	});
	test('configuration finds a change accepted as two versions', () => {
		doTest('configuration', {changeAttempts: [change, {...change, base: 1, version: 2}]});
	});
	test('configuration finds a version accepted after a later one', () => {
		doTest('configuration', {
			changeAttempts: [{...change, base: 1, version: 2}, {
				...change, changeId: 'c0', sentAt: 50, endedAt: 60,
			}],
		});
	});
	test('configuration finds an entry that reverts to an earlier version', () => {
		doTest('configuration', {versionSamples: [{...sample, version: 2}, sample]});
	});
	test('configuration finds a version that is in force too late', () => {
		doTest('configuration', {
			changeAttempts: [change, {
				...change, changeId: 'c2', base: 1, version: 2,
			}],
		});
	});
});
