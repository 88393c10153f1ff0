/** Slopes of an entry: views, choices and counts. */
import {
	createCandidate, createChooser, createCountsReporter, createPeerCounts, type Policy,
} from '../../source/choice/index.js';
import {createFleet} from '../../source/entry/fleet.js';
import {createRandom} from '../../source/randomness/index.js';
import {encodeFrame} from '../../source/wire/index.js';
import {type BenchRow} from '../report.js';
import {createAnnouncement, createDocument} from './sample.js';
import {measureMicroseconds, getLiveHeapBytes} from './measuring.js';

/** An entry's view as the number of servers grows. */
export function measureViews(servers: number): BenchRow {
	const before = getLiveHeapBytes();
	const fleet = createFleet(createRandom(1));
	fleet.setDocument(createDocument(2));
	const views = Array.from({length: servers}, (_, index) => ({
		id: index + 1, announcement: createAnnouncement(index, 2), state: 'warm' as const, isAbsent: false, isRemoved: false,
	}));
	fleet.update(views, true);
	const bytes = (getLiveHeapBytes() - before) / servers;
	return {
		slope: 'view', servers, changeMicroseconds: measureMicroseconds(3, () => {
			fleet.update([views[0]!], false);
		}), observeMicroseconds: measureMicroseconds(5, () => {
			fleet.takeObservations();
		}), bytesForEachServer: bytes,
	};
}

/** The choice of a server as the number of candidates grows. */
export function measureChoices(candidates: number, policy: Policy): BenchRow {
	const all = Array.from({length: candidates}, (_, index) => createCandidate(index + 1, createAnnouncement(index, 1), 'warm'));
	const chooser = createChooser(policy, createRandom(1));
	return {
		slope: 'choice', policy, candidates, microseconds: measureMicroseconds(2000, () => {
			chooser.choose({
				candidates: all, excluded: new Set(), zone: 'zone-0', avoidedZones: new Set(), now: 0,
			});
		}),
	};
}

/** One message of counts between entries. */
export function measureCounts(servers: number): BenchRow {
	const reporter = createCountsReporter('entry-10');
	const counts = Array.from({length: servers}, (_, index) => ({server: index + 1, inFlight: 1}));
	const message = reporter.takeChanges(counts);
	const joint = createPeerCounts();
	return {
		slope: 'counts', servers, bytes: encodeFrame(message).length, takeMicroseconds: measureMicroseconds(200, () => {
			joint.receive(message!);
		}),
	};
}
