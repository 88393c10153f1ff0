/** Waits for something to become so. */
import {setTimeout as delay} from 'node:timers/promises';

const pollMilliseconds = 20;

/**
 * Waits until something is so.
 * @param what - What is waited for, for the error.
 * @param milliseconds - Longest wait.
 * @param isTrue - Checks it.
 */
export async function waitUntil(what: string, milliseconds: number, isTrue: () => Promise<boolean>): Promise<void> {
	const until = Date.now() + milliseconds;
	while (!await isTrue()) {
		if (Date.now() > until) {
			throw new Error(`after ${milliseconds} ms it is not so that ${what}`);
		}

		await delay(pollMilliseconds);
	}
}
