import {describe, test} from 'node:test';
import {expect} from 'earl';
import {announcementSchema, type Announcement} from './announcement.js';
import {createRegistry, type RegistryCommand} from './registry.js';

function say(name: string, bornAt: number, sequence: number, changes: Partial<Announcement> = {}): Announcement {
	return announcementSchema.parse({
		service: 'stock', name, host: '127.0.0.1', port: 8080, zone: 'north', slots: 4, connections: 100, boot: String(bornAt), state: 'warm', bornAt, sequence, coldMilliseconds: 0, ...changes,
	});
}

function announced(announcement: Announcement): RegistryCommand {
	return {kind: 'announced', announcement, at: 0};
}

describe('createRegistry: boots that tell when they were born', () => {
	function doTest(commands: readonly RegistryCommand[], expected: Readonly<Record<string, string>>): void {
		let registry = createRegistry();
		for (const command of commands) {
			registry.apply(command);
			const {nextId, servers, departed} = registry.getImage();
			registry = createRegistry();
			registry.restore({nextId, servers, departed});
		}

		expect(Object.fromEntries([...registry.getAll()].map(server => [server.key, `${server.state} ${server.announcement.boot}`]))).toEqual(expected);
	}

	test('takes one that says it is warm for warm, and one that is cold for cold', () => {
		doTest([announced(say('one', 5, 1)), announced(say('two', 5, 1, {port: 1, coldMilliseconds: 900}))], {'stock/one': 'warm 5', 'stock/two': 'cold 5'});
	});
	test('keeps one that drains from coming back by a late word', () => {
		doTest([announced(say('one', 5, 1)), announced(say('one', 5, 9, {state: 'leaving'})), announced(say('one', 5, 8))], {'stock/one': 'leaving 5'});
	});
	test('forgets one that has left, whatever arrives late', () => {
		doTest([announced(say('one', 5, 1)), {
			kind: 'left', name: 'one', bornAt: 5, at: 0,
		}, announced(say('one', 5, 2))], {});
	});
	test('forgets one that left before its first word arrived', () => {
		doTest([{
			kind: 'left', name: 'one', bornAt: 5, at: 0,
		}, announced(say('one', 5, 1))], {});
	});
	test('takes a new boot under the old name, whose counts start anew', () => {
		doTest([announced(say('one', 5, 90)), {
			kind: 'left', name: 'one', bornAt: 5, at: 0,
		}, announced(say('one', 7, 1))], {'stock/one': 'warm 7'});
	});
	test('ignores the late leave of an earlier boot', () => {
		doTest([announced(say('one', 7, 1)), {
			kind: 'left', name: 'one', bornAt: 5, at: 0,
		}], {'stock/one': 'warm 7'});
	});
	test('gives an address to the one that was born later', () => {
		doTest([announced(say('one', 5, 1)), announced(say('two', 7, 1, {service: 'orders'}))], {'orders/two': 'warm 7'});
		doTest([announced(say('two', 7, 1)), announced(say('one', 5, 3))], {'stock/two': 'warm 7'});
	});
	test('cools a warm one that says so, and all of a zone', () => {
		doTest([announced(say('one', 5, 1)), announced(say('one', 5, 2, {coldMilliseconds: 10}))], {'stock/one': 'cold 5'});
		doTest([announced(say('one', 5, 1)), {kind: 'zoneCooled', zone: 'north', at: 0}], {'stock/one': 'cold 5'});
	});
});
