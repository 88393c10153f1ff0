/** Takes the keys away from connected clients until none is left, and checks that no request runs without a key that is held. */
/* eslint camelcase: off -- Wire messages keep the names of the protocol. */
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {
	bounds, callOnce, renderConfiguration, runCase, startServer, startSystem, waitUntil,
} from '../kit-2.js';

const requestCount = 20;

/** Pause between two revocations, as in the site file. */
const revocationGapMilliseconds = 1500;

const tenants = [{name: 't-one', api_keys: ['key-one']}, {name: 't-two', api_keys: ['key-two']}];

function renderTenants(version, held) {
	const configuration = JSON.parse(renderConfiguration(version, {rules: [{prefix: '/look/'}]}));
	return JSON.stringify({...configuration, tenants: held});
}

await runCase(path.dirname(fileURLToPath(import.meta.url)), async ({record, isTroubled, cleanUps}) => {
	const system = await startSystem({subnet: 61});
	cleanUps.push(system.stop);
	const [entry] = system.entries;

	async function change(version, held) {
		const {status} = await system.order('PUT', '/-/config', renderTenants(version, held));
		record.write(`operator: version ${version} with the tenants ${JSON.stringify(held)}: ${status}`);
		if (status !== 200) {
			throw new Error(`version ${version} was not acknowledged`);
		}
	}

	async function send(id, key) {
		const {status} = await callOnce({
			host: entry.host, port: system.ports.front, method: 'GET', target: `/look/${id}`, patience: 2000, headers: {
				host: 'shop.example', 'request-id': id, 'deadline-ms': '1000', credential: key,
			},
		});
		return status;
	}

	await change(16, tenants);
	const server = await startServer({id: 'i-one', host: '127.0.63.1'});
	cleanUps.push(server.stop);
	await server.beat(system);
	server.keepBeating(system);
	await waitUntil(async () => await system.isReady(entry) && await send('warm', 'key-one') === 200, 'a first request');
	record.write(`client: key-one: ${await send('held', 'key-one')}, a key that was never held: ${await send('never', 'key-never')}`);
	await change(17, tenants.slice(0, 1));
	await delay(revocationGapMilliseconds);
	if (isTroubled) {
		await change(18, []);
	}

	await delay(bounds.config_ms + 500);
	server.runs.length = 0;
	const statuses = {};
	for (let index = 0; index < requestCount; index++) {
		for (const key of ['key-never', 'key-two', ...(isTroubled ? ['key-one'] : [])]) {
			const status = await send(`${key}-${index}`, key);
			statuses[`${key}: ${status}`] = (statuses[`${key}: ${status}`] ?? 0) + 1;
		}
	}

	record.write(`client: answers by key: ${JSON.stringify(statuses)}`);
	for (const {id, headers} of server.runs) {
		record.write(`server: ran ${id}; credential passed on: ${headers.credential ?? 'none'}, tenant: ${headers.tenant ?? 'none'}`);
	}

	const ran = server.runs.filter(({id}) => id.startsWith('key-never')).length;
	const passedOn = server.runs.filter(({headers}) => headers.credential !== undefined).length;
	return server.runs.length === 0
		? undefined
		: `ROUTE: ${ran} requests ran with a key that no configuration ever held (${server.runs.length} with keys that are not held; UNASKED: ${passedOn} with the key passed on)`;
});
