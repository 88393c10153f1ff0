import {describe, test} from 'node:test';
import {expect} from 'earl';
import {announcementSchema} from '../announcement/index.js';
import {documentSchema} from '../configuration/index.js';
import {type Grant, type Renewal} from '../lease/index.js';
import {createLeadership, type Leadership} from './leadership.js';
import {createStateMachine} from './state-machine.js';

const termMilliseconds = 1000;
const deadlineMilliseconds = 500;
const stopAt = 4000;
const renewMilliseconds = 200;

/** Starts a leader with one cold server, whose slots or rate are allocated. */
function start(service: 'stock' | 'price'): Leadership {
	const machine = createStateMachine({
		retentionMilliseconds: 1000, maximumClaims: 10, maximumAnswerBytes: 10, maximumStoredBytes: 10,
	});
	const document = documentSchema.parse({
		zones: [{name: 'north'}],
		services: [
			{name: 'stock', deadlineMilliseconds, easing: {initialSlots: 2, growthPerSuccess: 0.1, ceilingMilliseconds: 30_000}},
			{
				name: 'price', path: '/price', deadlineMilliseconds, warmUp: {milliseconds: 30_000, requestsPerSecond: 8},
			},
		],
	});
	machine.apply({
		area: 'configuration', command: {
			kind: 'apply', environment: 'production', base: 0, change: 'c', author: 'a', at: 0, update: {kind: 'whole', document},
		},
	});
	const announcement = announcementSchema.parse({
		service, name: 's', host: '10.0.0.1', port: 1, zone: 'north', slots: 8, connections: 100, boot: 'b', state: 'cold',
	});
	machine.apply({area: 'registry', command: {kind: 'announced', at: 0, announcement}});
	return createLeadership({
		epoch: 3, startedAt: 0, termMilliseconds, machine, getWallClock: () => 0, getAppliedIndex: () => 1,
	});
}

function getRenewal(entry: string, sequence: number, last: Grant | undefined): Renewal {
	return {
		kind: 'renewal',
		entry,
		environment: 'production',
		sequence,
		acknowledged: last?.sequence ?? 0,
		version: 1,
		epoch: last?.epoch ?? 0,
		revision: 0,
		peersRevision: 0,
		observations: [],
		held: last?.permits ?? [],
		failedProbes: [],
		heard: [],
		crashes: [],
		peer: undefined,
		isFinal: false,
	};
}

describe('createLeadership: permits of an entry that stops', () => {
	type Scene = {
		readonly service: 'stock' | 'price';
		readonly entries: readonly string[];
		/** Time between the receipt of the last renewal of the entry that stops and the decision on it. */
		readonly decisionAfter?: number;
		readonly isFinal: boolean;
		/** Time after the stop at which the permits are read. */
		readonly readAfter: number;
	};

	/** Lets the first entry stop while the others renew regularly, and gets the permits of the others. */
	function play({service, entries, decisionAfter = 0, isFinal, readAfter}: Scene): ReadonlyArray<number | undefined> {
		const leadership = start(service);
		const lastGrants = new Map<string, Grant>();
		let sequence = 0;

		function renewAll(names: readonly string[], now: number): void {
			leadership.tick(now);
			for (const name of names) {
				lastGrants.set(name, leadership.grant(getRenewal(name, ++sequence, lastGrants.get(name)), now, now));
			}
		}

		for (let now = 0; now < stopAt; now += renewMilliseconds) {
			renewAll(entries, now);
		}

		const [first, ...others] = entries as readonly [string, ...string[]];
		const last: Renewal = {...getRenewal(first, ++sequence, lastGrants.get(first)), isFinal};
		leadership.tick(stopAt + decisionAfter);
		leadership.grant(last, stopAt, stopAt + decisionAfter);
		for (let now = stopAt + decisionAfter; now <= stopAt + readAfter; now += renewMilliseconds) {
			renewAll(others, now);
		}

		return others.map(name => lastGrants.get(name)?.permits[0]).map(permit => permit?.requestsPerSecond ?? permit?.slots);
	}

	function doTest(scene: Scene, expected: ReadonlyArray<number | undefined>): void {
		expect(play(scene)).toEqual([...expected]);
	}

	test('are granted to others once its requests have ended', () => {
		const scene: Scene = {
			service: 'stock', entries: ['a', 'b'], isFinal: true, readAfter: renewMilliseconds,
		};
		doTest(scene, [1]);
		doTest({...scene, readAfter: deadlineMilliseconds + renewMilliseconds}, [2]);
	});
	test('are granted to others if its last renewal is decided on after its lease has ended', () => {
		doTest({
			service: 'stock', entries: ['a', 'b'], isFinal: false, decisionAfter: termMilliseconds + 100, readAfter: 10 * renewMilliseconds,
		}, [2]);
	});
	test('are granted to others at once if they are rates', () => {
		doTest({
			service: 'price', entries: ['a', 'b', 'c', 'd', 'e'], isFinal: true, readAfter: renewMilliseconds,
		}, [2, 2, 2, 2]);
	});
});
