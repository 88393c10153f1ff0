import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createRecordedLog, type RecordedLine} from '../../../stand-in/recorded-log.js';
import {type Grant} from '../../lease/index.js';
import {createZoneView, type ZoneView} from './zone-view.js';

function getGrant(zonesOut: readonly string[], zonesRevision?: number): Grant {
	return {
		kind: 'grant',
		sequence: 1,
		termMilliseconds: 1000,
		epoch: 2,
		revision: 0,
		isWhole: true,
		servers: [],
		version: 1,
		document: undefined,
		permits: [],
		duties: [],
		probeMilliseconds: 1000,
		quarantined: [],
		zonesOut,
		...(zonesRevision === undefined ? {} : {zonesRevision}),
		entries: 1,
		peersRevision: 0,
		peers: [],
	};
}

describe('createZoneView', () => {
	type Step = (view: ZoneView) => void;

	/** Runs the steps 100 ms apart, and gets the lines of the log. */
	function getLines(steps: readonly Step[]): readonly RecordedLine[] {
		const log = createRecordedLog();
		let now = 0;
		const view = createZoneView({log, isServingWithoutControl: true, getTime: () => now});
		for (const step of steps) {
			now += 100;
			step(view);
		}

		return log.lines;
	}

	/** Grants zones; the renewal was sent 10 ms before the given time. */
	function grant(host: string, at: number, zonesOut: readonly string[], zonesRevision?: number): Step {
		return view => {
			view.recordGrant(getGrant(zonesOut, zonesRevision), host, at - 10);
		};
	}

	test('logs a change with the revisions, the host and the age of the grant, and no repetition', context => {
		expect(getLines([grant('a', 100, [], 4), grant('a', 200, [], 4), grant('b', 300, ['south'], 9)])).toMatchSnapshot(context);
	});
	test('warns of a revision that goes back', context => {
		expect(getLines([grant('a', 100, ['south'], 9), grant('b', 200, [], 4)])).toMatchSnapshot(context);
	});
	test('logs the zones of a control host of an earlier release without a revision', context => {
		expect(getLines([grant('a', 100, []), grant('a', 200, ['south'])])).toMatchSnapshot(context);
	});
	test('logs when the lease ends and is granted again', context => {
		const isValid = [false, true, true, false, false, true].map((value): Step => view => {
			view.recordLease(value);
		});
		expect(getLines([isValid[0]!, grant('a', 200, ['south'], 9), ...isValid.slice(1)])).toMatchSnapshot(context);
	});
	test('gets the revision and the age of the last grant', () => {
		let now = 0;
		const view = createZoneView({log: createRecordedLog(), isServingWithoutControl: true, getTime: () => now});
		expect([view.getRevision(), view.getZonesOutCount(), view.getGrantAgeSeconds()]).toEqual([0, 0, Number.POSITIVE_INFINITY]);
		view.recordGrant(getGrant(['south'], 9), 'a', 0);
		now = 1500;
		expect([view.getRevision(), view.getZonesOutCount(), view.getGrantAgeSeconds()]).toEqual([9, 1, 1.5]);
	});
});
