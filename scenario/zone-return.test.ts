import {describe, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {documentSchema} from '../source/configuration/index.js';
import {type Cluster} from '../stand-in/cluster.js';
import {type RequestRecord} from '../stand-in/index.js';
import {checkers, type Departure} from './history.js';
import {createOperators} from './operators.js';
import {createRecording, recordZoneChange} from './recording.js';

const outAt = 1000;
const limitMilliseconds = 5000;

describe('recordZoneChange', () => {
	/** Checks whether a request at the zone counts as one too many, for a return that was sent at 8000 and accepted at 9500. */
	function doTest(startedAt: number, expectedViolations: number): void {
		const departures: Departure[] = [];
		recordZoneChange(departures, 'out', 'south', {sentAt: outAt - 500, acceptedAt: outAt});
		recordZoneChange(departures, 'in', 'south', {sentAt: 8000, acceptedAt: 9500});
		const record: RequestRecord = {
			server: 's1', zone: 'south', requestId: 'r', key: undefined, token: 't', sendId: 's', hasStarted: true, startedAt, earliestAt: startedAt, endedAt: startedAt, inFlight: 1, capacity: 1, isCold: false, outcome: 'ran',
		};
		expect(checkers.departures!({
			...createRecording(), departures, requestRecords: [record], departureLimitMilliseconds: limitMilliseconds, probesPerSecond: 1, inForceLimitMilliseconds: 1,
		}).length).toEqual(expectedViolations);
	}

	// Guards against a return that counted from the response, though its change was in force 1.2 s earlier.
	test('counts a return from when its change is sent, since it may take effect from then on', () => {
		doTest(8001, 0);
	});
	test('counts no return before that', () => {
		doTest(7999, 1);
	});
	test('counts a departure from the response that accepted it', () => {
		doTest(outAt + limitMilliseconds, 0);
	});
	test('counts every request after the limit', () => {
		doTest(outAt + limitMilliseconds + 1, 1);
	});
});

describe('createOperators: the time from which a change may have taken effect', () => {
	const millisecondsBetweenSendings = 5;

	type Response = {readonly status: number; readonly body: unknown} | undefined;

	const accepted: Response = {status: 200, body: {answer: {kind: 'accepted', version: 4}}};
	const refused: Response = {status: 409, body: {answer: {kind: 'conflict'}}};
	const none: Response = undefined;

	/** Checks which of the sendings counts. */
	async function doTest(responses: readonly Response[], expectedIndex: number): Promise<void> {
		const sendTimes: number[] = [];
		async function callApi(method: 'GET' | 'POST'): Promise<Response> {
			if (method === 'GET') {
				return {status: 200, body: {version: {version: 3, document: {}}}};
			}

			sendTimes.push(Date.now());
			await delay(millisecondsBetweenSendings);
			return responses[sendTimes.length - 1];
		}

		const cluster: Partial<Cluster> = {callApi};
		const operators = createOperators({
			getCluster: () => cluster as Cluster,
			createDocument: () => documentSchema.parse({zones: []}),
			getSeed: () => 1,
			record() {
				// The attempts are not looked at.
			},
		});
		const {sentAt, version} = await operators.applyChange(document => document, 'change');
		expect(version).toEqual(4);
		expect(sendTimes.findIndex(time => time >= sentAt)).toEqual(expectedIndex);
	}

	test('is that of a sending without a response', async () => doTest([none, accepted], 0));
	test('is not that of a refused sending', async () => doTest([refused, accepted], 1));
	test('is that of the first sending that was not refused', async () => doTest([refused, none, refused, accepted], 1));
});
