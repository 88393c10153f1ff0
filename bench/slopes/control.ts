/** Measures the cost of grants and announcements for the leader of the control hosts. */
import {announcementSchema} from '../../source/announcement/index.js';
import {createLeadership} from '../../source/control/index.js';
import {type Grant} from '../../source/lease/index.js';
import {encodeFrame} from '../../source/wire/index.js';
import {type BenchRow} from '../report.js';
import {
	createAnnouncement, createPopulatedStateMachine, createRenewal, leaseTermMilliseconds,
} from './fixtures.js';
import {measureMicroseconds} from './measuring.js';

/** Measures the time and size of grants for a number of registered servers and entries. */
export function measureGrants(serverCount: number, entryCount: number): BenchRow {
	const stateMachine = createPopulatedStateMachine(serverCount, 2);
	const leadership = createLeadership({
		epoch: 2, startedAt: -10_000, termMilliseconds: leaseTermMilliseconds, machine: stateMachine, getWallClock: () => 0, getAppliedIndex: () => 0,
	});
	for (let id = 1; id <= serverCount; id++) {
		leadership.recordLiveness(id, 0);
	}

	let sequence = 0;
	const grants = new Map<string, Grant>();
	for (let entry = 0; entry < entryCount; entry++) {
		grants.set(`entry-${entry}`, leadership.grant(createRenewal(`entry-${entry}`, ++sequence, undefined), 0, 0));
	}

	const fullGrant = [...grants.values()][0]!;
	for (const [entry, grant] of grants) {
		grants.set(entry, leadership.grant(createRenewal(entry, ++sequence, grant), 0, 0));
	}

	let now = 0;
	let lastGrant: Grant | undefined;
	const entryNames = [...grants.keys()];
	const grantMicroseconds = measureMicroseconds(entryNames.length * 3, () => {
		sequence++;
		now += 0.01;
		const entry = entryNames[sequence % entryNames.length]!;
		lastGrant = leadership.grant(createRenewal(entry, sequence, grants.get(entry)), now, now);
	});
	return {
		slope: 'grant',
		servers: serverCount,
		entries: entryCount,
		grantMicroseconds,
		tickMicroseconds: measureMicroseconds(5, () => {
			leadership.tick(now);
		}),
		steadyGrantBytes: encodeFrame(lastGrant).length,
		renewalBytes: encodeFrame(createRenewal('entry-1', 1, fullGrant)).length,
		wholeGrantBytes: encodeFrame(fullGrant).length,
	};
}

/** Measures the time and size of an announcement that changes nothing, with a number of registered servers. */
export function measureAnnouncements(serverCount: number): BenchRow {
	const stateMachine = createPopulatedStateMachine(serverCount, 2);
	const leadership = createLeadership({
		epoch: 2, startedAt: 0, termMilliseconds: leaseTermMilliseconds, machine: stateMachine, getWallClock: () => 0, getAppliedIndex: () => 0,
	});
	const announcement = createAnnouncement(1, 2);
	const text = JSON.stringify(announcement);
	return {
		slope: 'announcement',
		servers: serverCount,
		microseconds: measureMicroseconds(500, () => {
			const parsedAnnouncement = announcementSchema.parse(JSON.parse(text));
			stateMachine.registry.isTransition(parsedAnnouncement);
			leadership.recordLiveness(2, 1);
		}),
		bytes: encodeFrame({kind: 'request', id: 1, request: {kind: 'announce', announcement}}).length,
	};
}
