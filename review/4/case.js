/** Sends one heartbeat of another writer, whose id holds bytes that can't be read, and counts what the entries' clients lose. */
/* eslint camelcase: "off" -- the heartbeat keeps the names of the platform */
import {Agent} from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {renderConfiguration, runCase} from '../kit.js';

/** Whether the run has the disruption; TROUBLE=0 leaves it out. */
const hasTrouble = process.env.TROUBLE !== '0';

const allowedLosses = 3;
const trafficMilliseconds = 20_000;
const clientCount = 24;

const folder = path.dirname(new URL(import.meta.url).pathname);
await runCase(folder, 4, {hasTrouble, controls: 3, entries: 2}, async bed => {
	for (const [index, zone] of ['north', 'south', 'north', 'south'].entries()) {
		await bed.startUpstream({
			id: `i-${index + 1}`, service: 'stock', zone, slots: 4, work: 150,
		});
	}

	await bed.startAll(renderConfiguration(1, [{path: '/look/', type: 'safe', service: 'stock'}, {path: '/order/', type: 'unsafe', service: 'stock'}], ['stock']), '/look/1');
	if (hasTrouble) {
		const body = JSON.stringify({
			service: 'stock',
			address: '127.77.4.200:4000',
			zone: 'north',
			version: 'v1',
			slots: 4,
			state: 'ready',
			warmup_left_ms: 0,
			sequence: 1,
			born: Date.now(),
		});
		const {status} = await bed.callControl(0, 'PUT', '/-/instances/i-%01%1B9', body);
		bed.record(`heartbeat of another writer under the id i-%01%1B9: ${status}`);
	}

	const lost = [];
	const until = Date.now() + trafficMilliseconds;
	let served = 0;
	let failed = 0;
	async function runClient(number) {
		const entry = bed.entries[number % bed.entries.length];
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		for (let count = 0; Date.now() < until; count++) {
			const id = `c${number}-${count}`;
			const response = await bed.sendToEntry(entry, {
				id, method: 'POST', path: `/order/${id}`, agent, body: 'order', headers: {'Content-Length': '5'},
			});
			served += response.status === 200 ? 1 : 0;
			if (response.status !== 200) {
				failed++;
				const runner = bed.upstreams.find(({runs}) => runs.some(run => run.id === id));
				bed.record(`client ${number} at ${entry.name}: ${id}, ran at ${runner?.id}, got ${response.status} ${response.error ?? ''}`);
				// The rule counts requests on a kept connection that a sound upstream got.
				if (runner !== undefined && response.status === 0 && response.isReused) {
					lost.push(id);
				}
			}

			await delay(response.status === 200 ? 20 : 300);
		}

		agent.destroy();
	}

	await Promise.all(Array.from({length: clientCount}, async (_, number) => runClient(number)));
	const exits = bed.entries.reduce((sum, entry) => sum + entry.exits, 0);
	bed.record(`served ${served}, failed ${failed}, entry processes that ended by themselves ${exits}, answers lost ${lost.length}`);
	return lost.length > allowedLosses;
});
