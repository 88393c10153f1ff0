/** Violations of rules, and the times in which rules bind less since something was disturbed. */
import {type History} from './history.js';

/** Longest extension of the bounds of evacuations and versions while the control hosts are disturbed (`max_stretch_ms`). */
export const stretchMilliseconds = 5000;

/** Time without a disturbance after which a machine is in touch (`contact_ms`). */
export const contactMilliseconds = 3000;

/** Violation of a rule, with the request that shows it. */
export type Violation = {readonly rule: 'EVAC' | 'MIXED' | 'TWICE' | 'REFUSED' | 'CONFIG' | 'ACKS' | 'RECOVER' | 'DRAIN' | 'BUDGET' | 'LOST'; readonly at: number; readonly text: string};

/**
 * Checks whether a disturbance touched the last `contactMilliseconds`.
 * @param history - History of the run.
 * @param at - Time.
 * @param scope - Scope of the disturbance.
 * @param name - Name of the machine or upstream; any if undefined.
 */
export function isDisturbed({disturbances}: History, at: number, scope: 'core' | 'entry' | 'path', name?: string): boolean {
	return disturbances.some(disturbance => disturbance.scope === scope && (name === undefined || disturbance.name === name)
		&& disturbance.from <= at && (disturbance.to ?? Infinity) >= at - contactMilliseconds);
}
