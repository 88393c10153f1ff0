/**
 * Sends configurations in which a tool has cut a route's name in the middle of a character, then restarts the control hosts in turn,
 * and checks that each comes up and that the acknowledged configuration can be read.
 */
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {
	bounds, renderConfiguration, runCase, startSystem,
} from '../kit-2.js';

/** Routes of a configuration, as many as a large one of the site file has. */
const routeCount = 350;

/** Versions that are sent before the first restart, and after each one. A host writes a snapshot after 16 MiB of changes. */
const earlierVersions = 200;

/** Pause between two restarts: the hosts are back for longer than the time after which they no longer count as lost. */
const restartGapMilliseconds = 5000;

/** How often the platform starts a process again that ended by itself, and the pause before. */
const maximumStarts = 3;
const startPauseMilliseconds = 500;

const wholeName = 'kit-sale-🎉';

/** The name as a tool leaves it that cuts texts to ten UTF-16 units: half of the last character is missing. */
const cutName = wholeName.slice(0, 10);

function renderVersion(version, name) {
	const configuration = JSON.parse(renderConfiguration(version, {rules: Array.from({length: routeCount}, (_, index) => ({prefix: `/r${index}/`}))}));
	configuration.listeners[0].rules[0].name = name;
	return JSON.stringify(configuration);
}

await runCase(path.dirname(fileURLToPath(import.meta.url)), async ({record, isTroubled, cleanUps}) => {
	const system = await startSystem({entries: 1, subnet: 65});
	cleanUps.push(system.stop);
	let version = 16;
	let acknowledged;

	/** Sends versions to the hosts in turn; a call that is not answered is sent to the other hosts, as the operator does. */
	async function change(count) {
		for (let index = 0; index < count; index++) {
			version++;
			const {status} = await system.order('PUT', '/-/config', renderVersion(version, isTroubled ? cutName : wholeName), version);
			acknowledged = status === 200 ? version : acknowledged;
			if (index === 0 || status !== 200) {
				record.write(`operator: version ${version} with the name ${JSON.stringify(isTroubled ? cutName : wholeName)}: ${status}`);
			}

			if (status >= 400 && status < 500) {
				return;
			}
		}
	}

	async function readBack() {
		const {status, text} = await system.order('GET', '/-/config');
		return status === 200 ? Number.parseInt(JSON.parse(text).version, 16) : undefined;
	}

	/** Waits for the leader that the logs name last. */
	function getLeader() {
		const elections = system.controls.map(control => ({control, at: system.readLog(control).split('\n').findLast(line => /"role":"leader"/v.test(line))}));
		return elections.filter(({at}) => at !== undefined).toSorted((left, right) => getTime(left.at) - getTime(right.at)).at(-1)?.control;
	}

	/** Starts a host again until it stays up; returns how often it ended by itself. */
	async function startUntilUp(control) {
		for (let ends = 0; ends < maximumStarts; ends++) {
			system.start(control);
			await delay(startPauseMilliseconds * 4);
			if (control.exit === undefined) {
				return ends;
			}

			const reason = system.readLog(control).split('\n').findLast(line => line.startsWith('Error:'));
			record.write(`${control.name} ended by itself after its start: exit ${control.exit}; ${reason}`);
			await delay(startPauseMilliseconds);
		}

		return maximumStarts;
	}

	await change(earlierVersions);
	if (acknowledged === undefined) {
		record.write('the configurations were refused; none is in force');
		return undefined;
	}

	record.write(`read back: version ${await readBack()}`);
	await delay(bounds.contact_ms);
	let down = 0;
	for (let turn = 0; turn < 2 && down < 2; turn++) {
		const control = getLeader() ?? system.controls[turn];
		record.write(`SIGTERM to ${control.name}, and start again`);
		await system.end(control, 'SIGTERM');
		record.write(`${control.name} ended after SIGTERM: ${control.exit}`);
		down += await startUntilUp(control) === maximumStarts ? 1 : 0;
		await delay(restartGapMilliseconds);
		if (down < 2) {
			await change(earlierVersions);
		}
	}

	record.write(`processes: ${system.controls.map(({name, exit}) => `${name} ${exit === undefined ? 'runs' : `has ended (${exit})`}`).join(', ')}`);
	const read = await readBack();
	record.write(`read back: ${read === undefined ? 'no answer but 5xx for 20 s' : `version ${read}`}; newest acknowledged: ${acknowledged}`);
	if (read === undefined || read < acknowledged) {
		return `CONFIG: the acknowledged configuration (version ${acknowledged}) ${read === undefined ? 'does not come' : `is read as version ${read}`}; ${down} of 3 control hosts end by themselves at each start`;
	}

	return down > 0 ? `${down} of 3 control hosts end by themselves at each start` : undefined;
});

function getTime(line) {
	return Date.parse(JSON.parse(line).time);
}
