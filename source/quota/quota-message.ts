/** Converts between what holders and accounts exchange and the lists that messages carry. */
import {type QuotaReport} from '../lease/index.js';
import {type HolderReport} from './holder-report.js';

/**
 * Gets the report of a holder as it is sent.
 * @param workspace - Name of the workspace.
 * @param report - Report of the holder.
 */
export function toQuotaReport(workspace: string, {granted, spent, unused, goal, earlier}: HolderReport): QuotaReport {
	return earlier === undefined ? [workspace, granted, spent, unused, goal] : [workspace, granted, spent, unused, goal, earlier];
}

/**
 * Gets the report of a holder from a message.
 * @param report - Report as it was received.
 */
export function toHolderReport([, granted, spent, unused, goal, earlier]: QuotaReport): HolderReport {
	return {
		granted, spent, unused, goal, ...(earlier === undefined ? {} : {earlier}),
	};
}
