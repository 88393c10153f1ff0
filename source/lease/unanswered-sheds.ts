/**
 * Sheds that an entry has reported in renewals that no grant has answered. The leader may have halved the capacity of a server for them, and
 * the entry's permits do not show it, so the next leader must learn of them.
 */
import {type Grant, type Observation} from './message.js';

/** Maximum number of renewals whose sheds are kept. */
const maximumRenewals = 64;

/** Sheds without an answer. */
export type UnansweredSheds = {
	/** Records the observations of a renewal, and adds to them how many earlier renewals with sheds were not answered. */
	addTo(sequence: number, observations: readonly Observation[]): readonly Observation[];
	/** Forgets the sheds up to the renewal of a grant that was applied, except those of the servers whose permits the entry keeps, which the grant does not change. */
	recordAnswer(grant: Pick<Grant, 'sequence' | 'permits'>): void;
};

/** Creates a record without sheds. */
export function createUnansweredSheds(): UnansweredSheds {
	const serversBySequence = new Map<number, readonly number[]>();

	function addReports(observation: Observation): Observation {
		const unansweredShedReports = [...serversBySequence.values()].filter(servers => servers.includes(observation.server)).length;
		return unansweredShedReports === 0 ? observation : {...observation, unansweredShedReports};
	}

	function setServers(sequence: number, servers: readonly number[]): void {
		if (servers.length === 0) {
			serversBySequence.delete(sequence);
		} else {
			serversBySequence.set(sequence, servers);
		}
	}

	return {
		addTo(sequence, observations) {
			const extended = observations.map(observation => addReports(observation));
			const servers = observations.filter(({sheds}) => sheds > 0).map(({server}) => server);
			setServers(sequence, servers);
			serversBySequence.delete(sequence - maximumRenewals);
			return extended;
		},
		recordAnswer(grant) {
			const kept = new Set(grant.permits.filter(({isKept}) => isKept).map(({server}) => server));
			for (const [sequence, servers] of serversBySequence) {
				if (sequence <= grant.sequence) {
					setServers(sequence, servers.filter(server => kept.has(server)));
				}
			}
		},
	};
}
