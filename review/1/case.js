/**
 * Kills a control host while it installs a snapshot, and checks whether a configuration that it helped to commit afterwards is still there
 * after all control hosts were killed. Without the disruption this kill is left out; the other kills stay.
 */
import {readdirSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {setImmediate, setTimeout as delay} from 'node:timers/promises';
import {renderConfiguration, runCase} from '../kit.js';

/** Whether the run has the disruption; TROUBLE=0 leaves it out. */
const hasTrouble = process.env.TROUBLE !== '0';

const routeCount = 700;
const configMilliseconds = 2000;
const watchMilliseconds = 15_000;
const largestChangeCount = 120;
const largestAttemptCount = 4;

const folder = path.dirname(new URL(import.meta.url).pathname);
await runCase(folder, 1, {hasTrouble, controls: 3, entries: 1}, async bed => {
	for (const [index, zone] of ['north', 'south'].entries()) {
		await bed.startUpstream({
			id: `i-${index + 1}`, service: 'stock', zone, work: 30,
		});
	}

	const routes = Array.from({length: routeCount}, (_, index) => ({path: `/look/${index}/`, type: 'safe', service: 'stock'}));
	const getRoute = version => ({
		path: '/look/', type: 'safe', service: 'stock', timeout: 1000 + version,
	});
	const getConfiguration = version => renderConfiguration(version, [getRoute(version), ...routes], ['stock']);
	const listFiles = (machine, pattern) => readdirSync(path.join(bed.getDataFolder(machine), 'log')).filter(name => pattern.test(name)).toSorted((one, other) => one.localeCompare(other));
	const getSnapshot = machine => listFiles(machine, /^snapshot-\d+\.bin$/v).at(-1);
	const getLog = machine => listFiles(machine, /^log-\d+\.bin$/v).at(-1);
	await bed.startAll(getConfiguration(1), '/look/x');
	const leader = bed.controls.findIndex(({host}) => host === bed.upstreams[0].leader);
	const first = bed.controls[leader];
	const second = bed.controls[(leader + 1) % 3];
	const third = bed.controls[(leader + 2) % 3];
	let version = 2;
	bed.record(`${first.name} leads`);

	async function change() {
		const {status} = await bed.order('PUT', '/-/config', getConfiguration(version), leader);
		bed.record(`version ${version} was answered with ${status}`);
		version++;
	}

	/** Keeps the third control host down until the others have replaced their log with a snapshot. */
	async function missSnapshot() {
		const earlier = getSnapshot(first);
		await bed.end(third, 'SIGKILL');
		bed.record(`${third.name} was killed`);
		for (let count = 0; getSnapshot(first) === earlier && count < largestChangeCount; count++) {
			await change();
		}

		await change();
		await delay(1000);
		bed.start(third, false);
		bed.record(`${third.name} starts`);
	}

	/** Kills the third control host when it has the snapshot of the leader and not yet a new log; returns whether it was killed in time. */
	async function killWithSnapshot() {
		const snapshot = getSnapshot(third);
		const log = getLog(third);
		const until = Date.now() + watchMilliseconds;
		while (getSnapshot(third) === snapshot && Date.now() < until) {
			await setImmediate();
		}

		await bed.end(third, 'SIGKILL');
		bed.record(`${third.name} was killed with ${getSnapshot(third)} and ${getLog(third)}`);
		return getSnapshot(third) !== snapshot && getLog(third) === log;
	}

	let isKilledInTime = !hasTrouble;
	await missSnapshot();
	for (let attempt = 1; !isKilledInTime; attempt++) {
		isKilledInTime = await killWithSnapshot();
		bed.start(third, false);
		bed.record(`${third.name} starts`);
		if (!isKilledInTime) {
			if (attempt === largestAttemptCount) {
				throw new Error('the control host was never killed at the right time');
			}

			await delay(3000);
			await missSnapshot();
		}
	}

	await delay(5000);
	await bed.end(second, 'SIGKILL');
	bed.record(`${second.name} was killed`);
	await delay(1000);
	const last = version;
	await change();
	await delay(500);
	await Promise.all([bed.end(first, 'SIGKILL'), bed.end(third, 'SIGKILL')]);
	bed.record(`${first.name} and ${third.name} were killed`);
	bed.start(second, false);
	bed.start(third, false);
	await delay(configMilliseconds + 1000);
	let isBroken = false;
	for (let attempt = 0; attempt < 10; attempt++) {
		const index = bed.controls.indexOf(attempt % 2 === 0 ? second : third);
		const response = await bed.callControl(index, 'GET', '/-/config');
		const read = response.status === 200 ? Number.parseInt(JSON.parse(response.body.toString()).version, 16) : undefined;
		bed.record(`${bed.controls[index].name} reads: ${response.status} ${response.error ?? ''} version ${read ?? 'none'}`);
		isBroken ||= read !== undefined && read < last;
		await delay(300);
	}

	bed.start(first, false);
	bed.record(`${first.name} starts`);
	await delay(5000);
	for (const [index, machine] of bed.controls.entries()) {
		const response = await bed.callControl(index, 'GET', '/-/config');
		bed.record(`with all three back, ${machine.name} reads: ${response.status} version ${response.status === 200 ? Number.parseInt(JSON.parse(response.body.toString()).version, 16) : 'none'}`);
	}

	return isBroken;
});
