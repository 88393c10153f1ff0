import {once} from 'node:events';
import {createServer, request as startRequest, type IncomingMessage} from 'node:http';
import {type AddressInfo} from 'node:net';
import {describe, test} from 'node:test';
import {expect} from 'earl';
import {getSender} from './http.js';

describe('getSender', () => {
	test('gets the address and port that the caller has at its end of the connection', async () => {
		const server = createServer();
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as AddressInfo;
		const call = startRequest({host: '127.0.0.1', port, agent: false});
		call.on('error', () => {
			// The call ends without a response.
		});
		call.end();
		const [request] = await once(server, 'request') as [IncomingMessage];
		expect(getSender(request)).toEqual(`127.0.0.1:${call.socket!.localPort}`);
		call.destroy();
		server.close();
	});
});
