import {once} from 'node:events';
import {connect} from 'node:net';
import {describe, test} from 'node:test';
import {expect} from 'earl';
import selfsigned from 'selfsigned';
import {
	createDialer, listenForLinks, type LinkCertificates, type LinkIdentity,
} from './index.js';

const refusedMilliseconds = 500;

function createCertificates(name: string): LinkCertificates {
	const made = selfsigned.generate([{name: 'commonName', value: name}], {keySize: 2048, days: 2, algorithm: 'sha256'});
	return {certificate: made.cert, key: made.private, authority: made.cert};
}

const own = createCertificates('guavadeck');
const foreign = createCertificates('elsewhere');

function identify(name: string, certificates: LinkCertificates | undefined): LinkIdentity {
	return {name, sharedKey: 'the shared key of both', certificates};
}

describe('links over TLS', () => {
	async function doTest(dialing: LinkCertificates | undefined, expected: readonly string[]): Promise<void> {
		const received: string[] = [];
		const listener = await listenForLinks<string>({
			identity: identify('server', own), setting: 'links', host: '127.0.0.1', port: 0, opened(link) {
				link.messages.subscribe(message => {
					received.push(`${link.peer} ${message}`);
					link.send('back');
				});
			},
		});
		await new Promise<void>(resolve => {
			const timer = setTimeout(end, refusedMilliseconds);
			const dialer = createDialer<string>({
				identity: identify('client', dialing), host: '127.0.0.1', port: listener.port,
				opened() {
					dialer.send('there');
				},
				received: end,
				closed() {
					// Only a break after the handshake is told.
				},
			});

			function end(): void {
				clearTimeout(timer);
				dialer.close();
				resolve();
			}
		});
		await listener.close();
		expect(received).toEqual([...expected]);
	}

	test('carry messages under certificates of one authority', async () => doTest(own, ['client there']));
	test('carry nothing under a certificate of another authority', async () => doTest(foreign, []));
	test('carry nothing without TLS, even under the shared key', async () => doTest(undefined, []));
	test('stop at once beside a connection that never shakes hands', {timeout: 10_000}, async () => {
		const listener = await listenForLinks({
			identity: identify('server', own), setting: 'links', host: '127.0.0.1', port: 0, opened() {
				throw new Error('nothing may open');
			},
		});
		const socket = connect(listener.port, '127.0.0.1');
		socket.on('error', () => {
			// The listener resets it.
		});
		await once(socket, 'connect');
		const startedAt = performance.now();
		await listener.close();
		expect(performance.now() - startedAt < 5000).toEqual(true);
		socket.destroy();
	});
});
