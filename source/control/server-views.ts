/**
 * The servers as entries see them, in the order in which they changed: an entry that
 * names its revision gets only what changed since, at the cost of just that.
 */
import {type ServerView} from '../lease/index.js';

const spareLogLength = 64;

type Change = {readonly revision: number; readonly view: ServerView};

/** Views of servers by revision. */
export type ServerViews = {
	/** Gets the number of the newest change. */
	getRevision(): number;
	put(view: ServerView): void;
	get(id: number): ServerView | undefined;
	/** Gets the newest view of each server that changed after a revision. */
	getSince(revision: number): readonly ServerView[];
	/** Gets the view of every server that is not removed. */
	getWhole(): readonly ServerView[];
};

/** Creates views without servers. */
export function createServerViews(): ServerViews {
	const newest = new Map<number, Change>();
	let log: Change[] = [];
	let revision = 0;

	/** Drops changes that newer ones of the same server have replaced. */
	function compactWhenLong(): void {
		if (log.length > (newest.size * 2) + spareLogLength) {
			log = log.filter(change => newest.get(change.view.id) === change);
		}
	}

	return {
		getRevision: () => revision,
		put(view) {
			revision++;
			const change: Change = {revision, view};
			newest.set(view.id, change);
			log.push(change);
			compactWhenLong();
		},
		get: id => newest.get(id)?.view,
		getSince(since) {
			const views: ServerView[] = [];
			for (let index = log.length - 1; index >= 0 && log[index]!.revision > since; index--) {
				const change = log[index]!;
				if (newest.get(change.view.id) === change) {
					views.push(change.view);
				}
			}

			return views.toReversed();
		},
		getWhole: () => [...newest.values()].map(change => change.view).filter(view => !view.isRemoved),
	};
}
