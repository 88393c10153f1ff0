import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {describe, test} from 'node:test';
import {expect} from 'earl';
import {
	createDialer, createFrameReader, encodeFrame, FrameError, listenForLinks,
} from './index.js';

describe('createFrameReader', () => {
	function doTest(bytes: Buffer, chunkBytes: number, expected: readonly unknown[]): void {
		const reader = createFrameReader(1000);
		const messages: unknown[] = [];
		for (let offset = 0; offset < bytes.length; offset += chunkBytes) {
			messages.push(...reader.push(bytes.subarray(offset, offset + chunkBytes)));
		}

		expect(messages).toEqual([...expected]);
	}

	const twoFrames = Buffer.concat([encodeFrame({a: 1}), encodeFrame({b: ['x', undefined]})]);
	for (const chunkBytes of [1, 3, 7, 1000]) {
		test(`reads frames split into chunks of ${chunkBytes} bytes`, () => {
			doTest(twoFrames, chunkBytes, [{a: 1}, {b: ['x', undefined]}]);
		});
	}

	test('rejects a frame over the size limit by its header', () => {
		const header = Buffer.alloc(4);
		header.writeUInt32BE(1001);
		expect(() => createFrameReader(1000).push(header)).toThrow(FrameError);
	});
	test('rejects a payload that is not CBOR', () => {
		expect(() => createFrameReader(1000).push(Buffer.from([0, 0, 0, 2, 0xFF, 0xFF]))).toThrow(FrameError);
	});
});

describe('encodeFrame: long messages', () => {
	const routes = Array.from({length: 350}, (_, index) => ({
		name: `route-${index}`, host: 'shop.example', path: `/orders/${index}/`, timeoutMilliseconds: 800,
	}));

	test('are compressed and decoded unchanged', () => {
		const frame = encodeFrame({routes});
		expect(frame.length < JSON.stringify({routes}).length / 5).toEqual(true);
		const reader = createFrameReader();
		expect([...reader.push(frame.subarray(0, 100)), ...reader.push(frame.subarray(100)), ...reader.push(encodeFrame({a: 1}))]).toEqual([{routes}, {a: 1}]);
	});
	test('are rejected when they exceed the size limit after decompression', () => {
		const frame = encodeFrame('x'.repeat(1_000_000));
		expect(() => createFrameReader(100_000).push(frame)).toThrow(FrameError);
	});
});

describe('listenForLinks and createDialer', () => {
	async function doTest(key: string, isAccepted: boolean): Promise<void> {
		const received: unknown[] = [];
		const listener = await listenForLinks<unknown>({
			identity: {name: 'server', sharedKey: 'the shared key of both', certificates: undefined}, setting: 'links', host: '127.0.0.1', port: 0, onConnect(link) {
				link.messages.subscribe(message => {
					received.push([link.peer, message]);
					link.send({back: 1});
				});
			},
		});
		await new Promise<void>(resolve => {
			const dialer = createDialer<unknown>({
				identity: {name: 'client', sharedKey: key, certificates: undefined}, host: '127.0.0.1', port: listener.port,
				onConnect() {
					dialer.send({there: 1});
				},
				onDisconnect() {
					// Called only for a link that was open.
				},
				check: message => message,
				onFailure({error}) {
					throw error;
				},
				onMessage() {
					dialer.close();
					resolve();
				},
			});
			if (!isAccepted) {
				setTimeout(() => {
					dialer.close();
					resolve();
				}, 300);
			}
		});
		await listener.close();
		expect(received).toEqual(isAccepted ? [['client', {there: 1}]] : []);
	}

	test('carry messages in both directions with the same key', async () => doTest('the shared key of both', true));
	test('carry nothing with another key', async () => doTest('another key', false));
	test('close only the connection of a malformed handshake', async () => {
		const listener = await listenForLinks({
			identity: {name: 'server', sharedKey: 'key', certificates: undefined}, setting: 'links', host: '127.0.0.1', port: 0, onConnect() {
				throw new Error('unexpected link');
			},
		});
		await new Promise<void>(resolve => {
			const socket = connect(listener.port, '127.0.0.1');
			socket.on('data', () => {
				// Consumes the hello message of the listener.
			});
			socket.on('error', () => {
				// The listener may reset the connection.
			});
			socket.once('close', () => {
				resolve();
			});
			socket.write(Buffer.from([0xFF, 0xFF, 0xFF, 0xFF, 1, 2, 3]));
		});
		await listener.close();
	});
});
