/**
 * Finds the workspaces that use more of their quota than the others do, and tells entries when they change. Entries keep the list between grants,
 * so it is only sent again if a process has not acknowledged the grant that carried it.
 */
import {type Grant, type Renewal} from '../lease/index.js';

/** Use of one workspace. */
export type WorkspaceUse = {readonly workspace: string; readonly use: number; readonly requestsPerSecond: number};

/** Multiple of the use of all workspaces, each as a share of its quota, from which one is above its share. */
const aboveShareFactor = 1.3;

/** Time in milliseconds for which a list is used, since each takes all workspaces. */
const listMilliseconds = 250;

/** Use of the workspaces of one environment. */
export type QuotaUse = {
	/** Gets the list for a grant, or nothing if the process knows it. */
	getChange(renewal: Renewal, getUses: () => readonly WorkspaceUse[], now: number): Pick<Grant, 'aboveShare'>;
};

/**
 * Gets the names of the workspaces above their share, sorted.
 * @param uses - Use of all workspaces with a quota.
 */
export function getAboveShare(uses: readonly WorkspaceUse[]): readonly string[] {
	const totalUse = uses.reduce((sum, {use}) => sum + use, 0);
	const totalQuota = uses.reduce((sum, {requestsPerSecond}) => sum + requestsPerSecond, 0);
	return uses.filter(({use, requestsPerSecond}) => use * totalQuota > aboveShareFactor * totalUse * requestsPerSecond).map(({workspace}) => workspace).toSorted();
}

/** Creates the use of an environment without lists. */
export function createQuotaUse(): QuotaUse {
	const sentByProcess = new Map<string, {readonly key: string; readonly sequence: number}>();
	let list: readonly string[] = [];
	let key = '';
	let listedAt = Number.NEGATIVE_INFINITY;

	return {
		getChange({process = '', sequence, acknowledged, isFinal}, getUses, now) {
			if (now >= listedAt + listMilliseconds) {
				list = getAboveShare(getUses());
				key = list.join(' ');
				listedAt = now;
			}

			if (isFinal) {
				sentByProcess.delete(process);
				return {};
			}

			const sent = sentByProcess.get(process);
			if (sent?.key === key && acknowledged >= sent.sequence) {
				return {};
			}

			if (sent?.key !== key) {
				sentByProcess.set(process, {key, sequence});
			}

			return {aboveShare: list};
		},
	};
}
