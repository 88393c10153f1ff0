/** Waits by polling until a condition is met. */
import {setTimeout as delay} from 'node:timers/promises';

const pollIntervalMilliseconds = 20;

/**
 * Waits until a condition is met, and throws if it is not met in time.
 * @param condition - Description of the condition for the error message, such as `there is a leader`.
 * @param timeoutMilliseconds - Maximum wait.
 * @param isMet - Checks whether the condition is met.
 */
export async function waitUntil(condition: string, timeoutMilliseconds: number, isMet: () => Promise<boolean>): Promise<void> {
	const deadlineAt = Date.now() + timeoutMilliseconds;
	while (!await isMet()) {
		if (Date.now() > deadlineAt) {
			throw new Error(`timed out after ${timeoutMilliseconds} ms waiting until ${condition}`);
		}

		await delay(pollIntervalMilliseconds);
	}
}
