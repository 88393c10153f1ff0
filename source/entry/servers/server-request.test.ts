import {performance} from 'node:perf_hooks';
import {describe, test} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {expect} from 'earl';
import {announcementSchema} from '../../announcement/index.js';
import {createCandidate, type Candidate} from '../../choice/index.js';
import {createByteBudget} from '../../bytes/index.js';
import {defaultDialect, type Dialect} from '../dialect.js';
import {startAttempt} from './attempt.js';
import {type AttemptOutcome} from './attempt-outcome.js';
import {createLoadQuerier} from './load-querier.js';
import {createPool} from './pool.js';

/** Port to which nothing is sent in these tests. */
const unusedPort = 9;

// Guards against an entry that ends because a request to a server cannot be encoded: Node throws for it, also in timers and event handlers.
describe('a request to a server that cannot be sent', () => {
	function createUnsendableCandidate(): Candidate {
		const announcement = announcementSchema.parse({
			service: 'stock', name: 'one', host: '127.0.0.1', port: unusedPort, zone: 'north', slots: 4, connections: 100, boot: 'b', state: 'warm',
		});
		return createCandidate(1, {...announcement, name: 'i-\u0001\u001B9'}, 'warm');
	}

	async function doTest(headers: readonly string[], target: string): Promise<void> {
		const pool = createPool('127.0.0.1', unusedPort, 4);
		const outcomes: AttemptOutcome[] = [];
		const attempt = startAttempt({
			pool,
			dialect: defaultDialect,
			requestId: 'one',
			method: 'GET',
			target,
			headers,
			body: undefined,
			stream: undefined,
			deadlineAt: performance.now() + 1000,
			maximumBufferedBytes: 1000,
			bufferedResponses: createByteBudget(1000),
			maximumBodyBytes: 1000,
			mayDispatch: () => true,
			hasServerWithdrawn: () => false,
			onReport() {
				// No server reports anything here.
			},
			onError(error) {
				throw error;
			},
			onEnd(outcome) {
				outcomes.push(outcome);
			},
		});
		expect([outcomes.length, attempt.wasDispatched()]).toEqual([0, false]);
		await nextTurn();
		pool.close();
		expect(outcomes).toEqual([{kind: 'failed', verdict: {kind: 'notRun', reason: 'unsendable'}, hasCrashed: false}]);
	}

	test('fails its attempt if a header value holds control characters', async () => doTest(['target-instance', 'i-\u0001\u001B9'], '/'));
	test('fails its attempt if a header name holds a space', async () => doTest(['a b', '1'], '/'));
	test('fails its attempt if the path holds a tab', async () => doTest([], '/a\tb'));
	test('counts as a missed reply of a load query', async () => {
		const dialect: Dialect = {...defaultDialect, serverHeader: 'target-instance'};
		let missed = 0;
		const pool = createPool('127.0.0.1', 1, 1);
		const querier = createLoadQuerier({
			dialect, getAgent: () => pool.agent, getPath: () => '/', onReport() {
				// No server reports anything here.
			}, onMiss() {
				missed++;
			}, onResult() {
				// Results are not counted here.
			},
		});
		const readings = await new Promise(resolve => {
			querier.query({
				candidates: [createUnsendableCandidate()], waitMilliseconds: 1000, isSufficient: () => true, onReadings: resolve,
			});
		});
		pool.close();
		expect([readings, missed]).toEqual([[], 1]);
	});
});
