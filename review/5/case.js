/** Freezes a control host while an operator takes an evacuation back, and checks whether a later evacuation holds after the host is awake again. */
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {renderConfiguration, runCase} from '../kit.js';

/** Whether the run has the disruption; TROUBLE=0 leaves it out. */
const hasTrouble = process.env.TROUBLE !== '0';

const freezeMilliseconds = 5000;
const evacuateMilliseconds = 5000;
const stretchMilliseconds = 5000;
const contactMilliseconds = 3000;
const observedMilliseconds = 10_000;

const folder = path.dirname(new URL(import.meta.url).pathname);
await runCase(folder, 5, {hasTrouble, controls: 3, entries: 2}, async bed => {
	for (const [index, zone] of ['north', 'south', 'north', 'south'].entries()) {
		await bed.startUpstream({
			id: `i-${index + 1}`, service: 'stock', zone, work: 30,
		});
	}

	await bed.startAll(renderConfiguration(1, [{path: '/look/', type: 'safe', service: 'stock'}], ['stock']), '/look/1');
	let isEnded = false;
	async function runClient(number) {
		for (let count = 0; !isEnded; count++) {
			const id = `c${number}-${count}`;
			await bed.sendToEntry(bed.entries[number % 2], {id, path: `/look/${id}`});
			await delay(50);
		}
	}

	const clients = Promise.all(Array.from({length: 6}, async (_, number) => runClient(number)));
	const zonePath = '/-/evacuations/south';
	const leader = bed.controls.findIndex(({host}) => host === bed.upstreams[0].leader);
	const frozen = (leader + 1) % 3;
	const other = (leader + 2) % 3;
	bed.record(`control-${leader + 1} leads`);
	await bed.order('POST', zonePath, undefined, other);
	await delay(evacuateMilliseconds);
	const frozenAt = Date.now();
	if (hasTrouble) {
		bed.controls[frozen].child.kill('SIGSTOP');
		bed.record(`control-${frozen + 1} is frozen`);
	}

	await bed.order('DELETE', zonePath, undefined, frozen);
	await delay(1000);
	await bed.order('POST', zonePath, undefined, other);
	const evacuatedAt = Date.now();
	await delay(Math.max(0, frozenAt + freezeMilliseconds - Date.now()));
	if (hasTrouble) {
		bed.controls[frozen].child.kill('SIGCONT');
		bed.record(`control-${frozen + 1} is awake`);
	}

	const from = Math.max(evacuatedAt + evacuateMilliseconds + stretchMilliseconds, Date.now() + contactMilliseconds);
	await delay(from + observedMilliseconds - Date.now());
	isEnded = true;
	await clients;
	const south = bed.upstreams.filter(({zone}) => zone === 'south').flatMap(({runs}) => runs.filter(({at}) => at > from)).length;
	const north = bed.upstreams.filter(({zone}) => zone === 'north').flatMap(({runs}) => runs.filter(({at}) => at > from)).length;
	bed.record(`requests in the last ${observedMilliseconds} ms: ${north} at upstreams in the zone north, ${south} in the evacuated zone south`);
	return south > 0;
});
