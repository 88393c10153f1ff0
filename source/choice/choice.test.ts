import {describe, test} from 'node:test';
import {expect} from 'earl';
import {announcementSchema} from '../announcement/index.js';
import {createRandom} from '../randomness/index.js';
import {
	createCandidate, createChooser, createCountsReporter, createPeerCounts, type Candidate, type Policy,
} from './index.js';

const limits = {consecutiveFailures: 3, ejectionMilliseconds: 1000, largestShare: 0.5};

function create(id: number, state: 'cold' | 'warm' = 'warm', zone = 'north'): Candidate {
	return createCandidate(id, announcementSchema.parse({
		service: 'stock', name: `s${id}`, host: '127.0.0.1', port: 1, zone, slots: 2, connections: 100, boot: 'b', state: 'warm',
	}), state);
}

function choose(policy: Policy, candidates: readonly Candidate[], zone = 'north', now = 0): number[] {
	const chooser = createChooser(policy, createRandom(5));
	return Array.from({length: 300}, () => chooser.choose({
		candidates, excluded: new Set(), zone, avoidedZones: new Set(), now,
	})?.id ?? 0);
}

function getShare(chosen: readonly number[], id: number): number {
	return chosen.filter(candidate => candidate === id).length / chosen.length;
}

describe('createChooser', () => {
	function doTest(policy: Policy, prepare: (candidates: readonly Candidate[]) => void, lowest: number, highest: number): void {
		const candidates = [create(1), create(2), create(3), create(4)];
		prepare(candidates);
		const share = getShare(choose(policy, candidates), 1);
		expect(share >= lowest && share <= highest).toEqual(true);
	}

	const load = (candidates: readonly Candidate[]): void => {
		candidates[0]!.start();
		candidates[0]!.start();
	};

	test('round robin ignores load', () => {
		doTest('round-robin', load, 0.24, 0.26);
	});
	test('least in flight never chooses a loaded server', () => {
		doTest('least-in-flight', load, 0, 0);
	});
	test('two choices choose a loaded server only when both draws are that server', () => {
		doTest('two-choices', load, 0, 0.15);
	});
	test('joint choices count the requests of peers', () => {
		doTest('two-joint-choices', ([first]) => {
			first!.setPeerInFlight(3);
		}, 0, 0.15);
	});
	test('a server that fails fast does not count as unloaded', () => {
		doTest('two-joint-choices', ([first]) => {
			first!.start();
			first!.finish('failure', 0);
		}, 0, 0.15);
	});
	test('a server without free slots is never chosen', () => {
		doTest('two-joint-choices', ([first]) => {
			first!.setPeerInFlight(6);
		}, 0, 0);
	});
});

describe('createChooser: least in flight in a large service', () => {
	/** Starts requests on 500 servers, only some of them available, and checks the most requests at one server. */
	function doTest(isAvailable: (id: number) => boolean, requests: number, expected: number): void {
		const candidates = Array.from({length: 500}, (_, index) => create(index + 1));
		for (const candidate of candidates) {
			candidate.update(candidate.getAnnouncement(), 'warm', !isAvailable(candidate.id));
		}

		const chooser = createChooser('least-in-flight', createRandom(6));
		for (let request = 0; request < requests; request++) {
			chooser.choose({
				candidates, excluded: new Set(), zone: 'north', avoidedZones: new Set(), now: 0,
			})!.start();
		}

		expect(Math.max(...candidates.map(candidate => candidate.getInFlight()))).toEqual(expected);
	}

	test('spreads requests nearly as evenly as a comparison of all servers', () => {
		doTest(() => true, 400, 2);
	});
	test('finds the only available server', () => {
		doTest(id => id === 333, 5, 5);
	});
});

describe('createCandidate', () => {
	function doTest(candidate: Candidate, steps: ReadonlyArray<(candidate: Candidate) => void>, now: number, isAvailable: boolean): void {
		for (const step of steps) {
			step(candidate);
		}

		expect(candidate.isAvailable(now)).toEqual(isAvailable);
	}

	const start = (candidate: Candidate): void => {
		candidate.start();
	};

	const fail = (candidate: Candidate): void => {
		candidate.start();
		candidate.finish('failure', 0);
		candidate.ejectWhenFailing(limits, 0);
	};

	const succeed = (candidate: Candidate): void => {
		candidate.start();
		candidate.finish('success', 0);
	};

	test('a cold server is unavailable without a permit', () => {
		doTest(create(1, 'cold'), [], 0, false);
	});
	test('a cold server is available up to the slots of its permit', () => {
		doTest(create(1, 'cold'), [candidate => {
			candidate.setPermit(2);
		}, start], 0, true);
		doTest(create(1, 'cold'), [candidate => {
			candidate.setPermit(2);
		}, start, start], 0, false);
	});
	test('a server is ejected after consecutive failures', () => {
		doTest(create(1), [fail, fail, fail], 999, false);
	});
	test('a success between failures prevents the ejection', () => {
		doTest(create(1), [fail, fail, succeed, fail], 0, true);
	});
	test('a server is available for one request after its ejection', () => {
		doTest(create(1), [fail, fail, fail], 1000, true);
		doTest(create(1), [fail, fail, fail, start], 1000, false);
	});
	test('a server marked cold takes one request, and one more after each success', () => {
		const markCold = (candidate: Candidate): void => {
			candidate.markCold();
		};

		doTest(create(1), [markCold, start], 0, false);
		doTest(create(1), [markCold, succeed, start], 0, true);
	});
});

describe('createPeerCounts and createCountsReporter', () => {
	function doTest(counts: ReadonlyArray<ReadonlyArray<readonly [server: number, inFlight: number]>>, expected: number): void {
		const peerCounts = createPeerCounts();
		const reporter = createCountsReporter('a');
		for (const step of counts) {
			const message = reporter.takeChanges(step.map(([server, inFlight]) => ({server, inFlight})));
			if (message !== undefined) {
				peerCounts.receive(message);
			}
		}

		peerCounts.receive({
			kind: 'counts', entry: 'b', isWhole: true, servers: [1], inFlight: [10],
		});
		expect(peerCounts.get(1)).toEqual(expected + 10);
		peerCounts.receive(reporter.getAll());
		expect(peerCounts.get(1)).toEqual(expected + 10);
		peerCounts.removePeer('a');
		expect(peerCounts.get(1)).toEqual(10);
	}

	test('apply changed counts', () => {
		doTest([[[1, 2]], [[1, 5]], [[1, 3]]], 3);
	});
	test('remove counts that return to zero', () => {
		doTest([[[1, 2], [2, 1]], [[1, 0], [2, 1]]], 0);
	});
});
