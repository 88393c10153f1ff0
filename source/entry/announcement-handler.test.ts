import {describe, test} from 'node:test';
import {expect} from 'earl';
import {announcementSchema, type Announcement} from '../announcement/index.js';
import {documentSchema} from '../configuration/index.js';
import {type ControlClient} from '../control-client/index.js';
import {type ControlRequest} from '../control/message.js';
import {createRandom} from '../randomness/index.js';
import {createAnnouncementHandler} from './announcement-handler.js';
import {createFleet} from './fleet.js';

function announce(changes: Partial<Announcement> = {}): Announcement {
	return announcementSchema.parse({
		service: 'stock', name: 'one', host: '127.0.0.1', port: 1, zone: 'north', slots: 4, connections: 100, boot: 'first', state: 'warm', ...changes,
	});
}

describe('createAnnouncements', () => {
	type Expected = {readonly forwarded: number; readonly heard: readonly number[]};

	async function doTest(announcements: readonly Announcement[], expected: Expected, options: {readonly isLeaseValid?: boolean; readonly isAbsent?: boolean} = {}): Promise<void> {
		const requests: ControlRequest[] = [];
		const client: Pick<ControlClient, 'submit'> = {
			async submit(request) {
				requests.push(request);
				return {kind: 'announced', state: 'cold'};
			},
		};
		const fleet = createFleet(createRandom(1));
		fleet.setDocument(documentSchema.parse({zones: [{name: 'north'}], services: [{name: 'stock'}]}));
		fleet.update([{
			id: 5, announcement: announce(), state: 'warm', isAbsent: options.isAbsent ?? false, isRemoved: false,
		}], true);
		const taken = createAnnouncementHandler({fleet, getClient: () => client as ControlClient, isLeaseValid: () => options.isLeaseValid ?? true});
		for (const announcement of announcements) {
			const answer = await taken.handle(announcement);
			expect(answer.kind).toEqual('announced');
		}

		expect({forwarded: requests.length, heard: taken.takeUnchangedServers()}).toEqual({...expected, heard: [...expected.heard]});
		expect(taken.takeUnchangedServers()).toEqual([]);
		fleet.close();
	}

	test('notes a server that says nothing new, once for each renewal', async () => doTest([announce(), announce({load: 3})], {forwarded: 0, heard: [5]}));
	test('passes on a server that it does not know', async () => doTest([announce({name: 'two'})], {forwarded: 1, heard: []}));
	test('passes on a new boot', async () => doTest([announce({boot: 'second'})], {forwarded: 1, heard: []}));
	test('passes on a departure', async () => doTest([announce({state: 'leaving'})], {forwarded: 1, heard: []}));
	test('passes on fewer slots', async () => doTest([announce({slots: 2})], {forwarded: 1, heard: []}));
	test('passes on a server that was absent', async () => doTest([announce()], {forwarded: 1, heard: []}, {isAbsent: true}));
	test('passes everything on while its own renewals are not answered', async () => doTest([announce()], {forwarded: 1, heard: []}, {isLeaseValid: false}));
});
