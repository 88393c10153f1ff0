/** Slopes of the control leader: grants and announcements. */
import {announcementSchema} from '../../source/announcement/index.js';
import {createLeadership} from '../../source/control/index.js';
import {type Grant} from '../../source/lease/index.js';
import {encodeFrame} from '../../source/wire/index.js';
import {type BenchRow} from '../report.js';
import {
	createAnnouncement, createPopulatedStateMachine, createRenewal, leaseTermMilliseconds,
} from './sample.js';
import {measureMicroseconds} from './measuring.js';

/** Grants as the registry and the number of entries grow. */
export function measureGrants(servers: number, entries: number): BenchRow {
	const machine = createPopulatedStateMachine(servers, 2);
	const leadership = createLeadership({
		epoch: 2, startedAt: -10_000, termMilliseconds: leaseTermMilliseconds, machine, getWallClock: () => 0,
	});
	for (let id = 1; id <= servers; id++) {
		leadership.recordLiveness(id, 0);
	}

	let sequence = 0;
	const first = new Map<string, Grant>();
	for (let entry = 0; entry < entries; entry++) {
		first.set(`entry-${entry}`, leadership.grant(createRenewal(`entry-${entry}`, ++sequence, undefined), 0, 0));
	}

	const whole = [...first.values()][0]!;
	for (const [entry, grant] of first) {
		first.set(entry, leadership.grant(createRenewal(entry, ++sequence, grant), 0, 0));
	}

	let now = 0;
	let last: Grant | undefined;
	const names = [...first.keys()];
	const microseconds = measureMicroseconds(names.length * 3, () => {
		sequence++;
		now += 0.01;
		const entry = names[sequence % names.length]!;
		last = leadership.grant(createRenewal(entry, sequence, first.get(entry)), now, now);
	});
	return {
		slope: 'grant', servers, entries, grantMicroseconds: microseconds, tickMicroseconds: measureMicroseconds(5, () => {
			leadership.tick(now);
		}), steadyGrantBytes: encodeFrame(last).length, renewalBytes: encodeFrame(createRenewal('entry-1', 1, whole)).length, wholeGrantBytes: encodeFrame(whole).length,
	};
}

/** Announcements that change nothing. */
export function measureAnnouncements(servers: number): BenchRow {
	const machine = createPopulatedStateMachine(servers, 2);
	const leadership = createLeadership({
		epoch: 2, startedAt: 0, termMilliseconds: leaseTermMilliseconds, machine, getWallClock: () => 0,
	});
	const announcement = createAnnouncement(1, 2);
	const text = JSON.stringify(announcement);
	return {
		slope: 'announcement', servers, microseconds: measureMicroseconds(500, () => {
			const parsed = announcementSchema.parse(JSON.parse(text));
			machine.registry.isTransition(parsed);
			leadership.recordLiveness(2, 1);
		}), bytes: encodeFrame({kind: 'request', id: 1, request: {kind: 'announce', announcement}}).length,
	};
}
