/** Checks a played run. */
import {type PlayedRun} from './play.js';
import {findVersionFault} from './version-history.js';
import {findZoneFault} from './zone-history.js';

/**
 * Finds what is wrong with a run; undefined if nothing is.
 * @param run - Played run.
 */
export function findFault({history, zonesOut, leases, failures}: PlayedRun): string | undefined {
	for (const zone of new Set(history.zoneReads.map(read => read.zone))) {
		const fault = findZoneFault({
			orders: history.orders.filter(order => order.zone === zone),
			reads: history.zoneReads.filter(read => read.zone === zone),
		});
		if (fault !== undefined) {
			return fault;
		}
	}

	if (failures.length > 0) {
		return `a control host ended: ${failures[0]!.message}`;
	}

	if (new Set(zonesOut.map(zones => zones.join(','))).size > 1) {
		return `the control hosts differ at the end: ${JSON.stringify(zonesOut)}`;
	}

	return leases.every(Boolean) ? findVersionFault(history.declarations, history.versionReads) : 'an entry holds no lease at the end, though the faults have ended';
}
