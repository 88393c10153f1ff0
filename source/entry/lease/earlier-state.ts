/**
 * What an entry keeps from earlier leaders while a new one does not know it: absent servers, quarantined requests and the number of
 * entries. The entry states it in its next renewals, until a grant shows that the leader has received it.
 */
import {type EarlierState, type Grant} from '../../lease/index.js';

/** Record of what the entry keeps. */
export type EarlierStateKeeper = {
	/**
	 * Records a grant before it is applied, and gets what the entry keeps while it applies the grant.
	 * @param grant - Accepted grant.
	 * @param renewedAt - Time at which the renewal was sent.
	 */
	record(grant: Grant, renewedAt: number): EarlierState | undefined;
	/** Gets what the entry keeps, or undefined if the leader of the last grant knows it. */
	get(): EarlierState | undefined;
};

/** Options of `createEarlierStateKeeper`. */
export type EarlierStateKeeperOptions = {
	/** Gets the state on which the entry acts. */
	getCurrent(): EarlierState;
	/** Gets the current time in milliseconds. */
	getTime(): number;
};

/**
 * Creates a record of nothing.
 * @param options - State of the entry, and clock.
 */
export function createEarlierStateKeeper(options: EarlierStateKeeperOptions): EarlierStateKeeper {
	let kept: EarlierState | undefined;
	let toldAt = Number.NEGATIVE_INFINITY;

	return {
		record(grant, renewedAt) {
			if (grant.keepsEarlier !== true) {
				kept = undefined;
				toldAt = renewedAt;
				return undefined;
			}

			const current = options.getCurrent();
			// However often the leader changes, no server stays absent for longer than the term by what one leader said.
			const isRecent = options.getTime() - toldAt < grant.termMilliseconds;
			kept = {...current, absent: isRecent ? current.absent : []};
			return kept;
		},
		get: () => kept,
	};
}
