import {describe, test} from 'node:test';
import {expect} from 'earl';
import {announcementSchema} from '../announcement/index.js';
import {documentSchema} from '../configuration/index.js';
import {type Observation, type Renewal} from '../lease/index.js';
import {createLeadership, type Leadership} from './leadership.js';
import {createStateMachine} from './state-machine.js';

const epoch = 3;

/** Starts a leader with one cold server of one slot, which gains a slot with ten successes. */
function start(): Leadership {
	const machine = createStateMachine({
		retentionMilliseconds: 1000, maximumClaims: 10, maximumAnswerBytes: 10, maximumStoredBytes: 10,
	});
	const document = documentSchema.parse({
		zones: [{name: 'north'}],
		services: [{name: 'stock', deadlineMilliseconds: 500, easing: {initialSlots: 1, growthPerSuccess: 0.1, ceilingMilliseconds: 30_000}}],
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

function getRenewal(sequence: number, counts: Pick<Observation, 'successes' | 'sheds'>): Renewal {
	return {
		kind: 'renewal',
		entry: 'a',
		environment: 'production',
		sequence,
		acknowledged: 1,
		version: 1,
		epoch,
		revision: 0,
		peersRevision: 0,
		observations: [{
			server: 1, inFlight: 0, isCold: false, ...counts,
		}],
		held: [],
		failedProbes: [],
		heard: [],
		crashes: [],
		peer: undefined,
		isFinal: false,
	};
}

// An entry sends its last renewal again when its link to the leader breaks before the answer.
describe('createLeadership: a renewal that arrives twice', () => {
	function doTest(renewals: readonly Renewal[], expected: number): void {
		const leadership = start();
		for (const [index, renewal] of renewals.entries()) {
			leadership.grant(renewal, index, index);
		}

		expect(leadership.getServers(10)[0]?.permits?.capacity).toEqual(expected);
	}

	const successful = getRenewal(2, {successes: 100, sheds: 0});
	const shed = getRenewal(3, {successes: 0, sheds: 1});

	test('counts its successes once', () => {
		doTest([successful], 11);
		doTest([successful, successful], 11);
	});
	test('counts its sheds once', () => {
		doTest([successful, shed, shed], 5);
	});
	test('counts like another one if its number differs', () => {
		doTest([successful, shed, {...shed, sequence: 4}], 2);
	});
});
