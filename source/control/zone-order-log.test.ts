import {describe, test, type TestContext} from 'node:test';
import {expect} from 'earl';
import {createRecordedLog} from '../../stand-in/recorded-log.js';
import {type ControlResponse} from './message.js';
import {changeZone} from './zone-change.js';
import {createZoneOrderLog, type ReceivedZoneOrder, type ZoneOrderOutcome} from './zone-order-log.js';

const order: ReceivedZoneOrder = {
	zone: 'south', isOut: true, call: 'POST /zones/south', sender: '10.0.0.1:5000',
};

/** Creates a log of orders whose requests get the given responses one after the other, 5 ms each. */
function createOrders(responses: readonly ControlResponse[]) {
	const log = createRecordedLog();
	const outcomes: ZoneOrderOutcome[] = [];
	const submitted: unknown[] = [];
	let now = 0;

	const orders = createZoneOrderLog({
		log,
		host: 'one',
		async submit(request) {
			now += 5;
			submitted.push(request);
			const response = responses[submitted.length - 1];
			if (response === undefined) {
				throw new Error('the link was closed');
			}

			return response;
		},
		countOrder(outcome) {
			outcomes.push(outcome);
		},
		getTime: () => now,
		createId: () => 'f00d',
	});
	return {
		orders, lines: log.lines, outcomes, submitted,
	};
}

describe('createZoneOrderLog', () => {
	async function doTest(context: TestContext, responses: readonly ControlResponse[], isAwaited = true): Promise<void> {
		const {orders, lines, outcomes, submitted} = createOrders(responses);
		await orders.record(order, async submit => changeZone({
			zone: order.zone, isOut: order.isOut, isAwaited: async () => isAwaited, submit,
		})).catch(String);
		expect({lines, outcomes, submitted}).toMatchSnapshot(context);
	}

	test('logs an order with its sender, revision, outcome and duration', async context => {
		await doTest(context, [{kind: 'zones', revision: 7}, {kind: 'zoneMoved'}]);
	});
	test('logs the last revision of an order that met another one', async context => {
		await doTest(context, [{kind: 'zones', revision: 7}, {kind: 'zonesChanged'}, {kind: 'zones', revision: 9}, {kind: 'zoneMoved'}]);
	});
	test('logs an order whose sender gave up with the revision that was read', async context => {
		await doTest(context, [{kind: 'zones', revision: 7}], false);
	});
	test('logs an order that ended with an error', async context => {
		await doTest(context, [{kind: 'zones', revision: 7}]);
	});
	test('logs an order that is refused after a stall', context => {
		const {orders, lines, outcomes} = createOrders([]);
		orders.recordStalled(order);
		expect({lines, outcomes}).toMatchSnapshot(context);
	});
	test('bounds the lines of a flood of orders, and counts all of them', () => {
		const {orders, lines, outcomes} = createOrders([]);
		for (let count = 0; count < 1000; count++) {
			orders.recordStalled({...order, zone: 'z'.repeat(100_000)});
		}

		expect([lines.length, outcomes.length, JSON.stringify(lines[0]).length < 1000]).toEqual([50, 1000, true]);
	});
});
