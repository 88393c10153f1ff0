import {describe, test} from 'node:test';
import {expect} from 'earl';
import {announcementSchema} from '../announcement/index.js';
import {documentSchema} from '../configuration/index.js';
import {type Observation, type Renewal} from '../lease/index.js';
import {createLeadership, type Leadership} from './leadership.js';
import {createStateMachine} from './state-machine.js';

const epoch = 3;

/** Starts a leader with one cold server of four slots at first, which gains a slot with ten successes. */
function start(): Leadership {
	const machine = createStateMachine({
		retentionMilliseconds: 1000, maximumClaims: 10, maximumAnswerBytes: 10, maximumStoredBytes: 10,
	});
	const document = documentSchema.parse({
		zones: [{name: 'north'}],
		services: [{name: 'stock', deadlineMilliseconds: 500, easing: {initialSlots: 4, growthPerSuccess: 0.1, ceilingMilliseconds: 30_000}}],
	});
	machine.apply({
		area: 'configuration', command: {
			kind: 'apply', environment: 'production', base: 0, change: 'c', author: 'a', at: 0, update: {kind: 'whole', document},
		},
	});
	const announcement = announcementSchema.parse({
		service: 'stock', name: 's', host: '10.0.0.1', port: 1, zone: 'north', slots: 20, connections: 100, boot: 'b', state: 'cold',
	});
	machine.apply({area: 'registry', command: {kind: 'announced', at: 0, announcement}});
	return createLeadership({
		epoch, startedAt: 0, termMilliseconds: 1000, machine, getWallClock: () => 0, getAppliedIndex: () => 1,
	});
}

type Counts = Partial<Pick<Observation, 'inFlight' | 'sheds' | 'successes'>>;

function getRenewal(entry: string, sequence: number, acknowledged: number, counts: Counts): Renewal {
	return {
		kind: 'renewal',
		entry,
		process: `process of ${entry}`,
		environment: 'production',
		sequence,
		acknowledged,
		version: 1,
		epoch,
		revision: 0,
		peersRevision: 0,
		observations: [{
			server: 1, inFlight: 0, successes: 0, sheds: 0, isCold: false, ...counts,
		}],
		held: [],
		failedProbes: [],
		heard: [],
		crashes: [],
		peer: undefined,
		isFinal: false,
	};
}

// An entry sends its last renewal again through a new link. What it sent through the earlier one may arrive after that.
describe('createLeadership: a renewal that arrives after a later one', () => {
	/** Grants renewals, and gets the capacity of the server. */
	function doTest(renewals: readonly Renewal[], expected: number): void {
		const leadership = start();
		for (const [index, renewal] of renewals.entries()) {
			leadership.grant(renewal, index, index);
		}

		expect(leadership.getServers(10)[0]?.permits?.capacity).toEqual(expected);
	}

	test('does not count successes again', () => {
		const first = getRenewal('a', 2, 1, {successes: 100});
		const second = getRenewal('a', 3, 1, {successes: 10});
		doTest([first, second], 15);
		doTest([first, second, first], 15);
		doTest([first, second, first, second], 15);
	});
	test('counts its sheds', () => {
		doTest([getRenewal('a', 2, 1, {successes: 160}), getRenewal('a', 4, 1, {}), getRenewal('a', 3, 1, {sheds: 1})], 10);
	});
	test('does not release slots of requests that were sent after it', () => {
		const leadership = start();
		let now = 2000;
		function grant(entry: string, sequence: number, acknowledged: number, inFlight = 0): number {
			now++;
			return leadership.grant(getRenewal(entry, sequence, acknowledged, {inFlight}), now, now).permits[0]?.slots ?? 0;
		}

		const own = grant('a', 1, 0);
		grant('b', 1, 0);
		grant('a', 3, 1, 4);
		grant('a', 4, 3, 4);
		const other = grant('b', 2, 1);
		grant('a', 2, 1);
		expect([own, other, grant('b', 3, 2)]).toEqual([4, 0, 0]);
	});
	test('does not hide the version that the entry has by now', () => {
		const leadership = start();
		leadership.grant({...getRenewal('a', 3, 1, {}), version: 1}, 1200, 1200);
		leadership.grant({...getRenewal('a', 2, 1, {}), version: 0}, 1201, 1201);
		expect(leadership.isInForce('production', 1, 1300)).toEqual(true);
	});
});
