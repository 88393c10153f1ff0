/** Measures the cost of server views, choices and counts for an entry. */
import {
	createCandidate, createChooser, createCountsReporter, createPeerCounts, type Policy,
} from '../../source/choice/index.js';
import {createFleet} from '../../source/entry/fleet/fleet.js';
import {createRandom} from '../../source/randomness/index.js';
import {encodeFrame} from '../../source/wire/index.js';
import {type BenchRow} from '../report.js';
import {createAnnouncement, createDocument} from './fixtures.js';
import {measureMicroseconds, getLiveHeapBytes} from './measuring.js';

/** Measures the memory of an entry per server, the time to update the view of one server and the time to collect the observations. */
export function measureViews(serverCount: number): BenchRow {
	const heapBytesBefore = getLiveHeapBytes();
	const fleet = createFleet(createRandom(1));
	fleet.setDocument(createDocument(2));
	const views = Array.from({length: serverCount}, (_, index) => ({
		id: index + 1, announcement: createAnnouncement(index, 2), state: 'warm' as const, isAbsent: false, isRemoved: false,
	}));
	fleet.update(views, true);
	const bytesPerServer = (getLiveHeapBytes() - heapBytesBefore) / serverCount;
	return {
		slope: 'view',
		servers: serverCount,
		changeMicroseconds: measureMicroseconds(3, () => {
			fleet.update([views[0]!], false);
		}),
		observeMicroseconds: measureMicroseconds(5, () => {
			fleet.takeObservations();
		}),
		bytesForEachServer: bytesPerServer,
	};
}

/** Measures the time to choose one of a number of candidates with a policy. */
export function measureChoices(candidateCount: number, policy: Policy): BenchRow {
	const candidates = Array.from({length: candidateCount}, (_, index) => createCandidate(index + 1, createAnnouncement(index, 1), 'warm'));
	const chooser = createChooser(policy, createRandom(1));
	return {
		slope: 'choice',
		policy,
		candidates: candidateCount,
		microseconds: measureMicroseconds(2000, () => {
			chooser.choose({
				candidates, excluded: new Set(), zone: 'zone-0', avoidedZones: new Set(), now: 0,
			});
		}),
	};
}

/** Measures the size of a message with the counts of a number of servers, and the time that a peer takes to apply it. */
export function measureCounts(serverCount: number): BenchRow {
	const reporter = createCountsReporter('entry-10');
	const counts = Array.from({length: serverCount}, (_, index) => ({server: index + 1, inFlight: 1}));
	const message = reporter.takeChanges(counts);
	const peerCounts = createPeerCounts();
	return {
		slope: 'counts',
		servers: serverCount,
		bytes: encodeFrame(message).length,
		takeMicroseconds: measureMicroseconds(200, () => {
			peerCounts.receive(message!);
		}),
	};
}
