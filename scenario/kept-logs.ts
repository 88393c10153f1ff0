/** Keeps the logs of a scenario that failed, together with its history, so that the failure can be traced. */
import {mkdirSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {type Cluster} from '../stand-in/cluster.js';
import {type Recording} from './recording.js';

/** Folder in which each scenario that failed keeps a folder of its own. */
export const failedScenariosFolder = path.join(tmpdir(), 'guavadeck-failed-scenarios');

/**
 * Stops the system of a scenario. If the scenario failed, keeps the settings, data and logs of all processes with the recorded
 * history, and prints the path of their folder.
 * @param cluster - System of the scenario.
 * @param recording - Record of the scenario.
 * @returns Path of the kept folder, or undefined if the scenario held.
 */
export async function stopCluster(cluster: Cluster, recording: Recording): Promise<string | undefined> {
	if (recording.violations.length === 0) {
		await cluster.stop();
		return undefined;
	}

	mkdirSync(failedScenariosFolder, {recursive: true});
	const keptFolder = path.join(failedScenariosFolder, `${new Date().toISOString().replaceAll(':', '-')}-${process.pid}`);
	writeFileSync(path.join(cluster.folder, 'history.json'), JSON.stringify(recording));
	await cluster.stop(keptFolder);
	process.stderr.write(`the logs of the scenario that failed are in ${keptFolder}\n`);
	return keptFolder;
}
