/** Kills a control host while it installs a snapshot, and checks whether a configuration that it helped to commit afterwards is still there after all control hosts were killed. */
import {readdirSync} from 'node:fs';
import path from 'node:path';
import {setImmediate, setTimeout as delay} from 'node:timers/promises';
import {hasTrouble, renderConfiguration, runCase} from '../kit.js';

const routeCount = 700;
const configMilliseconds = 2000;
const watchMilliseconds = 15_000;
const largestChangeCount = 120;

const folder = path.dirname(new URL(import.meta.url).pathname);
await runCase(folder, 1, {controls: 3, entries: 1}, async bed => {
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
	const listFiles = machine => readdirSync(path.join(bed.getDataFolder(machine), 'log'));
	const getSnapshot = machine => listFiles(machine).find(name => /^snapshot-\d+\.bin$/v.test(name));
	const getLogCount = machine => listFiles(machine).findLast(name => /^log-\d+\.bin$/v.test(name));
	await bed.startAll(getConfiguration(1), '/look/x');
	const leader = bed.controls.findIndex(({host}) => host === bed.upstreams[0].leader);
	const first = bed.controls[leader];
	const second = bed.controls[(leader + 1) % 3];
	const third = bed.controls[(leader + 2) % 3];
	bed.record(`${first.name} leads`);

	// One control host is down while the configuration changes until the others have replaced their log with a snapshot.
	await bed.end(third, 'SIGKILL');
	bed.record(`${third.name} was killed`);
	let version = 2;
	while (getSnapshot(first) === undefined && version < largestChangeCount) {
		await bed.order('PUT', '/-/config', getConfiguration(version++), leader);
	}

	await bed.order('PUT', '/-/config', getConfiguration(version++), leader);
	await delay(1000);
	const oldLog = getLogCount(third);
	bed.start(third, false);
	bed.record(`${third.name} starts`);
	if (hasTrouble) {
		const until = Date.now() + watchMilliseconds;
		while (getSnapshot(third) === undefined && Date.now() < until) {
			await setImmediate();
		}

		await bed.end(third, 'SIGKILL');
		bed.record(`${third.name} was killed while it installed ${getSnapshot(third)}; log ${getLogCount(third)}`);
		if (getSnapshot(third) === undefined || getLogCount(third) !== oldLog) {
			throw new Error('the control host was not killed at the right time');
		}

		bed.start(third, false);
		bed.record(`${third.name} starts`);
	}

	await delay(5000);
	await bed.end(second, 'SIGKILL');
	bed.record(`${second.name} was killed`);
	await delay(1000);
	const last = version;
	const {status} = await bed.order('PUT', '/-/config', getConfiguration(last), leader);
	bed.record(`version ${last} was answered with ${status}`);
	await delay(500);
	await Promise.all([bed.end(first, 'SIGKILL'), bed.end(third, 'SIGKILL')]);
	bed.record(`${first.name} and ${third.name} were killed`);
	bed.start(second, false);
	bed.start(third, false);
	await delay(configMilliseconds + 1000);
	let isBroken = false;
	for (let attempt = 0; attempt < 20; attempt++) {
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
