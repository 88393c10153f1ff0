import {
	after, before, describe, test,
} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {startEntryBed, type EntryBed} from '../../stand-in/entry-bed.js';
import {type Workspace} from '../configuration/index.js';
import {defaultDialect} from '../entry/index.js';
import {getKeyDigest} from '../workspace/index.js';

const requestsPerSecond = 4;
const burst = 4;

function createWorkspace(name: string, quota?: Workspace['quota']): Workspace {
	return {name, keyDigests: [getKeyDigest(name)], ...(quota === undefined ? {} : {quota})};
}

const workspaces = [
	createWorkspace('free'),
	createWorkspace('bound', {requestsPerSecond, burst}),
	createWorkspace('declining', {requestsPerSecond, burst}),
	createWorkspace('quiet', {requestsPerSecond: 0.01, burst: 1}),
];

// Guards against quotas that no request meets: a token that is never taken, returned or asked for in the running processes.
describe('an entry and a control host with quotas', () => {
	let bed: EntryBed;

	before(async () => {
		bed = await startEntryBed({
			dialect: defaultDialect,
			access: {workspaces, key: 'free'},
			respond({socket, target, headers}) {
				const status = target.startsWith('/look/declined') ? '503 Service Unavailable\r\nguavadeck-verdict: not-run' : '200 OK';
				socket.write(`HTTP/1.1 ${status}\r\nguavadeck-request-id: ${headers['guavadeck-request-id']}\r\ncontent-length: 0\r\n\r\n`);
			},
		});
	});
	after(async () => {
		await bed.stop();
	});

	async function send(key: string, target = '/look/a', headers = ''): Promise<string> {
		return bed.connect(`GET ${target} HTTP/1.1\r\nhost: x\r\nguavadeck-key: ${key}\r\n${headers}connection: close\r\n\r\n`).waitForClose();
	}

	async function sendMany(key: string, count: number, target?: string): Promise<readonly string[]> {
		return Promise.all(Array.from({length: count}, async () => send(key, target)));
	}

	function count(texts: readonly string[], status: number): number {
		return texts.filter(text => text.startsWith(`HTTP/1.1 ${status}`)).length;
	}

	test('runs what the quota allows, and tells the others when to come back', async () => {
		const texts = await sendMany('bound', 30);
		expect(count(texts, 200) >= burst && count(texts, 200) <= burst + 2).toEqual(true);
		expect(count(texts, 200) + count(texts, 429)).toEqual(30);
		const refused = texts.find(text => text.startsWith('HTTP/1.1 429'))!;
		expect(refused.includes('guavadeck-verdict: not-run\r\nguavadeck-reason: quota\r\n') && /retry-after: [1-9]\r\n/v.test(refused)).toEqual(true);
		await delay(1500);
		expect(count(await sendMany('bound', 3), 200)).toEqual(3);
	});
	test('takes no token for a workspace without a quota', async () => {
		expect(count(await sendMany('free', 30), 200)).toEqual(30);
	});
	test('returns the token of a request that no server has run', async () => {
		const declined = await sendMany('declining', burst, '/look/declined');
		expect(count(declined, 503)).toEqual(burst);
		expect(count(await sendMany('declining', burst), 200)).toEqual(burst);
	});
	test('refuses before it reads a body', async () => {
		expect(count([await send('quiet')], 200)).toEqual(1);
		const text = await bed.connect('PUT /look/a HTTP/1.1\r\nhost: x\r\nguavadeck-key: quiet\r\nexpect: 100-continue\r\ncontent-length: 5\r\nconnection: close\r\n\r\n').waitForClose();
		expect(text.startsWith('HTTP/1.1 429')).toEqual(true);
	});
	test('refuses with 503 while no control host answers', async () => {
		await bed.stopControl();
		const startedAt = performance.now();
		const texts = await sendMany('bound', 8);
		expect(performance.now() - startedAt < 1000).toEqual(true);
		expect(texts.some(text => text.includes('guavadeck-reason: quota-unavailable'))).toEqual(true);
		expect(count(texts, 200) + count(texts, 503)).toEqual(8);
	});
});
