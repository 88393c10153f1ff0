import {once} from 'node:events';
import {createServer, request as startRequest} from 'node:http';
import {describe, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {withSingleHost, type SingleHost} from '../../stand-in/single-host.js';
import {getStoredCopy} from '../../stand-in/stored-copy.js';
import {isCallAwaited} from './awaited-call.js';
import {createStateMachine} from './state-machine.js';
import {changeZone, type ZoneChangeOutcome} from './zone-change.js';
import {type ControlRequest, type ControlResponse} from './message.js';

// Guards against an evacuation that was undone by an older order, whose sender had given up on the host that carried it out late.
describe('changeZone', () => {
	type Moment = 'never' | 'before the revision is read' | 'after the revision is read';

	/** Orders a zone out of service for the first time; at the given moment the sender gives up, and the zone is ordered back through another host. */
	async function doTest(givesUp: Moment, expected: {readonly kind: ZoneChangeOutcome['kind']; readonly zonesOut: readonly string[]}): Promise<void> {
		await withSingleHost(async ({handler, machine}) => {
			let isAwaited = true;

			async function giveUp(): Promise<void> {
				isAwaited = false;
				await changeZone({
					zone: 'south', isOut: false, isAwaited: async () => true, submit: handler.handle,
				});
			}

			async function submit(request: ControlRequest): Promise<ControlResponse> {
				if (isAwaited && request.kind === 'readZones' && givesUp === 'before the revision is read') {
					await giveUp();
				}

				if (isAwaited && request.kind === 'moveZone' && givesUp === 'after the revision is read') {
					await giveUp();
				}

				return handler.handle(request);
			}

			const {kind} = await changeZone({
				zone: 'south', isOut: true, isAwaited: async () => isAwaited, submit,
			});
			expect({kind, zonesOut: machine.getZonesOut()}).toEqual({...expected});
		});
	}

	test('carries out an order whose sender waits', async () => doTest('never', {kind: 'zoneMoved', zonesOut: ['south']}));
	test('drops an order whose sender gave up before it was read', async () => doTest('before the revision is read', {kind: 'abandoned', zonesOut: []}));
	test('drops an order whose sender gave up while it was on its way to the leader', async () => doTest('after the revision is read', {kind: 'abandoned', zonesOut: []}));

	/** Has orders for a zone carried out, each confirmed by its sender if needed, and returns what then becomes of a further one. */
	async function doOvertakenTest(earlier: readonly boolean[], isOut: boolean, expected: ZoneChangeOutcome['kind']): Promise<void> {
		await withSingleHost(async ({handler, machine}) => {
			const change = async (isZoneOut: boolean, confirmedRevision?: number): Promise<ZoneChangeOutcome> => changeZone({
				zone: 'south', isOut: isZoneOut, confirmedRevision, isAwaited: async () => true, submit: handler.handle,
			});
			for (const isZoneOut of earlier) {
				const first = await change(isZoneOut);
				const {kind} = first.kind === 'confirmationNeeded' ? await change(isZoneOut, first.revision) : first;
				expect(kind).toEqual('zoneMoved');
			}

			const zonesOut = machine.getZonesOut();
			const {kind} = await change(isOut);
			expect(kind).toEqual(expected);
			expect(machine.getZonesOut()).toEqual(expected === 'confirmationNeeded' ? zonesOut : (isOut ? ['south'] : []));
		});
	}

	test('asks the sender of the first order that puts a zone back to confirm it', async () => doOvertakenTest([true], false, 'confirmationNeeded'));
	test('asks the sender of an order that takes a zone out again to confirm it', async () => doOvertakenTest([true, false], true, 'confirmationNeeded'));
	test('carries out at once the first order that takes a zone out, also after one that changed nothing, and orders that change nothing', async () => {
		await doOvertakenTest([], true, 'zoneMoved');
		await doOvertakenTest([false], true, 'zoneMoved');
		await doOvertakenTest([], false, 'zoneMoved');
		await doOvertakenTest([true], true, 'zoneMoved');
		await doOvertakenTest([true, false], false, 'zoneMoved');
	});

	/** Has a zone taken out, put back and taken out, each acknowledged, and returns what then becomes of an order to put it back. */
	async function withOvertakenOrder(run: (host: SingleHost, putBack: (confirmedRevision?: number) => Promise<ZoneChangeOutcome>) => Promise<void>): Promise<void> {
		await withSingleHost(async host => {
			const change = async (isOut: boolean, confirmedRevision?: number): Promise<ZoneChangeOutcome> => changeZone({
				zone: 'south', isOut, confirmedRevision, isAwaited: async () => true, submit: host.handler.handle,
			});
			const changeConfirmed = async (isOut: boolean): Promise<ZoneChangeOutcome> => change(isOut, host.machine.getZonesRevision());
			expect([await change(true), await changeConfirmed(false), await changeConfirmed(true)]).toEqual([{kind: 'zoneMoved'}, {kind: 'zoneMoved'}, {kind: 'zoneMoved'}]);
			await run(host, async confirmedRevision => change(false, confirmedRevision));
		});
	}

	test('asks the sender of an order that a later one may have overtaken to confirm it', async () => {
		await withOvertakenOrder(async ({machine}, putBack) => {
			const revision = machine.getZonesRevision();
			expect(await putBack()).toEqual({kind: 'confirmationNeeded', revision});
			expect(machine.getZonesOut()).toEqual(['south']);
			expect(await putBack(revision)).toEqual({kind: 'zoneMoved'});
			expect(machine.getZonesOut()).toEqual([]);
		});
	});
	test('refuses a confirmation that an order overtook which changed nothing', async () => {
		await withOvertakenOrder(async ({handler, machine}, putBack) => {
			const revision = machine.getZonesRevision();
			const {kind} = await changeZone({
				zone: 'south', isOut: true, isAwaited: async () => true, submit: handler.handle,
			});
			expect(kind).toEqual('zoneMoved');
			expect(await putBack(revision)).toEqual({kind: 'confirmationNeeded', revision: machine.getZonesRevision()});
			expect(machine.getZonesOut()).toEqual(['south']);
		});
	});
	test('refuses a confirmation of a revision that does not exist', async () => {
		await withOvertakenOrder(async ({machine}, putBack) => {
			const revision = machine.getZonesRevision();
			expect(await putBack(revision + 1000)).toEqual({kind: 'confirmationNeeded', revision});
			expect(machine.getZonesOut()).toEqual(['south']);
		});
	});
	test('keeps a confirmation while other zones are ordered', async () => {
		await withOvertakenOrder(async ({handler, machine}, putBack) => {
			const revision = machine.getZonesRevision();
			await handler.handle({kind: 'moveZone', zone: 'west', isOut: true});
			expect(await putBack(revision)).toEqual({kind: 'zoneMoved'});
			expect(machine.getZonesOut()).toEqual(['west']);
		});
	});
	test('acknowledges an order that is sent again after it was carried out', async () => {
		await withOvertakenOrder(async ({machine}, putBack) => {
			const revision = machine.getZonesRevision();
			expect(await putBack(revision)).toEqual({kind: 'zoneMoved'});
			expect([await putBack(revision), await putBack()]).toEqual([{kind: 'zoneMoved'}, {kind: 'zoneMoved'}]);
		});
	});
	test('does not put a zone back for a host of an earlier release, which has no confirmation', async () => {
		await withOvertakenOrder(async ({handler, machine}) => {
			expect(await handler.handle({kind: 'moveZone', zone: 'south', isOut: false})).toEqual({kind: 'zoneUnconfirmed'});
			expect(machine.getZonesOut()).toEqual(['south']);
		});
	});
	test('carries out one of two orders for the same state of a zone', async () => {
		await withOvertakenOrder(async ({handler, machine}) => {
			const order = {
				kind: 'moveZone', zone: 'south', isOut: false, revision: machine.getZonesRevision(), isConfirmed: true,
			} as const;
			expect(await Promise.all([handler.handle(order), handler.handle(order)])).toEqual([{kind: 'zoneMoved'}, {kind: 'zonesChanged'}]);
		});
	});
	test('carries out concurrent orders one after the other', async () => {
		await withSingleHost(async ({handler, machine}) => {
			const zones = ['a', 'b', 'c', 'd'];
			const outcomes = await Promise.all(zones.map(async zone => changeZone({
				zone, isOut: true, isAwaited: async () => true, submit: handler.handle,
			})));
			expect([outcomes.map(({kind}) => kind), machine.getZonesOut()]).toEqual([zones.map(() => 'zoneMoved'), zones]);
		});
	});
	test('keeps the revision in snapshots', async () => {
		await withSingleHost(async ({handler, machine}) => {
			await handler.handle({kind: 'moveZone', zone: 'south', isOut: true});
			const restored = createStateMachine({
				retentionMilliseconds: 1000, maximumClaims: 10, maximumAnswerBytes: 1000, maximumStoredBytes: 1000,
			});
			restored.restore(getStoredCopy(machine.takeSnapshot()));
			expect(machine.getZonesRevision() > 0).toEqual(true);
			expect(restored.getZonesRevision()).toEqual(machine.getZonesRevision());
		});
	});
});

describe('isCallAwaited', () => {
	/** Sends a call that a host reads only after a while, and gives up before or not. */
	async function doTest(givesUp: boolean): Promise<void> {
		const result = new Promise<boolean>(resolve => {
			const server = createServer((request, response) => {
				void isCallAwaited(request).then(isAwaited => {
					resolve(isAwaited);
					response.end();
					server.close();
				});
			});
			server.listen(0, '127.0.0.1');
			void once(server, 'listening').then(async () => {
				const {port} = server.address() as {readonly port: number};
				const request = startRequest({
					host: '127.0.0.1', port, method: 'DELETE', path: '/', agent: false,
				});
				request.on('error', () => {
					// The sender has given up.
				});
				request.end();
				await once(request, 'finish');
				if (givesUp) {
					request.destroy();
				}

				// The event loop does not read while it is blocked, as in a process that is stopped.
				const until = Date.now() + 300;
				while (Date.now() < until) {
					// Blocks the event loop.
				}

				await delay(0);
			});
		});
		expect(await result).toEqual(!givesUp);
	}

	test('sees that the sender of a call waits', async () => doTest(false));
	test('sees that the sender of a call closed its connection before the call was read', async () => doTest(true));
});
