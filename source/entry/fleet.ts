/**
 * The servers that an entry may use, by service. Combines the state that the control hosts report
 * with what the entry and its peers observe.
 */
import {getServerKey, type ServerKey} from '../announcement/index.js';
import {
	createCandidate, createChooser, type Candidate, type Chooser, type SubsetChooser,
} from '../choice/index.js';
import {type EnvironmentDocument, type Service} from '../configuration/index.js';
import {type Observation, type Permit, type ServerView} from '../lease/index.js';
import {
	createShortageEstimate, createWaitQueue, type ShortageEstimate, type WaitQueue,
} from '../limits/index.js';
import {type Random} from '../randomness/index.js';
import {
	createAttemptBudget, createHedgeDelay, defaultHedgeDelayMilliseconds, type AttemptBudget, type HedgeDelay,
} from '../retry/index.js';
import {type ConnectionHistory} from './connection-history.js';
import {createPool, type Pool} from './pool.js';
import {createRecentSet} from './recent-set.js';

const initialRetryBalance = 10;
const initialHedgeDelayMilliseconds = 50;
const hedgeQuantile = 0.95;

/** A server with its connection pool. */
export type FleetServer = {readonly candidate: Candidate; readonly pool: Pool};

/** State that an entry keeps for one service. */
export type ServiceState = {
	getService(): Service;
	readonly queue: WaitQueue;
	readonly shortageEstimate: ShortageEstimate;
	readonly retries: AttemptBudget;
	readonly hedges: AttemptBudget;
	readonly hedgeDelay: HedgeDelay;
	getChooser(): Chooser;
	getCandidates(): readonly Candidate[];
	/** Gets the ids of the servers in the own zone that the entry prefers to query; undefined if it prefers none. */
	getSubset(): ReadonlySet<number> | undefined;
};

/** The servers that an entry may send requests to. */
export type Fleet = {
	/** Applies a new environment document. */
	setDocument(document: EnvironmentDocument): void;
	/** Adds, updates and removes servers. If `isComplete` is set, servers that are not listed are removed too. */
	update(views: readonly ServerView[], isComplete: boolean): void;
	/** Removes the servers that are not listed, and marks those as present that the given views do not call absent. Returns whether all listed servers are known. */
	retain(ids: readonly number[], views: readonly ServerView[]): boolean;
	setPermits(permits: readonly Permit[], now: number): void;
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

type MutableState = ServiceState & {
	setService(service: Service): void;
	setCandidates(candidates: readonly Candidate[], subset: ReadonlySet<number> | undefined): void;
};

/** Budget of extra attempts that this entry may make for each service: a ratio of its requests, and its part of a slack that all entries share. */
export type SharedBudgetOptions = {readonly ratio: number; getSlack(): number};

/** Share of the permitted extra attempts that an entry uses; the margin is needed because each entry counts its windows independently. */
const usedBudgetShare = 0.85;

/** Number of boots that are remembered as leaving; a list of servers may name them again. */
const maximumLeavingBoots = 10_000;

function createSharedBudget(budgetOptions: SharedBudgetOptions): AttemptBudget {
	return createAttemptBudget(() => budgetOptions.ratio * usedBudgetShare, 1, () => Math.max(1, budgetOptions.getSlack() * usedBudgetShare));
}

function createServiceState(initial: Service, random: Random, budgetOptions: SharedBudgetOptions | undefined): MutableState {
	let service = initial;
	let candidates: readonly Candidate[] = [];
	let subset: ReadonlySet<number> | undefined;
	let chooser = createChooser(service.policy, random);
	const sharedBudget = budgetOptions === undefined ? undefined : createSharedBudget(budgetOptions);
	return {
		getService: () => service,
		queue: createWaitQueue(() => service.queueLength),
		shortageEstimate: createShortageEstimate(),
		retries: sharedBudget ?? createAttemptBudget(() => service.retryRatio, initialRetryBalance),
		// If retries and hedges share a budget, each request deposits to it only once, through `retries`.
		hedges: sharedBudget === undefined ? createAttemptBudget(() => service.hedgeRatio, 0) : {...sharedBudget, deposit: doNothing},
		hedgeDelay: createHedgeDelay(hedgeQuantile, initialHedgeDelayMilliseconds, () => service.hedgeDelayMilliseconds ?? defaultHedgeDelayMilliseconds),
		getChooser: () => chooser,
		getCandidates: () => candidates,
		getSubset: () => subset,
		setService(next) {
			if (next.policy !== service.policy) {
				chooser = createChooser(next.policy, random);
			}

			service = next;
		},
		setCandidates(next, nextSubset) {
			candidates = next;
			subset = nextSubset;
		},
	};
}

/**
 * Creates a fleet without servers.
 * @param random - Source of random numbers.
 * @param budgetOptions - Budget that retries and hedges share; by default each has a budget of its own.
 * @param subsetChooser - Chooser of the servers that the entry prefers to query; by default it prefers none.
 * @param onUnsolicitedData - Called when a server sends data on an idle connection, with its history.
 */
export function createFleet(random: Random, budgetOptions?: SharedBudgetOptions, subsetChooser?: SubsetChooser, onUnsolicitedData?: (candidate: Candidate, history: ConnectionHistory) => void): Fleet {
	const servers = new Map<number, FleetServer>();
	const byKey = new Map<ServerKey, Candidate>();
	const byService = new Map<string, Set<Candidate>>();
	const states = new Map<string, MutableState>();
	const leavingBoots = createRecentSet(maximumLeavingBoots);
	let document: EnvironmentDocument | undefined;
	let zonesInService: ReadonlySet<string> = new Set();
	let zonesOutOfService: ReadonlySet<string> = new Set();
	let entryCount = 1;

	function isEligible(candidate: Candidate): boolean {
		const {zone} = candidate.getAnnouncement();
		// A document without zones leaves it to the operators to take zones out of service.
		const isInService = zonesInService.size === 0 ? document !== undefined : zonesInService.has(zone);
		return isInService && !zonesOutOfService.has(zone) && !candidate.isLeaving();
	}

	/** Recomputes the candidates of one service. */
	function updateCandidates(service: string): void {
		const state = states.get(service);
		if (state === undefined) {
			return;
		}

		const candidates = [...byService.get(service) ?? []].filter(candidate => isEligible(candidate));
		state.setCandidates(candidates, subsetChooser?.choose(candidates));
		for (const candidate of candidates) {
			candidate.setSlotsEnforced(state.getService().policy === 'central-queue');
			candidate.setQueriedBeforeRequests((state.getService().askedCandidates ?? 0) > 0);
		}
	}

	function addToService(candidate: Candidate): void {
		const {service} = candidate.getAnnouncement();
		const candidates = byService.get(service) ?? new Set();
		candidates.add(candidate);
		byService.set(service, candidates);
	}

	function removeFromService(candidate: Candidate): void {
		const {service} = candidate.getAnnouncement();
		const candidates = byService.get(service);
		candidates?.delete(candidate);
		if (candidates?.size === 0) {
			byService.delete(service);
		}
	}

	function remove(id: number): void {
		const server = servers.get(id);
		if (server !== undefined) {
			servers.delete(id);
			removeKey(server.candidate);
			removeFromService(server.candidate);
			closeWhenIdle(server);
		}
	}

	/** Removes the servers that are not listed, and returns their services. */
	function removeUnlisted(ids: readonly number[]): readonly string[] {
		const present = new Set(ids);
		const removed = [...servers.values()].filter(({candidate}) => !present.has(candidate.id));
		for (const {candidate} of removed) {
			remove(candidate.id);
		}

		return removed.map(({candidate}) => candidate.getAnnouncement().service);
	}

	/** Removes the key of a server's boot, unless a newer boot of the server uses the key. */
	function removeKey(candidate: Candidate): void {
		const key = getServerKey(candidate.getAnnouncement());
		if (byKey.get(key) === candidate) {
			byKey.delete(key);
		}
	}

	function addOrUpdate(view: ServerView): void {
		const {id, announcement, state, isAbsent} = view;
		const existing = servers.get(id);
		if (existing !== undefined) {
			existing.candidate.update(announcement, state, isAbsent);
			return;
		}

		const candidate = createCandidate(id, announcement, state);
		candidate.update(announcement, state, isAbsent);
		candidate.setConnectionShare(getConnectionShare(announcement.connections));
		if (leavingBoots.has(`${announcement.name} ${announcement.boot}`)) {
			candidate.markLeaving();
		}

		byKey.set(getServerKey(announcement), candidate);
		addToService(candidate);
		const pool = createPool(announcement.host, announcement.port, announcement.connections, history => {
			onUnsolicitedData?.(candidate, history);
		});
		servers.set(id, {candidate, pool});
	}

	function getConnectionShare(connections: number): number {
		return Math.max(1, Math.floor(connections / entryCount));
	}

	return {
		setDocument(next) {
			document = next;
			zonesInService = new Set(next.zones.filter(zone => zone.inService).map(zone => zone.name));
			const names = new Set(next.services.map(service => service.name));
			for (const service of next.services) {
				const existing = states.get(service.name);
				if (existing === undefined) {
					states.set(service.name, createServiceState(service, random, budgetOptions));
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
				for (const service of removeUnlisted(views.map(view => view.id))) {
					changedServices.add(service);
				}
			}

			for (const view of views) {
				if (view.isRemoved) {
					remove(view.id);
				} else {
					addOrUpdate(view);
				}
			}

			for (const service of changedServices) {
				updateCandidates(service);
			}
		},
		retain(ids, views) {
			for (const service of removeUnlisted(ids)) {
				updateCandidates(service);
			}

			const absent = new Set(views.filter(view => view.isAbsent).map(view => view.id));
			for (const {candidate} of servers.values()) {
				candidate.update(candidate.getAnnouncement(), candidate.getState(), absent.has(candidate.id));
			}

			return servers.size === ids.length;
		},
		setPermits(permits, now) {
			const byServer = new Map(permits.map(permit => [permit.server, permit]));
			for (const {candidate} of servers.values()) {
				const permit = byServer.get(candidate.id);
				candidate.setPermit(permit?.slots ?? 0);
				candidate.setRate(permit?.requestsPerSecond, now);
			}
		},
		revokePermits() {
			for (const {candidate} of servers.values()) {
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
		setConnectionShare(next) {
			if (next === entryCount) {
				return;
			}

			entryCount = next;
			for (const {candidate} of servers.values()) {
				candidate.setConnectionShare(getConnectionShare(candidate.getAnnouncement().connections));
			}
		},
		getState: service => states.get(service),
		getStates: () => states.values(),
		get: id => servers.get(id),
		getByKey: key => byKey.get(key),
		getServers: () => servers.values(),
		getSize: () => servers.size,
		takeObservations() {
			const observations: Observation[] = [];
			for (const {candidate} of servers.values()) {
				const counts = candidate.takeCounts();
				if (candidate.isCold() || counts.isCold || counts.sheds > 0) {
					observations.push({server: candidate.id, inFlight: candidate.getInFlight(), ...counts});
				}
			}

			return observations;
		},
		markLeaving(candidate) {
			const {name, boot, service} = candidate.getAnnouncement();
			leavingBoots.add(`${name} ${boot}`);
			const isNew = candidate.markLeaving();
			updateCandidates(service);
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
		close() {
			for (const {pool} of servers.values()) {
				pool.close();
			}
		},
	};
}

function doNothing(): void {
	// The shared budget already has the deposit.
}

/** Interval at which a removed server is checked for requests in flight. */
const idleCheckMilliseconds = 100;

/** Closes the connections of a removed server once no request is in flight on them. */
function closeWhenIdle(server: FleetServer): void {
	if (server.candidate.getInFlight() === 0) {
		server.pool.close();
		return;
	}

	setTimeout(closeWhenIdle, idleCheckMilliseconds, server).unref();
}
