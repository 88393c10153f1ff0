import {describe, test} from 'node:test';
import {expect} from 'earl';
import {findViolations} from './checks.js';
import {type Violation} from './disturbances.js';
import {
	createHistory, type Answer, type Arrival, type Disturbance, type Exchange, type History, type Order, type Version,
} from './history.js';

const evacuation: Order = {
	zone: 'c', isOut: true, sentAt: 1000, acknowledgedAt: 1100, endedAt: 1100, attempts: [],
};

function createArrival(at: number, isRun = true): Arrival {
	return {
		id: 'r-1', upstream: 'i-c1', instance: 'i-c1', zone: 'c', at, isRun,
	};
}

function createExchange(outcome: Exchange['outcome'], isUnsafe = false): Exchange {
	return {
		id: 'r-1', entry: 'entry-1', method: isUnsafe ? 'POST' : 'GET', isUnsafe, sentAt: 0, endedAt: 20, outcome,
	};
}

const answer: Answer = {
	id: 'r-1', upstream: 'i-c1', signature: 's-1', status: 200, digest: 'd-1', manner: 'plain',
};
const response = {
	status: 200, signature: 's-1', digest: 'd-1', size: 3,
};

describe('findViolations', () => {
	function doTest(parts: Partial<Omit<History, 'now'>>, expectedRules: ReadonlyArray<Violation['rule']>): void {
		const violations = findViolations({...createHistory(), ...parts});
		expect(violations.map(({rule}) => rule)).toEqual([...expectedRules]);
	}

	function testArrival(at: number, expectedRules: ReadonlyArray<Violation['rule']>, disturbances: Disturbance[] = [], orders: Order[] = []): void {
		doTest({
			orders: [evacuation, ...orders], disturbances, arrivals: [createArrival(at)], exchanges: [createExchange('left')],
		}, expectedRules);
	}

	test('finds a request that reaches a zone later than the bound', () => {
		testArrival(6099, []);
		testArrival(6101, ['EVAC']);
	});

	test('accepts a request after the next order to put the zone back was sent', () => {
		testArrival(6101, [], [], [{
			zone: 'c', isOut: false, sentAt: 6000, acknowledgedAt: undefined, endedAt: 6500, attempts: [],
		}]);
	});

	test('finds a request after an order to put the zone back that came before the evacuation', () => {
		doTest({
			orders: [{
				zone: 'c', isOut: false, sentAt: 500, acknowledgedAt: undefined, endedAt: 999, attempts: [],
			}, evacuation], arrivals: [createArrival(6101)], exchanges: [createExchange('left')],
		}, ['EVAC']);
	});

	test('accepts either order of an evacuation and a return that were under way at the same time, and no other', () => {
		const doTestReturn = (sentAt: number, endedAt: number, expectedRules: ReadonlyArray<Violation['rule']>): void => {
			testArrival(6101, expectedRules, [], [{
				zone: 'c', isOut: false, sentAt, acknowledgedAt: endedAt, endedAt, attempts: [],
			}]);
		};

		doTestReturn(900, 1050, []);
		doTestReturn(1050, 1200, []);
		doTestReturn(900, 999, ['EVAC']);
		doTestReturn(6102, 6200, ['EVAC']);
		testArrival(8101, ['EVAC'], [], [
			{
				zone: 'c', isOut: false, sentAt: 1050, acknowledgedAt: 1200, endedAt: 1200, attempts: [],
			},
			{
				...evacuation, sentAt: 3000, acknowledgedAt: 3100, endedAt: 3100,
			},
		]);
	});

	test('accepts a late request of an entry or over a link that was disturbed shortly before', () => {
		for (const [scope, name] of [['entry', 'entry-1'], ['path', 'i-c1']] as const) {
			const disturbance: Disturbance = {
				scope, name, kind: '', from: 2000, to: 4000,
			};
			testArrival(6999, [], [disturbance]);
			testArrival(7001, ['EVAC'], [disturbance]);
			testArrival(6999, ['EVAC'], [{...disturbance, name: 'other'}]);
		}
	});

	test('extends the bound while a control host is disturbed', () => {
		const disturbance: Disturbance = {
			scope: 'core', name: 'control-1', kind: '', from: 5000, to: undefined,
		};
		testArrival(11_099, [], [disturbance]);
		testArrival(11_101, ['EVAC'], [disturbance]);
	});

	test('accepts the response that an upstream made for the request', () => {
		doTest({answers: [answer], exchanges: [createExchange(response)]}, []);
	});

	test('finds responses without a signature, of another request, with another status or body', () => {
		for (const [outcome, made] of [
			[{...response, signature: undefined}, answer],
			[response, {...answer, id: 'r-2'}],
			[response, {...answer, status: 500}],
			[{...response, status: 502}, answer],
			[{...response, status: Number.NaN, signature: undefined}, answer],
			[{...response, digest: 'd-2'}, answer],
			[{...response, signature: 's-2'}, answer],
		] as const) {
			doTest({answers: [made], exchanges: [createExchange(outcome)]}, ['MIXED']);
		}
	});

	test('finds an unsafe request that ran twice, or that was refused and ran', () => {
		doTest({arrivals: [createArrival(5), createArrival(9)], exchanges: [createExchange('left', true)]}, ['TWICE']);
		doTest({arrivals: [createArrival(5), createArrival(9, false)], exchanges: [createExchange('left', true)]}, []);
		doTest({arrivals: [createArrival(5), createArrival(9)], exchanges: [createExchange('left', false)]}, []);
		doTest({arrivals: [createArrival(5)], exchanges: [createExchange({...response, status: 503, signature: undefined}, true)]}, ['REFUSED']);
	});

	test('finds a request that was sent later than the drain time after its entry had passed on that the upstream leaves', () => {
		const later: Exchange = {...createExchange('left'), id: 'r-2', sentAt: 2021};
		const parts = {answers: [{...answer, leavingInstance: 'i-c1'}], arrivals: [{...createArrival(2500), id: 'r-2'}]};
		doTest({...parts, exchanges: [createExchange(response), later]}, ['DRAIN']);
		doTest({...parts, exchanges: [createExchange(response), {...later, sentAt: 2019}]}, []);
		doTest({...parts, exchanges: [createExchange(response), {...later, entry: 'entry-2'}]}, []);
		doTest({
			...parts, exchanges: [createExchange(response), later], disturbances: [{
				scope: 'entry', name: 'entry-1', kind: '', from: 1000, to: 1500,
			}],
		}, []);
	});

	test('finds more than two requests of an entry in a pause that an upstream asked it for', () => {
		const pauses = [{
			id: 'r-1', upstream: 'i-c1', instance: 'i-c1', at: 100, milliseconds: 1500,
		}];
		const exchanges = [createExchange('left')];
		const arrivals = [601, 700, 1599].map(at => createArrival(at));
		doTest({pauses, exchanges, arrivals}, ['BUDGET']);
		doTest({pauses, exchanges, arrivals: [createArrival(599), createArrival(1601), ...arrivals.slice(1)]}, []);
		doTest({pauses: [{...pauses[0]!, instance: 'i-c1-2'}], exchanges, arrivals}, []);
	});

	test('finds answered requests that an entry in touch cut off more than three times', () => {
		function doTestCutOffs(count: number, outcome: string, expectedRules: ReadonlyArray<Violation['rule']>, disturbances: Disturbance[] = []): void {
			const ids = Array.from({length: count}, (_, index) => `r-${index}`);
			doTest({exchanges: ids.map(id => ({...createExchange(outcome), id})), answers: ids.map(id => ({...answer, id})), disturbances}, expectedRules);
		}

		doTestCutOffs(4, 'ECONNRESET', ['LOST', 'LOST', 'LOST', 'LOST']);
		doTestCutOffs(3, 'ECONNRESET', []);
		doTestCutOffs(4, 'closed', ['LOST', 'LOST', 'LOST', 'LOST']);
		doTestCutOffs(4, 'closed behind an incomplete response', []);
		doTestCutOffs(4, 'ECONNRESET', [], [{
			scope: 'entry', name: 'entry-1', kind: 'kill entry', from: 10, to: 15,
		}]);
	});

	test('finds an answered request that planned work cut off', () => {
		const exchange: Exchange = {...createExchange('ECONNRESET'), sentAt: 5000, endedAt: 5020};
		const work: Disturbance = {
			scope: 'entry', name: 'entry-1', kind: 'stop entry', isPlanned: true, from: 5010, to: 9000,
		};
		function doTestWork(changes: Partial<Disturbance>, expectedRules: ReadonlyArray<Violation['rule']>, others: Disturbance[] = [], made = answer, outcome = exchange.outcome): void {
			doTest({disturbances: [{...work, ...changes}, ...others], exchanges: [{...exchange, outcome}], answers: [made]}, expectedRules);
		}

		doTestWork({}, ['LOST']);
		doTestWork({scope: 'settings', from: 3001}, ['LOST']);
		doTestWork({scope: 'settings', from: 2999}, []);
		doTestWork({from: 5021}, []);
		doTestWork({name: 'entry-2'}, []);
		doTestWork({isPlanned: undefined}, []);
		doTestWork({}, [], [], {...answer, manner: 'break-off'});
		doTestWork({}, [], [], answer, 'left');
		doTestWork({}, [], [{
			scope: 'entry', name: 'entry-1', kind: 'freeze entry', from: 1900, to: 2000,
		}]);
		doTestWork({}, [], [{
			scope: 'path', name: 'i-c1', kind: 'reset upstream', from: 1900, to: 2000,
		}]);
		doTestWork({}, ['LOST'], [{
			scope: 'path', name: 'i-c2', kind: 'reset upstream', from: 1900, to: 2000,
		}]);
	});

	describe('with versions', () => {
		const version: Version = {
			number: 5, sentAt: 1000, acknowledgedAt: 1100, refusal: undefined,
		};

		function createSighting(sentAt: number, status: number, marker = 5): Exchange {
			const id = `${sentAt}`;
			return {
				...createExchange({...response, status, signature: status === 200 ? id : undefined}), id, marker, sentAt, endedAt: sentAt + 10,
			};
		}

		function createKill(scope: Disturbance['scope']): Disturbance {
			return {
				scope, name: 'entry-1', kind: 'kill entry', from: 1500, to: 1600,
			};
		}

		function doTestSightings(exchanges: Exchange[], expectedRules: ReadonlyArray<Violation['rule']>, disturbances: Disturbance[] = []): void {
			const answers = exchanges.map(({id}) => ({...answer, id, signature: id}));
			doTest({
				versions: [version], exchanges, answers, disturbances,
			}, expectedRules);
		}

		test('finds an acknowledged version that is missing at an entry in touch later than the bound', () => {
			doTestSightings([createSighting(3099, 404)], []);
			doTestSightings([createSighting(3101, 404)], ['CONFIG']);
			doTestSightings([createSighting(3101, 404, 6)], []);
			doTestSightings([createSighting(3101, 404)], [], [createKill('entry')]);
			doTestSightings([createSighting(3101, 404)], [], [createKill('core')]);
			doTestSightings([createSighting(8101, 404)], ['CONFIG'], [createKill('core')]);
		});

		test('finds an entry that goes back to an older version', () => {
			doTestSightings([createSighting(1200, 200), createSighting(1470, 404)], ['CONFIG']);
			doTestSightings([createSighting(1200, 200, 4), createSighting(1470, 404)], []);
			doTestSightings([createSighting(1200, 200), createSighting(1450, 404)], []);
			doTestSightings([createSighting(1200, 200), createSighting(1700, 404)], [], [createKill('entry')]);
		});

		test('finds a control host that gives an older version, and a refused version', () => {
			const reading = {control: 'control-1', endedAt: 4000};
			doTest({versions: [version], readings: [{...reading, sentAt: 3099, number: 4}]}, []);
			doTest({versions: [version], readings: [{...reading, sentAt: 3101, number: 4}]}, ['CONFIG']);
			doTest({versions: [{...version, refusal: 409}]}, ['CONFIG']);
			doTest({versions: [{...version, acknowledgedAt: undefined}], exchanges: [], steadyFrom: 0}, ['ACKS']);
		});
	});

	test('finds an order without an acknowledgement and an entry that does not serve after the last fault', () => {
		doTest({orders: [{...evacuation, acknowledgedAt: undefined}], exchanges: [createExchange('timeout')], steadyFrom: 0}, ['ACKS', 'RECOVER']);
	});
});
