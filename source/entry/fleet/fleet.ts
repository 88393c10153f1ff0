/**
 * The servers that an entry may use, by service. Combines the state that the control hosts report
 * with what the entry and its peers observe.
 */
import {type ServerKey} from '../../announcement/index.js';
import {type Candidate, type SubsetChooser} from '../../choice/index.js';
import {type EnvironmentDocument} from '../../configuration/index.js';
import {
	getNextPermit, type Observation, type Permit, type ServerView,
} from '../../lease/index.js';
import {type Random} from '../../randomness/index.js';
import {createServerTable, type ConnectionEvents, type FleetServer} from './server-table.js';
import {
	createServiceState, type ExtraAttemptOptions, type MutableServiceState, type ServiceState,
} from './service-state.js';

/** The servers that an entry may send requests to. */
export type Fleet = {
	/** Applies a new environment document. */
	setDocument(document: EnvironmentDocument): void;
	/** Adds, updates and removes servers. If `isComplete` is set, servers that are not listed are removed too. */
	update(views: readonly ServerView[], isComplete: boolean): void;
	/** Removes the servers that are not listed, and marks those as present that the given views do not call absent. Returns whether all listed servers are known. */
	retain(ids: readonly number[], views: readonly ServerView[]): boolean;
	/** Gets the ids of the servers that are absent. */
	getAbsent(): readonly number[];
	/** Marks servers as absent; ignores those that are not known. */
	markAbsent(ids: readonly number[]): void;
	setPermits(permits: readonly Permit[]): void;
	/** Gets the permits for cold servers that the entry holds. */
	getPermits(): readonly Permit[];
	/** Revokes the permits for cold servers, because the lease has ended. */
	revokePermits(): void;
	/** Replaces the zones that are out of service regardless of the document. */
	setZonesOutOfService(zones: readonly string[]): void;
	/** Sets the number of entries that share each server's connections. */
	setConnectionShare(entryCount: number): void;
	getState(service: string): ServiceState | undefined;
	getStates(): Iterable<ServiceState>;
	get(id: number): FleetServer | undefined;
	/** Gets a server by its name in its service. */
	getByKey(key: ServerKey): Candidate | undefined;
	getServers(): Iterable<FleetServer>;
	getSize(): number;
	/** Returns the observations since the last call, of servers that are cold, were found to be cold or shed requests. */
	takeObservations(): readonly Observation[];
	/** Removes a server that says that it leaves from the candidates, for the rest of its boot. Returns whether this is new. */
	markLeaving(candidate: Candidate): boolean;
	/** Gets the time at which the first candidate of a service ends its pause, if all of them have asked for one. */
	getPauseEnd(service: string, now: number): number | undefined;
	/** Ejects a server that fails too often, unless the document's share of ejected servers is reached; returns whether it did. */
	ejectIfFailing(service: string, candidate: Candidate, now: number): boolean;
	close(): void;
};

/**
 * Creates a fleet without servers.
 * @param random - Source of random numbers.
 * @param extraAttempts - Limits of retries and hedges that do not come from the document.
 * @param subsetChooser - Chooser of the servers that the entry prefers to query; by default it prefers none.
 * @param events - Callbacks for the connections to servers.
 */
export function createFleet(random: Random, extraAttempts?: ExtraAttemptOptions, subsetChooser?: SubsetChooser, events?: ConnectionEvents): Fleet {
	const servers = createServerTable(events);
	const states = new Map<string, MutableServiceState>();
	const permitCapacities = new Map<number, Permit['capacity']>();
	let document: EnvironmentDocument | undefined;
	let zonesInService: ReadonlySet<string> = new Set();
	let zonesOutOfService: ReadonlySet<string> = new Set();

	function isEligible(candidate: Candidate): boolean {
		const {zone} = candidate.getAnnouncement();
		// A document without zones leaves it to the operators to take zones out of service.
		const isInService = document?.zones.length === 0 || zonesInService.has(zone);
		return isInService && !zonesOutOfService.has(zone) && !candidate.isLeaving();
	}

	/** Recomputes the candidates of one service. */
	function updateCandidates(service: string): void {
		const state = states.get(service);
		if (state === undefined) {
			return;
		}

		const candidates = [...servers.getOfService(service)].filter(candidate => isEligible(candidate));
		state.setCandidates(candidates, subsetChooser?.choose(candidates));
		for (const candidate of candidates) {
			candidate.setSlotsEnforced(state.getService().policy === 'central-queue');
			candidate.setQueriedBeforeRequests((state.getService().askedCandidates ?? 0) > 0);
		}
	}

	function getPermits(): readonly Permit[] {
		return [...servers.getAll()].map(({candidate}) => getPermit(candidate, permitCapacities.get(candidate.id))).filter(permit => permit !== undefined);
	}

	return {
		setDocument(next) {
			document = next;
			zonesInService = new Set(next.zones.filter(zone => zone.inService).map(zone => zone.name));
			const names = new Set(next.services.map(service => service.name));
			for (const service of next.services) {
				const existing = states.get(service.name);
				if (existing === undefined) {
					states.set(service.name, createServiceState(service, random, extraAttempts));
				} else {
					existing.setService(service);
				}
			}

			for (const [name, state] of states) {
				if (!names.has(name)) {
					states.delete(name);
					state.queue.close();
				}
			}

			for (const name of names) {
				updateCandidates(name);
			}
		},
		update(views, isComplete) {
			const changedServices = new Set(views.map(view => view.announcement.service));
			if (isComplete) {
				for (const service of servers.removeUnlisted(views.map(view => view.id))) {
					changedServices.add(service);
				}
			}

			for (const view of views) {
				if (view.isRemoved) {
					servers.remove(view.id);
				} else {
					servers.addOrUpdate(view);
				}
			}

			for (const service of changedServices) {
				updateCandidates(service);
			}
		},
		retain(ids, views) {
			for (const service of servers.removeUnlisted(ids)) {
				updateCandidates(service);
			}

			const absent = new Set(views.filter(view => view.isAbsent).map(view => view.id));
			for (const {candidate} of servers.getAll()) {
				candidate.update(candidate.getAnnouncement(), candidate.getState(), absent.has(candidate.id));
			}

			return servers.getSize() === ids.length;
		},
		getAbsent: () => [...servers.getAll()].map(({candidate}) => candidate).filter(candidate => candidate.isAbsent()).map(({id}) => id),
		markAbsent(ids) {
			for (const {candidate} of ids.map(id => servers.get(id)).filter(server => server !== undefined)) {
				candidate.update(candidate.getAnnouncement(), candidate.getState(), true);
			}
		},
		setPermits(permits) {
			const byServer = new Map(permits.map(permit => [permit.server, permit]));
			const earlier = new Map(getPermits().map(permit => [permit.server, permit]));
			permitCapacities.clear();
			for (const {candidate} of servers.getAll()) {
				const permit = getNextPermit(earlier.get(candidate.id), byServer.get(candidate.id));
				candidate.setPermit(permit?.slots ?? 0);
				candidate.setRate(permit?.requestsPerSecond);
				if (permit?.capacity !== undefined) {
					permitCapacities.set(candidate.id, permit.capacity);
				}
			}
		},
		getPermits,
		revokePermits() {
			permitCapacities.clear();
			for (const {candidate} of servers.getAll()) {
				candidate.revokePermits();
			}
		},
		setZonesOutOfService(zones) {
			if (zones.length === zonesOutOfService.size && zones.every(zone => zonesOutOfService.has(zone))) {
				return;
			}

			zonesOutOfService = new Set(zones);
			for (const name of states.keys()) {
				updateCandidates(name);
			}
		},
		setConnectionShare: servers.setConnectionShare,
		getState: service => states.get(service),
		getStates: () => states.values(),
		get: servers.get,
		getByKey: servers.getByKey,
		getServers: servers.getAll,
		getSize: servers.getSize,
		takeObservations() {
			const observations: Observation[] = [];
			for (const {candidate} of servers.getAll()) {
				const counts = candidate.takeCounts();
				if (candidate.isCold() || counts.isCold || counts.sheds > 0) {
					observations.push({server: candidate.id, inFlight: candidate.getInFlight(), ...counts});
				}
			}

			return observations;
		},
		markLeaving(candidate) {
			const isNew = servers.markLeaving(candidate);
			updateCandidates(candidate.getAnnouncement().service);
			return isNew;
		},
		getPauseEnd(service, now) {
			let first: number | undefined;
			for (const candidate of states.get(service)?.getCandidates() ?? []) {
				const until = candidate.getPausedUntil();
				if (until <= now) {
					return undefined;
				}

				first = Math.min(first ?? until, until);
			}

			return first;
		},
		ejectIfFailing(service, candidate, now) {
			if (document === undefined) {
				return false;
			}

			const candidates = states.get(service)?.getCandidates() ?? [];
			const ejected = candidates.filter(other => other.isEjected(now)).length;
			return ejected + 1 <= candidates.length * document.outliers.largestShare && candidate.ejectWhenFailing(document.outliers, now);
		},
		close: servers.close,
	};
}

/** Gets the permit that the entry holds for a server, with the capacity by which it was granted. */
function getPermit(candidate: Candidate, capacity: Permit['capacity']): Permit | undefined {
	const {slots, requestsPerSecond} = candidate.getPermit();
	if (requestsPerSecond !== undefined) {
		return {server: candidate.id, slots, requestsPerSecond};
	}

	const permit: Permit = {server: candidate.id, slots, ...(capacity === undefined ? {} : {capacity})};
	return slots > 0 || capacity !== undefined ? permit : undefined;
}
