import {once} from 'node:events';
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {
	after, afterEach, before, describe, test,
} from 'node:test';
import {expect} from 'earl';
import {openLink, type Link, type LinkFault} from './link.js';

const [linkHost, targetHost, port] = ['127.0.19.1', '127.0.19.2', 27_290];
const passMilliseconds = 150;

/** What one end of a connection received: the bytes, and `|` for a close. */
type End = {readonly socket: Socket; text: string};

function watch(socket: Socket): End {
	const end: End = {socket, text: ''};
	socket.on('data', chunk => {
		end.text += String(chunk);
	});
	socket.on('error', () => undefined);
	socket.once('close', () => {
		end.text += '|';
	});
	return end;
}

describe('openLink', () => {
	const targets: End[] = [];
	let server: Server;
	let link: Link;
	before(async () => {
		server = createServer(socket => {
			targets.push(watch(socket));
		});
		server.listen(port, targetHost);
		await once(server, 'listening');
		link = await openLink({
			host: linkHost, port, targetHost, targetPort: port,
		});
	});
	after(() => {
		link.close();
		server.close();
	});
	afterEach(() => {
		link.end();
	});

	async function open(): Promise<readonly [End, End]> {
		const client = watch(connect(port, linkHost));
		await delay(passMilliseconds);
		return [client, targets.at(-1)!];
	}

	/** Sends a byte in both directions, and expects what arrives at the client and at the target in the end. */
	async function expectPassed([client, target]: readonly [End, End], atClient: string, atTarget: string): Promise<void> {
		client.socket.write('c');
		target.socket.write('t');
		await delay(passMilliseconds);
		expect([client.text, target.text]).toEqual([atClient, atTarget]);
	}

	async function doTest(fault: LinkFault, during: readonly [string, string], later: readonly [string, string], final: readonly [string, string]): Promise<void> {
		const ends = await open();
		await expectPassed(ends, 't', 'c');
		link.start(fault);
		await delay(passMilliseconds);
		await expectPassed(ends, ...during);
		const laterEnds = await open();
		await expectPassed(laterEnds, ...later);
		link.end();
		await delay(passMilliseconds);
		expect([ends[0].text, ends[1].text]).toEqual([...final]);
		ends[0].socket.destroy();
		laterEnds[0].socket.destroy();
	}

	test('tells one end of a half-open connection and not the other, and passes later ones', async () => {
		await doTest({kind: 'half-open', direction: 'to'}, ['t', 'c|'], ['t', 'c'], ['t', 'c|']);
		await doTest({kind: 'half-open', direction: 'from'}, ['t|', 'c'], ['t', 'c'], ['t|', 'c']);
	});

	test('holds what is sent on open connections, and passes later ones', async () => {
		await doTest({kind: 'hold-open', direction: 'to', closeMilliseconds: 0}, ['tt', 'c'], ['t', 'c'], ['tt', 'cc']);
	});

	test('holds what is sent on all connections', async () => {
		await doTest({kind: 'hold', direction: 'from', closeMilliseconds: 0}, ['t', 'cc'], ['', 'c'], ['tt', 'cc']);
	});

	test('discards what is sent, and resets the connections in the end', async () => {
		await doTest({kind: 'cut', direction: 'to'}, ['tt', 'c'], ['t', ''], ['tt|', 'c|']);
		await doTest({kind: 'cut', direction: 'both'}, ['t', 'c'], ['', ''], ['t|', 'c|']);
	});

	test('delays each part by the same time', async () => {
		const [client, target] = await open();
		link.start({kind: 'delay', milliseconds: 2 * passMilliseconds});
		for (const part of ['a', 'b', 'c']) {
			client.socket.write(part);
			await delay(passMilliseconds / 2);
		}

		expect(target.text).toEqual('');
		await delay(2.5 * passMilliseconds);
		expect(target.text).toEqual('abc');
		client.socket.destroy();
	});
});
