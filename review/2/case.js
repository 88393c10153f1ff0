/** Spoils one byte in the head of two in a hundred answers of half of the upstreams, and counts what the entries' clients lose. */
import {Agent} from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {renderConfiguration, runCase} from '../kit.js';

/** Whether the run has the disruption; TROUBLE=0 leaves it out. */
const hasTrouble = process.env.TROUBLE !== '0';

/** The largest share of lost answers that the rule allows. */
const allowedLosses = 3;
const trafficMilliseconds = 10_000;
const troubleMilliseconds = 5000;
const clientCount = 24;

const folder = path.dirname(new URL(import.meta.url).pathname);
await runCase(folder, 2, {hasTrouble, controls: 3, entries: 2}, async bed => {
	let spoilsUntil = 0;
	let answered = 0;
	let spoiledCount = 0;
	const soundUpstreams = new Set(['i-3', 'i-4']);

	/** While the disruption lasts, sends every fiftieth answer with a space in place of a hyphen in the name of a header. */
	function spoil({request, upstream}) {
		answered++;
		if (Date.now() > spoilsUntil || answered % 50 !== 0) {
			return false;
		}

		const id = request.headers['request-id'];
		const body = `answer to ${id} by ${upstream.id}`;
		spoiledCount++;
		bed.record(`${upstream.id} spoils its answer to ${id}`);
		request.socket.end(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nUpstream Signature: sig.${upstream.id}.${id}\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
		return true;
	}

	for (const [index, zone] of ['north', 'south', 'north', 'south'].entries()) {
		await bed.startUpstream({
			id: `i-${index + 1}`, service: 'stock', zone, slots: 12, work: 150, ...(index < 2 ? {respond: spoil} : {}),
		});
	}

	await bed.startAll(renderConfiguration(1, [{path: '/look/', type: 'safe', service: 'stock'}, {path: '/order/', type: 'unsafe', service: 'stock'}], ['stock']), '/look/1');
	spoilsUntil = hasTrouble ? Date.now() + troubleMilliseconds : 0;
	const lost = [];
	const until = Date.now() + trafficMilliseconds;
	let served = 0;

	/** Sends orders one after the other on a kept connection. */
	async function runClient(number) {
		const entry = bed.entries[number % bed.entries.length];
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		for (let count = 0; Date.now() < until; count++) {
			const id = `c${number}-${count}`;
			const response = await bed.sendToEntry(entry, {
				id, method: 'POST', path: `/order/${id}`, agent, body: 'order', headers: {'Content-Length': '5'},
			});
			served += response.status === 200 ? 1 : 0;
			const runner = bed.upstreams.find(({runs}) => runs.some(run => run.id === id));
			// The rule counts requests on a kept connection that a sound upstream got.
			if (response.status === 0 && response.isReused && soundUpstreams.has(runner?.id)) {
				lost.push(id);
				bed.record(`client ${number} at ${entry.name}: ${id}, which ran at ${runner.id}, got no answer (${response.error})`);
			}

			await delay(response.status === 200 ? 20 : 300);
		}

		agent.destroy();
	}

	await Promise.all(Array.from({length: clientCount}, async (_, number) => runClient(number)));
	const exits = bed.entries.reduce((sum, entry) => sum + entry.exits, 0);
	bed.record(`served ${served}, spoiled answers ${spoiledCount}, entry processes that ended by themselves ${exits}, answers lost with them ${lost.length}`);
	return lost.length > allowedLosses;
});
