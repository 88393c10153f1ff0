import {once} from 'node:events';
import {connect, createServer, type AddressInfo} from 'node:net';
import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createTrafficMeter, type TrafficMeter} from './traffic.js';

function getSums(meter: TrafficMeter): Readonly<Record<string, number>> {
	return Object.fromEntries(meter.getTotals().map(({kind, direction, zone, bytes}) => [`${kind} ${direction} ${zone}`, bytes]));
}

describe('createTrafficMeter', () => {
	test('adds up bytes by kind, direction and zone', () => {
		const meter = createTrafficMeter('north');
		for (const zone of ['north', 'south', 'west', undefined]) {
			meter.add('lease', 'sent', zone, 10);
		}

		meter.add('claim', 'received', 'north', 3);
		expect(getSums(meter)).toEqual({
			'lease sent own': 10, 'lease sent other': 20, 'lease sent unknown': 10, 'claim received own': 3,
		});
	});

	// Guards against bytes that are counted twice, or lost, when a connection closes.
	test('counts the bytes of a connection while it is open and once it is closed', async () => {
		const meter = createTrafficMeter('north');
		const server = createServer(peer => {
			peer.on('data', () => {
				peer.write('response');
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const expected = {'request sent other': 3, 'response received other': 8};
		for (const count of [1, 2]) {
			const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
			await once(socket, 'connect');
			meter.track(socket, {sent: 'request', received: 'response'}, 'south');
			socket.write('ask');
			await once(socket, 'data');
			const sums = {'request sent other': count * expected['request sent other'], 'response received other': count * expected['response received other']};
			expect(getSums(meter)).toEqual(sums);
			socket.destroy();
			await once(socket, 'close');
			expect(getSums(meter)).toEqual(sums);
		}

		server.close();
	});
});
