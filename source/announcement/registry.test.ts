import {describe, test} from 'node:test';
import {expect} from 'earl';
import {getStoredCopy} from '../../stand-in/stored-copy.js';
import {announcementSchema, type Announcement} from './announcement.js';
import {createRegistry, type RegistryCommand} from './registry.js';

function createAnnouncement(name: string, bornAt: number, sequence: number, changes: Partial<Announcement> = {}): Announcement {
	return announcementSchema.parse({
		service: 'stock', name, host: '127.0.0.1', port: 8080, zone: 'north', slots: 4, connections: 100, boot: String(bornAt), state: 'warm', bornAt, sequence, coldMilliseconds: 0, ...changes,
	});
}

function announce(announcement: Announcement): RegistryCommand {
	return {kind: 'announced', announcement, at: 0};
}

describe('createRegistry: boots that report their start time', () => {
	function doTest(commands: readonly RegistryCommand[], expected: Readonly<Record<string, string>>): void {
		let registry = createRegistry();
		for (const command of commands) {
			registry.apply(command);
			const {nextId, servers, departed} = registry.takeSnapshot();
			registry = createRegistry();
			registry.restore(getStoredCopy({nextId, servers, departed}));
		}

		expect(Object.fromEntries([...registry.getAll()].map(server => [server.key, `${server.state} ${server.announcement.boot}`]))).toEqual(expected);
	}

	test('registers a boot as warm or cold according to its remaining cold time', () => {
		doTest([announce(createAnnouncement('one', 5, 1)), announce(createAnnouncement('two', 5, 1, {port: 1, coldMilliseconds: 900}))], {'stock/one': 'warm 5', 'stock/two': 'cold 5'});
	});
	test('keeps a draining boot leaving when an earlier announcement arrives late', () => {
		doTest([announce(createAnnouncement('one', 5, 1)), announce(createAnnouncement('one', 5, 9, {state: 'leaving'})), announce(createAnnouncement('one', 5, 8))], {'stock/one': 'leaving 5'});
	});
	test('removes a boot that has left, and ignores its late announcements', () => {
		doTest([announce(createAnnouncement('one', 5, 1)), {
			kind: 'left', name: 'one', bornAt: 5, at: 0,
		}, announce(createAnnouncement('one', 5, 2))], {});
	});
	test('ignores a boot that left before its first announcement arrived', () => {
		doTest([{
			kind: 'left', name: 'one', bornAt: 5, at: 0,
		}, announce(createAnnouncement('one', 5, 1))], {});
	});
	test('accepts a new boot with the same name, whose sequence starts again', () => {
		doTest([announce(createAnnouncement('one', 5, 90)), {
			kind: 'left', name: 'one', bornAt: 5, at: 0,
		}, announce(createAnnouncement('one', 7, 1))], {'stock/one': 'warm 7'});
	});
	test('ignores a late leave message of an earlier boot', () => {
		doTest([announce(createAnnouncement('one', 7, 1)), {
			kind: 'left', name: 'one', bornAt: 5, at: 0,
		}], {'stock/one': 'warm 7'});
	});
	test('ignores a late drain of an earlier boot', () => {
		doTest([announce(createAnnouncement('one', 7, 1)), {
			kind: 'drained', key: 'stock/one', boot: '5', at: 0,
		}], {'stock/one': 'warm 7'});
	});
	test('drains the boot that the operator saw, and any boot by a command of an earlier release', () => {
		for (const boot of ['7', undefined]) {
			doTest([announce(createAnnouncement('one', 7, 1)), {
				kind: 'drained', key: 'stock/one', boot, at: 0,
			}], {'stock/one': 'leaving 7'});
		}
	});
	test('assigns an address to the boot that started later', () => {
		doTest([announce(createAnnouncement('one', 5, 1)), announce(createAnnouncement('two', 7, 1, {service: 'orders'}))], {'orders/two': 'warm 7'});
		doTest([announce(createAnnouncement('two', 7, 1)), announce(createAnnouncement('one', 5, 3))], {'stock/two': 'warm 7'});
	});
	test('marks a warm boot cold when it reports remaining cold time, and all boots of a zone that is put back into service', () => {
		doTest([announce(createAnnouncement('one', 5, 1)), announce(createAnnouncement('one', 5, 2, {coldMilliseconds: 10}))], {'stock/one': 'cold 5'});
		doTest([announce(createAnnouncement('one', 5, 1)), {kind: 'zoneCooled', zone: 'north', at: 0}], {'stock/one': 'cold 5'});
	});
});
