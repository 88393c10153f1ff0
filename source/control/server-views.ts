/**
 * Views of the servers as sent to entries, ordered by revision. An entry that reports its
 * revision receives only later changes, at a cost proportional to their number.
 */
import {type ServerView} from '../lease/index.js';

const compactionSlackChanges = 64;

type Change = {readonly revision: number; readonly view: ServerView};

/** Server views ordered by revision. */
export type ServerViews = {
	/** Gets the revision of the latest change. */
	getRevision(): number;
	set(view: ServerView): void;
	get(id: number): ServerView | undefined;
	/** Gets the latest view of each server that changed after a revision. */
	getChangedSince(revision: number): readonly ServerView[];
	/** Gets the view of every server that is not removed. */
	getAll(): readonly ServerView[];
};

/** Creates an empty set of server views. */
export function createServerViews(): ServerViews {
	const newestChanges = new Map<number, Change>();
	let changeLog: Change[] = [];
	let revision = 0;

	/** Removes changes that were superseded by a later change of the same server, once the log has grown long. */
	function compactIfLong(): void {
		if (changeLog.length > (newestChanges.size * 2) + compactionSlackChanges) {
			changeLog = changeLog.filter(change => newestChanges.get(change.view.id) === change);
		}
	}

	return {
		getRevision: () => revision,
		set(view) {
			revision++;
			const change: Change = {revision, view};
			newestChanges.set(view.id, change);
			changeLog.push(change);
			compactIfLong();
		},
		get: id => newestChanges.get(id)?.view,
		getChangedSince(since) {
			const views: ServerView[] = [];
			for (let index = changeLog.length - 1; index >= 0 && changeLog[index]!.revision > since; index--) {
				const change = changeLog[index]!;
				if (newestChanges.get(change.view.id) === change) {
					views.push(change.view);
				}
			}

			return views.toReversed();
		},
		getAll: () => [...newestChanges.values()].map(change => change.view).filter(view => !view.isRemoved),
	};
}
