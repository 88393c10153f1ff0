/** Versions of the configuration, which operators put beside everything else. A version allows one path more than the one before, which shows whether it is in force. */
import {setTimeout as delay} from 'node:timers/promises';
import {type Random} from '../source/randomness/index.js';
import {renderConfiguration} from '../stand-in/platform/configuration.js';
import {type History} from './history.js';
import {type Operator} from './operator.js';

const firstNumber = 3;
const maximumStep = 3;
const recentVersions = 3;
const readIntervalMilliseconds = 400;

/**
 * Gets the path that a version and all later ones allow.
 * @param number - Number of the version.
 */
export function getMarkerPath(number: number): string {
	return `/version/${number}/`;
}

/**
 * Chooses one of the last versions that were put, or none.
 * @param history - History of the run.
 * @param random - Source of random numbers.
 */
export function chooseRecentVersion({versions}: History, random: Random): number | undefined {
	// The first version is the one with which the run starts.
	const recent = versions.slice(1).slice(-recentVersions);
	return recent[Math.floor(random() * recent.length)]?.number;
}

/**
 * Puts the next version, and returns when it is acknowledged, refused or given up.
 * @param operator - Operator that puts it.
 * @param history - History of the run.
 * @param random - Source of random numbers.
 */
export async function putNextVersion(operator: Operator, history: History, random: Random): Promise<void> {
	const numbers = history.versions.map(version => version.number);
	const number = numbers.length === 0 ? firstNumber : Math.max(...numbers) + 1 + Math.floor(random() * maximumStep);
	const markers = [...numbers, number].map(marker => ({path: getMarkerPath(marker), type: 'safe'} as const));
	await operator.configure(number, renderConfiguration(number, [{path: '/look/', type: 'safe'}, {path: '/order/', type: 'unsafe'}, ...markers]));
}

/**
 * Reads the configuration at random control hosts again and again.
 * @param operator - Operator that reads it.
 * @param isOver - Checks whether to stop.
 */
export async function readVersions(operator: Operator, isOver: () => boolean): Promise<void> {
	while (!isOver()) {
		await operator.read();
		await delay(readIntervalMilliseconds);
	}
}
