/** Creates the part that a process has in the slack of extra attempts which all entries share. */
import {performance} from 'node:perf_hooks';
import {createSlackPart, type SlackPart} from '../../retry/index.js';
import {type EntrySettings} from '../../settings/index.js';

/**
 * Creates the part of this process, if the settings have a budget that all entries share.
 * @param attemptBudget - Budget of the settings.
 * @param revokeIfNeeded - Revokes the part if the lease has ended.
 */
export function createEntrySlackPart(attemptBudget: EntrySettings['attemptBudget'], revokeIfNeeded: () => void): SlackPart | undefined {
	return attemptBudget === undefined
		? undefined
		: createSlackPart({
			...attemptBudget, getTime: () => performance.now(), revokeIfNeeded,
		});
}
