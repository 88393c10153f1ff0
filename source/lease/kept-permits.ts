/**
 * Permits that an entry keeps when the leader changes. The new leader does not know what the entry holds at the time at which the grant
 * arrives, so the entry applies the grant to what it holds then: it never raises a permit, and keeps nothing if its lease has ended in between.
 */
import {type Grant, type Permit} from './message.js';

/**
 * Gets the permit that an entry has after a grant.
 * @param current - Permit that it holds.
 * @param granted - Permit of the grant.
 */
export function getNextPermit(current: Permit | undefined, granted: Permit | undefined): Permit | undefined {
	if (granted?.isKept !== true) {
		return granted;
	}

	return current === undefined ? undefined : {...current, slots: Math.min(current.slots, granted.slots)};
}

/**
 * Removes what an entry would keep from its earlier lease, because that has ended.
 * @param grant - Grant of a new leader.
 */
export function withoutKeptPermits(grant: Grant): Grant {
	return {
		...grant,
		permits: grant.permits.filter(permit => permit.isKept !== true),
		slack: grant.slack?.isKept === true ? undefined : grant.slack,
	};
}
