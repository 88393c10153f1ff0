import {describe, test} from 'node:test';
import {expect} from 'earl';
import {announcementSchema, type Announcement} from '../../announcement/index.js';
import {documentSchema} from '../../configuration/index.js';
import {type ControlClient} from '../../control-client/index.js';
import {type ControlRequest} from '../../control/message.js';
import {createRandom} from '../../randomness/index.js';
import {createAnnouncementHandler} from './announcement-handler.js';
import {createFleet} from './fleet.js';

function createAnnouncement(changes: Partial<Announcement> = {}): Announcement {
	return announcementSchema.parse({
		service: 'stock', name: 'one', host: '127.0.0.1', port: 1, zone: 'north', slots: 4, connections: 100, boot: 'first', state: 'warm', ...changes,
	});
}

describe('createAnnouncementHandler', () => {
	type Expected = {readonly forwarded: number; readonly unchanged: readonly number[]};

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
			id: 5, announcement: createAnnouncement(), state: 'warm', isAbsent: options.isAbsent ?? false, isRemoved: false,
		}], true);
		const handler = createAnnouncementHandler({fleet, getClient: () => client as ControlClient, isLeaseValid: () => options.isLeaseValid ?? true});
		for (const announcement of announcements) {
			const answer = await handler.handle(announcement);
			expect(answer.kind).toEqual('announced');
		}

		expect({forwarded: requests.length, unchanged: handler.takeUnchangedServers()}).toEqual({...expected, unchanged: [...expected.unchanged]});
		expect(handler.takeUnchangedServers()).toEqual([]);
		fleet.close();
	}

	test('records a server whose announcement is unchanged once for each renewal', async () => doTest([createAnnouncement(), createAnnouncement({load: 3})], {forwarded: 0, unchanged: [5]}));
	test('forwards the announcement of an unknown server', async () => doTest([createAnnouncement({name: 'two'})], {forwarded: 1, unchanged: []}));
	test('forwards a new boot', async () => doTest([createAnnouncement({boot: 'second'})], {forwarded: 1, unchanged: []}));
	test('forwards a departure', async () => doTest([createAnnouncement({state: 'leaving'})], {forwarded: 1, unchanged: []}));
	test('forwards a lower number of slots', async () => doTest([createAnnouncement({slots: 2})], {forwarded: 1, unchanged: []}));
	test('forwards the announcement of a server that was absent', async () => doTest([createAnnouncement()], {forwarded: 1, unchanged: []}, {isAbsent: true}));
	test('forwards every announcement while its lease is not valid', async () => doTest([createAnnouncement()], {forwarded: 1, unchanged: []}, {isLeaseValid: false}));
});
