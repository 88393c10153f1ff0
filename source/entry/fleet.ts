/**
 * The servers that an entry may use, by service: what the control hosts say of
 * them, joined with what the entry and its peers see.
 */
import {getServerKey, type ServerKey} from '../announcement/index.js';
import {
	createCandidate, createChooser, type Candidate, type Chooser,
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
import {createPool, type Pool} from './pool.js';

const initialRetries = 10;
const initialHedgeMilliseconds = 50;
const hedgeQuantile = 0.95;

/** A server with its connections. */
export type FleetServer = {readonly candidate: Candidate; readonly pool: Pool};

/** What an entry keeps for one service. */
export type ServiceState = {
	getService(): Service;
	readonly queue: WaitQueue;
	readonly pressure: ShortageEstimate;
	readonly retries: AttemptBudget;
	readonly hedges: AttemptBudget;
	readonly hedgeDelay: HedgeDelay;
	getChooser(): Chooser;
	getCandidates(): readonly Candidate[];
};

/** The servers that an entry may use. */
export type Fleet = {
	/** Puts a document in force. */
	setDocument(document: EnvironmentDocument): void;
	/** Takes servers; `isWhole` says that all others are gone. */
	update(views: readonly ServerView[], isWhole: boolean): void;
	setPermits(permits: readonly Permit[], now: number): void;
	/** Ends the permits for cold servers, because the lease has ended. */
	endPermits(): void;
	/** Takes zones out of service, whatever the document says; returns whether that changed anything. */
	setZonesOutOfService(zones: readonly string[]): boolean;
	setConnectionShare(entries: number): void;
	getState(service: string): ServiceState | undefined;
	getStates(): Iterable<ServiceState>;
	get(id: number): FleetServer | undefined;
	/** Gets a server by its name in its service. */
	getByKey(key: ServerKey): Candidate | undefined;
	getServers(): Iterable<FleetServer>;
	getSize(): number;
	/** Gets what the entry saw of cold, suspect and shedding servers since the last call. */
	takeObservations(): readonly Observation[];
	/** Ejects servers that fail too often, up to the document's share. */
	ejectIfFailing(service: string, candidate: Candidate, now: number): boolean;
	close(): void;
};

type MutableState = ServiceState & {
	setService(service: Service): void;
	setCandidates(candidates: readonly Candidate[]): void;
};

/** Extra attempts that this entry may make for each service: a share of its requests, and its part of a slack that all entries share. */
export type SharedBudgetOptions = {readonly ratio: number; getSlack(): number};

/** Share of the permitted extra attempts that is used, since entries count their windows each for itself. */
const usedBudgetShare = 0.85;

function createSharedBudget(extra: SharedBudgetOptions): AttemptBudget {
	return createAttemptBudget(() => extra.ratio * usedBudgetShare, 1, () => Math.max(1, extra.getSlack() * usedBudgetShare));
}

function createServiceState(initial: Service, random: Random, extra: SharedBudgetOptions | undefined): MutableState {
	let service = initial;
	let candidates: readonly Candidate[] = [];
	let chooser = createChooser(service.policy, random);
	const shared = extra === undefined ? undefined : createSharedBudget(extra);
	return {
		getService: () => service,
		queue: createWaitQueue(() => service.queueLength),
		pressure: createShortageEstimate(),
		retries: shared ?? createAttemptBudget(() => service.retryRatio, initialRetries),
		// Where retries and hedges share a budget, a request earns for it once, as a retry.
		hedges: shared === undefined ? createAttemptBudget(() => service.hedgeRatio, 0) : {...shared, deposit: doNothing},
		hedgeDelay: createHedgeDelay(hedgeQuantile, initialHedgeMilliseconds, () => service.hedgeDelayMilliseconds ?? defaultHedgeDelayMilliseconds),
		getChooser: () => chooser,
		getCandidates: () => candidates,
		setService(next) {
			if (next.policy !== service.policy) {
				chooser = createChooser(next.policy, random);
			}

			service = next;
		},
		setCandidates(next) {
			candidates = next;
		},
	};
}

/**
 * Creates a fleet without servers.
 * @param random - Source of random numbers.
 * @param extra - Budget that retries and hedges of all entries share, if there is one.
 */
export function createFleet(random: Random, extra?: SharedBudgetOptions): Fleet {
	const servers = new Map<number, FleetServer>();
	const byKey = new Map<ServerKey, Candidate>();
	const byService = new Map<string, Set<Candidate>>();
	const states = new Map<string, MutableState>();
	let document: EnvironmentDocument | undefined;
	let zonesInService: ReadonlySet<string> = new Set();
	let zonesOut: ReadonlySet<string> = new Set();
	let entries = 1;

	function isEligible(candidate: Candidate): boolean {
		const {zone} = candidate.getAnnouncement();
		// A document without zones leaves them to the operators.
		const isInService = zonesInService.size === 0 ? document !== undefined : zonesInService.has(zone);
		return isInService && !zonesOut.has(zone) && candidate.getState() !== 'leaving';
	}

	/** Chooses the candidates of one service again. */
	function rebuild(service: string): void {
		const state = states.get(service);
		if (state === undefined) {
			return;
		}

		const candidates = [...byService.get(service) ?? []].filter(candidate => isEligible(candidate));
		state.setCandidates(candidates);
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
			forgetKey(server.candidate);
			removeFromService(server.candidate);
			closeWhenIdle(server);
		}
	}

	/** Removes every server that is not among the views, and returns their services. */
	function removeOthers(views: readonly ServerView[]): readonly string[] {
		const present = new Set(views.map(view => view.id));
		const gone = [...servers.values()].filter(({candidate}) => !present.has(candidate.id));
		for (const {candidate} of gone) {
			remove(candidate.id);
		}

		return gone.map(({candidate}) => candidate.getAnnouncement().service);
	}

	/** Forgets a boot of a server unless a newer boot has its name. */
	function forgetKey(candidate: Candidate): void {
		const key = getServerKey(candidate.getAnnouncement());
		if (byKey.get(key) === candidate) {
			byKey.delete(key);
		}
	}

	function put(view: ServerView): void {
		const {id, announcement, state, isAbsent} = view;
		const known = servers.get(id);
		if (known !== undefined) {
			known.candidate.update(announcement, state, isAbsent);
			return;
		}

		const candidate = createCandidate(id, announcement, state);
		candidate.update(announcement, state, isAbsent);
		candidate.setConnectionShare(getConnectionShare(announcement.connections));
		byKey.set(getServerKey(announcement), candidate);
		addToService(candidate);
		servers.set(id, {candidate, pool: createPool(announcement.host, announcement.port, announcement.connections)});
	}

	function getConnectionShare(connections: number): number {
		return Math.max(1, Math.floor(connections / entries));
	}

	return {
		setDocument(next) {
			document = next;
			zonesInService = new Set(next.zones.filter(zone => zone.inService).map(zone => zone.name));
			const names = new Set(next.services.map(service => service.name));
			for (const service of next.services) {
				const known = states.get(service.name);
				if (known === undefined) {
					states.set(service.name, createServiceState(service, random, extra));
				} else {
					known.setService(service);
				}
			}

			for (const name of states.keys()) {
				if (!names.has(name)) {
					states.delete(name);
				}
			}

			for (const name of names) {
				rebuild(name);
			}
		},
		update(views, isWhole) {
			const touched = new Set(views.map(view => view.announcement.service));
			if (isWhole) {
				for (const service of removeOthers(views)) {
					touched.add(service);
				}
			}

			for (const view of views) {
				if (view.isRemoved) {
					remove(view.id);
				} else {
					put(view);
				}
			}

			for (const service of touched) {
				rebuild(service);
			}
		},
		setPermits(permits, now) {
			const byServer = new Map(permits.map(permit => [permit.server, permit]));
			for (const {candidate} of servers.values()) {
				const permit = byServer.get(candidate.id);
				candidate.setPermit(permit?.slots ?? 0);
				candidate.setRate(permit?.requestsPerSecond, now);
			}
		},
		endPermits() {
			for (const {candidate} of servers.values()) {
				candidate.revokePermits();
			}
		},
		setZonesOutOfService(zones) {
			if (zones.length === zonesOut.size && zones.every(zone => zonesOut.has(zone))) {
				return false;
			}

			zonesOut = new Set(zones);
			for (const name of states.keys()) {
				rebuild(name);
			}

			return true;
		},
		setConnectionShare(count) {
			if (count === entries) {
				return;
			}

			entries = count;
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
	// There is nothing to earn.
}

const closeCheckMilliseconds = 100;

/** Closes the connections of a server that is gone once no request is in flight on them. */
function closeWhenIdle(server: FleetServer): void {
	if (server.candidate.getInFlight() === 0) {
		server.pool.close();
		return;
	}

	setTimeout(closeWhenIdle, closeCheckMilliseconds, server).unref();
}
