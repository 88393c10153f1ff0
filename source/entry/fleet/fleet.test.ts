import {describe, test} from 'node:test';
import {expect} from 'earl';
import {announcementSchema} from '../../announcement/index.js';
import {documentSchema, type EnvironmentDocument} from '../../configuration/index.js';
import {type Permit, type ServerView} from '../../lease/index.js';
import {type Waiter} from '../../limits/index.js';
import {createRandom} from '../../randomness/index.js';
import {createFleet, type Fleet} from './fleet.js';

function getView(id: number, isAbsent = false): ServerView {
	return {
		id, state: 'warm', isAbsent, isRemoved: false, announcement: announcementSchema.parse({
			service: 'stock', name: `server-${id}`, host: '127.0.0.1', port: id, zone: 'north', slots: 4, connections: 100, boot: 'one', state: 'warm',
		}),
	};
}

// Guards against requests that are never answered because the document no longer lists the service that they wait for.
describe('createFleet: requests that wait for a service', () => {
	function doTest(nextService: string, expected: {readonly refused: number; readonly isQueued: boolean}): void {
		const fleet = createFleet(createRandom(1), undefined);
		fleet.setDocument(documentSchema.parse({zones: [{name: 'north'}], services: [{name: 'stock'}]}));
		const {queue} = fleet.getState('stock')!;
		let refused = 0;
		const waiter: Waiter = {
			deadlineAt: 1000, rank: 1, workspace: undefined, start: () => false, expire() {
				refused++;
			}, isSettled: () => false,
		};
		queue.add(waiter, 0);
		fleet.setDocument(documentSchema.parse({zones: [{name: 'north'}], services: [{name: nextService}]}));
		// A request whose body arrives only now finds the service as it was.
		expect({refused, isQueued: queue.add(waiter, 0)}).toEqual(expected);
		fleet.close();
	}

	test('wait on while the document lists it', () => {
		doTest('stock', {refused: 0, isQueued: true});
	});
	test('are refused at once when the document drops it', () => {
		doTest('other', {refused: 1, isQueued: false});
	});
});

// Guards against traffic to zones because a document that takes all of them out of service looks like one without zones.
describe('createFleet: zones of the document', () => {
	function doTest(zones: EnvironmentDocument['zones'], expected: number): void {
		const fleet = createFleet(createRandom(1), undefined);
		fleet.setDocument({...documentSchema.parse({zones: [{name: 'north'}], services: [{name: 'stock'}]}), zones});
		fleet.update([getView(1)], true);
		expect(fleet.getState('stock')!.getCandidates().length).toEqual(expected);
		fleet.close();
	}

	test('in service serve', () => {
		doTest([{name: 'north', inService: true}], 1);
	});
	test('out of service do not serve, even if no other is in service', () => {
		doTest([{name: 'north', inService: false}], 0);
	});
	test('serve if the document lists none', () => {
		doTest([], 1);
	});
});

describe('createFleet: servers that a new leader lists', () => {
	function doTest(listed: readonly number[], views: readonly ServerView[], expected: {readonly isComplete: boolean; readonly servers: ReadonlyArray<readonly [id: number, isAbsent: boolean]>}): void {
		const fleet: Fleet = createFleet(createRandom(1), undefined);
		fleet.update([getView(1), getView(2, true)], true);
		fleet.update(views, false);
		const isComplete = fleet.retain(listed, views);
		expect({isComplete, servers: [...fleet.getServers()].map(({candidate}) => [candidate.id, candidate.isAbsent()] as const)}).toEqual({isComplete: expected.isComplete, servers: [...expected.servers]});
		fleet.close();
	}

	test('are kept, and present unless their view says otherwise', () => {
		doTest([1, 2], [getView(1, true)], {isComplete: true, servers: [[1, true], [2, false]]});
	});
	test('replace the others', () => {
		doTest([2, 3], [getView(3)], {isComplete: true, servers: [[2, false], [3, false]]});
	});
	test('are incomplete if one is not known', () => {
		doTest([1, 2, 3], [], {isComplete: false, servers: [[1, false], [2, false]]});
	});
});

describe('createFleet: permits', () => {
	function doTest(granted: ReadonlyArray<readonly Permit[]>, expected: readonly Permit[]): void {
		const fleet = createFleet(createRandom(1), undefined);
		fleet.update([getView(1), getView(2), getView(3)], true);
		for (const permits of granted) {
			fleet.setPermits(permits);
		}

		expect(fleet.getPermits()).toEqual([...expected]);
		fleet.close();
	}

	test('state the capacity by which they were granted', () => {
		const capacity = {
			epoch: 1, grant: 1, slots: 6, held: 6,
		};
		doTest([[{server: 1, slots: 2, capacity}]], [{server: 1, slots: 2, capacity}]);
		doTest([[{server: 1, slots: 2, capacity}], [{server: 1, slots: 1, isKept: true}]], [{server: 1, slots: 1, capacity}]);
		doTest([[{server: 1, slots: 2, capacity}], [{server: 1, slots: 2}]], [{server: 1, slots: 2}]);
	});

	const first: readonly Permit[] = [{server: 1, slots: 2}, {server: 2, slots: 0, requestsPerSecond: 4}];

	test('are those of the last grant', () => {
		doTest([first, [{server: 3, slots: 1}]], [{server: 3, slots: 1}]);
	});
	test('are kept if a new leader says so, but not raised', () => {
		doTest([first, [{server: 1, slots: 3, isKept: true}, {
			server: 2, slots: 0, requestsPerSecond: 4, isKept: true,
		}, {server: 3, slots: 1, isKept: true}]], first);
	});
	test('are gone once they are revoked', () => {
		const fleet = createFleet(createRandom(1), undefined);
		fleet.update([getView(1)], true);
		fleet.setPermits(first);
		fleet.revokePermits();
		expect(fleet.getPermits()).toEqual([]);
		fleet.close();
	});
});
