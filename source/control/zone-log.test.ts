import {describe, test} from 'node:test';
import {expect} from 'earl';
import {getStoredCopy} from '../../stand-in/stored-copy.js';
import {createRecordedLog} from '../../stand-in/recorded-log.js';
import {createStateMachine, type ZoneCommand} from './state-machine.js';
import {createZoneLog} from './zone-log.js';

const limits = {
	retentionMilliseconds: 1000, maximumClaims: 10, maximumAnswerBytes: 1000, maximumStoredBytes: 1000,
};

describe('createZoneLog', () => {
	const command: ZoneCommand = {
		area: 'zones', zone: 'south', isOut: true, at: 0, order: 'one/f00d', proposer: 'two',
	};

	function createHost() {
		const machine = createStateMachine(limits);
		const log = createRecordedLog();
		const {lines} = log;
		const zoneLog = createZoneLog(log, machine);
		return {
			machine, lines, zoneLog,
			apply(index: number, changes: Partial<ZoneCommand>): void {
				const next = {...command, ...changes};
				machine.apply(next, index);
				zoneLog.recordCommand(next);
			},
		};
	}

	test('logs each command with its order, proposer, revision and the zones after it', context => {
		const {lines, apply} = createHost();
		apply(5, {});
		apply(8, {isOut: false, at: 1000, order: 'three/beef'});
		expect(lines).toMatchSnapshot(context);
	});
	test('logs zones that a snapshot restored, once', context => {
		const {machine, lines, zoneLog, apply} = createHost();
		apply(5, {});
		const other = createStateMachine(limits);
		other.apply({...command, zone: 'north'}, 12);
		machine.restore(getStoredCopy(other.takeSnapshot()));
		zoneLog.recordRestoredZones();
		zoneLog.recordRestoredZones();
		expect(lines).toMatchSnapshot(context);
	});
	test('logs nothing while the zones stay as they are', () => {
		const {lines, zoneLog, apply} = createHost();
		apply(5, {});
		zoneLog.recordRestoredZones();
		expect(lines.length).toEqual(1);
	});
});
