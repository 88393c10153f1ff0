/**
 * Delays one withdrawal of an evacuation on its way to a control host until its sender has given up and the zone's evacuation was
 * acknowledged, and checks that no request reaches the zone later than the bound.
 */
import net from 'node:net';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {
	bounds, callOnce, renderConfiguration, runCase, sendRequest, startServer, startSystem, waitUntil,
} from '../kit-2.js';

/** Time for which the link is cut, as in the site file. */
const cutMilliseconds = 5500;

/** Time between the delivery of a call and that of its sender's close. */
const closeDelayMilliseconds = 50;

const requestIntervalMilliseconds = 20;
const watchMilliseconds = 3000;

/** Starts a link to a control host that holds what a sender sends while it is cut. The close follows the data after a delay. */
async function startLink(host, port) {
	let healed = Promise.resolve();
	const server = net.createServer({allowHalfOpen: true}, socket => {
		const target = net.connect({host, port});
		for (const peer of [socket, target]) {
			peer.on('error', () => undefined);
		}

		socket.on('data', async data => {
			await healed;
			target.write(data);
		});
		socket.on('close', async () => {
			await healed;
			await delay(closeDelayMilliseconds);
			target.destroy();
		});
		target.on('data', data => {
			if (!socket.destroyed) {
				socket.write(data);
			}
		});
		target.on('close', () => socket.destroy());
	});
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		port: server.address().port,
		cut() {
			healed = delay(cutMilliseconds);
		},
		close() {
			server.close();
		},
	};
}

await runCase(path.dirname(fileURLToPath(import.meta.url)), async ({record, isTroubled, cleanUps}) => {
	const system = await startSystem({subnet: 69});
	cleanUps.push(system.stop);
	const [entry] = system.entries;
	const [receiver, other] = system.controls;
	await system.order('PUT', '/-/config', renderConfiguration(16, {rules: [{prefix: '/look/'}]}));
	const servers = [];
	for (const [index, zone] of ['west', 'west', 'south', 'south'].entries()) {
		const server = await startServer({id: `i-${index}`, host: `127.0.71.${index + 1}`, zone});
		cleanUps.push(server.stop);
		await server.beat(system);
		server.keepBeating(system);
		servers.push(server);
	}

	await waitUntil(async () => {
		const {status} = await sendRequest(system, entry, {id: `warm-${servers[0].runs.length}`, target: '/look/warm'});
		const isReady = await system.isReady(entry);
		return status === 200 && isReady;
	}, 'a first request');
	await delay(bounds.contact_ms);

	let sent = 0;
	const timer = setInterval(async () => {
		const id = `request-${sent++}`;
		await sendRequest(system, entry, {id, target: `/look/${id}`});
	}, requestIntervalMilliseconds);
	cleanUps.push(() => clearInterval(timer));

	const link = await startLink(receiver.host, system.ports.control);
	cleanUps.push(link.close);
	const target = '/-/evacuations/south';
	if (isTroubled) {
		record.write(`link from the operator to ${receiver.name}: cut for ${cutMilliseconds} ms`);
		link.cut();
	}

	const cutAt = Date.now();
	const withdrawal = await callOnce({
		host: '127.0.0.1', port: link.port, method: 'DELETE', target, patience: 1000,
	});
	record.write(`operator: DELETE ${target} to ${receiver.name}: ${withdrawal.status === 0 ? 'no answer within 1 s; given up, not sent again' : withdrawal.status}`);
	const evacuation = await callOnce({
		host: other.host, port: system.ports.control, method: 'POST', target, patience: 1000,
	});
	const acknowledgedAt = Date.now();
	record.write(`operator: POST ${target} to ${other.name}: ${evacuation.status}`);
	if (evacuation.status !== 200) {
		throw new Error('the evacuation was not acknowledged');
	}

	await delay(Math.max(0, cutAt + cutMilliseconds - Date.now()));
	record.write(`link: ${isTroubled ? 'healed' : 'was never cut'}`);
	await delay(Math.max(0, acknowledgedAt + bounds.evacuate_ms + watchMilliseconds - Date.now()));
	clearInterval(timer);
	const runs = servers.filter(({zone}) => zone === 'south').flatMap(server => server.runs).map(({at, id}) => ({at: at - acknowledgedAt, id})).toSorted((left, right) => left.at - right.at);
	const late = runs.filter(({at}) => at > bounds.evacuate_ms);
	const early = runs.findLast(({at}) => at < cutMilliseconds - 2000);
	record.write(`last request at the zone before the link healed: ${early?.at} ms after the acknowledgement; requests sent in all: ${sent}`);
	for (const {at, id} of late.slice(0, 40)) {
		record.write(`server of south: ran ${id} ${at} ms after the acknowledgement`);
	}

	return late.length === 0 ? undefined : `EVAC: ${late.length} requests reached the zone later than ${bounds.evacuate_ms} ms after its evacuation was acknowledged; nobody took it back since`;
});
