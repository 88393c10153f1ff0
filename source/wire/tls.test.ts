import {once} from 'node:events';
import {connect} from 'node:net';
import {describe, test} from 'node:test';
import {expect} from 'earl';
import selfsigned from 'selfsigned';
import {
	createDialer, listenForLinks, type LinkCertificates, type LinkIdentity,
} from './index.js';

const refusalTimeoutMilliseconds = 500;

function createCertificates(name: string): LinkCertificates {
	const generated = selfsigned.generate([{name: 'commonName', value: name}], {keySize: 2048, days: 2, algorithm: 'sha256'});
	return {certificate: generated.cert, key: generated.private, authority: generated.cert};
}

const ownCertificates = createCertificates('guavadeck');
const foreignCertificates = createCertificates('elsewhere');

function createIdentity(name: string, certificates: LinkCertificates | undefined): LinkIdentity {
	return {name, sharedKey: 'the shared key of both', certificates};
}

describe('links over TLS', () => {
	async function doTest(dialerCertificates: LinkCertificates | undefined, expected: readonly string[]): Promise<void> {
		const received: string[] = [];
		const listener = await listenForLinks<string>({
			identity: createIdentity('server', ownCertificates), setting: 'links', host: '127.0.0.1', port: 0, onConnect(link) {
				link.messages.subscribe(message => {
					received.push(`${link.peer} ${message}`);
					link.send('back');
				});
			},
		});
		await new Promise<void>(resolve => {
			const timer = setTimeout(finish, refusalTimeoutMilliseconds);
			const dialer = createDialer<string>({
				identity: createIdentity('client', dialerCertificates), host: '127.0.0.1', port: listener.port,
				onConnect() {
					dialer.send('there');
				},
				check: message => message as string,
				onFailure({error}) {
					throw error;
				},
				onMessage: finish,
				onDisconnect() {
					// Called only for a link that was open.
				},
			});

			function finish(): void {
				clearTimeout(timer);
				dialer.close();
				resolve();
			}
		});
		await listener.close();
		expect(received).toEqual([...expected]);
	}

	test('carry messages with certificates of the same authority', async () => doTest(ownCertificates, ['client there']));
	test('carry nothing with a certificate of another authority', async () => doTest(foreignCertificates, []));
	test('carry nothing without TLS, even with the shared key', async () => doTest(undefined, []));
	test('close at once despite a connection that never starts the TLS handshake', {timeout: 10_000}, async () => {
		const listener = await listenForLinks({
			identity: createIdentity('server', ownCertificates), setting: 'links', host: '127.0.0.1', port: 0, onConnect() {
				throw new Error('unexpected link');
			},
		});
		const socket = connect(listener.port, '127.0.0.1');
		socket.on('error', () => {
			// The listener resets the connection.
		});
		await once(socket, 'connect');
		const startedAt = performance.now();
		await listener.close();
		expect(performance.now() - startedAt < 5000).toEqual(true);
		socket.destroy();
	});
});
