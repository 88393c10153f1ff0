/**
 * Soft state of a leader: leases, permits for cold servers, probe duties, liveness of servers and quarantine. A new leader rebuilds it
 * from renewals and announcements. An earlier leader may have granted permits and duties for the servers that were registered
 * then, so a new leader grants none for these servers until the earlier leases have expired.
 */
import {Maybe} from 'true-myth';
import {
	createLivenessTracker, type Announcement, type RegisteredServer, type RegistryCommand,
} from '../announcement/index.js';
import {
	createAllocator, createRateAllocator, type Allocator, type RateAllocator,
} from '../cold-start/index.js';
import {type EnvironmentDocument, type Service} from '../configuration/index.js';
import {
	createLeaseTable, type Grant, type LeaseTable, type Renewal,
} from '../lease/index.js';
import {createProbeDuties, getProbeIntervalMilliseconds, type ProbeDuties} from '../measuring/index.js';
import {createQuarantine, type Quarantine} from '../quarantine/index.js';
import {createLiveLeases, isSamePeer, type LiveLeases} from './live-leases.js';
import {type EntryStatus, type ServerStatus} from './message.js';
import {type StateMachine} from './state-machine.js';
import {createServerViews} from './server-views.js';

/** Time without an announcement after which a server counts as absent, in milliseconds. */
const absenceTimeoutMilliseconds = 3500;

/** Time without an announcement after which a server is removed from the registry, in milliseconds. */
const removalTimeoutMilliseconds = 600_000;

/** Time without an announcement after which a leaving server is removed from the registry, in milliseconds. */
const leavingRemovalTimeoutMilliseconds = 60_000;

/** Time added to the cold phase that a server announces, to cover the delay of the announcement, in milliseconds. */
const coldMarginMilliseconds = 300;

const defaultDeadlineMilliseconds = 60_000;
const failedProbesUntilAbsent = 3;
const millisecondsPerSecond = 1000;

/** Soft state of one leader during one term. */
export type Leadership = {
	readonly epoch: number;
	/** Grants a lease. Call it only if leadership was confirmed after the renewal was received. */
	grant(renewal: Renewal, receivedAt: number, now: number): Grant;
	/** Applies a committed change of the environment documents. */
	updateDocuments(now: number): void;
	/** Applies changes of servers by a committed command. */
	updateServers(servers: readonly RegisteredServer[], now: number): void;
	/** Records that a server announced itself unchanged. */
	recordLiveness(id: number, now: number): void;
	/** Records the current announcement of a server. */
	recordAnnouncement(id: number, announcement: Announcement, now: number): void;
	/** Records a crash that a request caused, and returns the number of servers that requests with its fingerprint have crashed. */
	reportCrash(fingerprint: string, server: number, now: number): number;
	clearCrashes(fingerprint: string): void;
	/** Expires leases and returns the registry commands that are due. */
	tick(now: number): readonly RegistryCommand[];
	/** Checks whether all entries of an environment with a live lease report a version or a newer one. */
	isInForce(environment: string, version: number, now: number): boolean;
	getEntries(now: number): readonly EntryStatus[];
	getServers(now: number): readonly ServerStatus[];
	getQuarantined(now: number): readonly string[];
	/** Gets the number of probes a second that the granted duties amount to. */
	getPlannedProbes(): number;
	/** Gets a revision that increases with each change for which entries should renew their leases at once. */
	getUrgentRevision(): number;
};

/** Options of `createLeadership`. */
export type LeadershipOptions = {
	readonly epoch: number;
	readonly startedAt: number;
	readonly termMilliseconds: number;
	readonly machine: StateMachine;
	/** Gets the wall-clock time in milliseconds. */
	getWallClock(): number;
	/** Gets the index of the replicated log up to which the state machine has applied commands. */
	getAppliedIndex(): number;
};

/**
 * Creates the soft state of a new leader.
 * @param options - Consensus term as epoch, start time, lease term and state machine.
 */
export function createLeadership(options: LeadershipOptions): Leadership {
	const {machine, startedAt, termMilliseconds} = options;
	const leases: LeaseTable = createLeaseTable(startedAt, termMilliseconds);
	const allocator: Allocator = createAllocator({startedAt, termMilliseconds});
	const rateAllocator: RateAllocator = createRateAllocator();
	const duties: ProbeDuties = createProbeDuties();
	const livenessTracker = createLivenessTracker(startedAt, absenceTimeoutMilliseconds, [...machine.registry.getAll()].map(server => server.id));
	const quarantine: Quarantine = createQuarantine();
	const views = createServerViews();
	const inheritedServers = new Set<number>();
	const failedProbes = new Map<number, number>();
	const proposedAt = new Map<number, number>();
	const cooledServers = new Set<number>();
	const expiredEntries = new Set<string>();
	const knownColdServers = new Set<number>();
	let isInheritedProbingEnabled = false;
	let urgentRevision = 0;
	let earliestExpiryAt = Number.NEGATIVE_INFINITY;
	let liveLeases: LiveLeases | undefined;
	let probers: readonly string[] | undefined;
	let peersKey = '';
	let peersRevision = 0;

	for (const server of machine.registry.getAll()) {
		inheritedServers.add(server.id);
		updateView(server, startedAt);
		addColdServer(server, startedAt);
	}

	function getDocument(environment: string): EnvironmentDocument | undefined {
		const current = machine.register.getCurrent(environment === 'trial' ? 'trial' : 'production');
		return current.isJust ? current.value.document : undefined;
	}

	function getServices(name: string): readonly Service[] {
		const documents = [getDocument('production'), getDocument('trial')];
		return documents.flatMap(document => document?.services.filter(service => service.name === name) ?? []);
	}

	function addColdServer(server: RegisteredServer, now: number): void {
		if (server.state !== 'cold') {
			return;
		}

		const services = getServices(server.announcement.service);
		const warmUp = services[0]?.warmUp;
		if (warmUp !== undefined) {
			addRateLimitedServer(server, warmUp, server.announcement.coldMilliseconds ?? 0, now);
			return;
		}

		const deadline = Math.max(...services.map(service => service.deadlineMilliseconds), services.length === 0 ? defaultDeadlineMilliseconds : 0);
		const {easing} = services[0] ?? {easing: {initialSlots: 1, growthPerSuccess: 0.1, ceilingMilliseconds: 30_000}};
		allocator.add({
			id: server.id, slots: server.announcement.slots, easing, deadlineMilliseconds: deadline, hasEarlierHolders: inheritedServers.has(server.id),
		}, now);
	}

	/** Limits the request rate of a cold server. If it was not known to be cold, the limit lasts at least for the full warm-up time of the service. */
	function addRateLimitedServer(server: RegisteredServer, warmUp: NonNullable<Service['warmUp']>, announcedMilliseconds: number, now: number): void {
		const coldMilliseconds = Math.max(announcedMilliseconds, knownColdServers.has(server.id) ? 0 : warmUp.milliseconds);
		knownColdServers.add(server.id);
		rateAllocator.add({
			id: server.id,
			requestsPerSecond: warmUp.requestsPerSecond,
			grantableAt: inheritedServers.has(server.id) ? startedAt + termMilliseconds : now,
			coldUntil: now + coldMilliseconds + coldMarginMilliseconds,
		});
	}

	function isAbsent(id: number, now: number): boolean {
		return livenessTracker.isExpired(id, now) || (failedProbes.get(id) ?? 0) >= failedProbesUntilAbsent;
	}

	function updateView(server: RegisteredServer, now: number): void {
		views.set({
			id: server.id,
			announcement: server.announcement,
			state: server.state,
			isAbsent: isAbsent(server.id, now),
			isRemoved: machine.registry.getById(server.id).isNothing,
		});
	}

	/** Expires the leases that have ended. Does nothing before the first of them can have ended, since every grant calls it. */
	function expireLeases(now: number): void {
		if (now < earliestExpiryAt) {
			return;
		}

		earliestExpiryAt = Number.POSITIVE_INFINITY;
		for (const holder of leases.getAll()) {
			if (holder.expiresAt > now) {
				expiredEntries.delete(holder.entry);
				earliestExpiryAt = Math.min(earliestExpiryAt, holder.expiresAt);
			} else if (!expiredEntries.has(holder.entry)) {
				expiredEntries.add(holder.entry);
				liveLeases = undefined;
				allocator.expireLease(holder.entry, now);
				rateAllocator.expireLease(holder.entry);
				duties.expireLease(holder.entry);
			}
		}
	}

	function recordLease(renewal: Renewal, receivedAt: number): void {
		const previous = leases.get(renewal.entry);
		leases.record(renewal, receivedAt);
		const isKnown = previous !== undefined
			&& previous.expiresAt > receivedAt
			&& previous.environment === renewal.environment
			&& isSamePeer(previous.peer, renewal.peer);
		if (!isKnown || renewal.isFinal) {
			liveLeases = undefined;
			expiredEntries.delete(renewal.entry);
		}

		earliestExpiryAt = Math.min(earliestExpiryAt, renewal.isFinal ? receivedAt : receivedAt + termMilliseconds);
	}

	/** Gets the live leases, sorted by entry. The list is the same until an entry joins, changes or ends. */
	function getLiveLeases(now: number): LiveLeases {
		liveLeases ??= createLiveLeases(leases.getLive(now));
		return liveLeases;
	}

	function recordRenewal(renewal: Renewal, now: number): void {
		allocator.report(renewal.entry, renewal.acknowledged, renewal.observations, now);
		duties.acknowledge(renewal.entry, renewal.acknowledged);
		for (const id of renewal.failedProbes) {
			failedProbes.set(id, (failedProbes.get(id) ?? 0) + 1);
			updateAbsence(id, now);
		}

		for (const id of renewal.heard) {
			recordLiveness(id, now);
		}

		for (const {fingerprint, server} of renewal.crashes) {
			// Older entries state a number of crashes instead, which is always empty.
			if (typeof server === 'number') {
				quarantine.reportCrash(fingerprint, server, now);
			}
		}
	}

	/** Records that a server announced itself. Ignores servers that were removed from the registry. */
	function recordLiveness(id: number, now: number): void {
		if (machine.registry.getById(id).isJust) {
			livenessTracker.recordAnnouncement(id, now);
			failedProbes.delete(id);
			updateAbsence(id, now);
		}
	}

	/** Updates the view of a server if it has become absent or is no longer absent. */
	function updateAbsence(id: number, now: number): void {
		const server = machine.registry.getById(id);
		const view = views.get(id);
		if (server.isJust && view !== undefined && view.isAbsent !== isAbsent(id, now)) {
			updateView(server.value, now);
		}
	}

	function getLiveEntries(environment: string, now: number): readonly string[] {
		return getLiveLeases(now).entriesByEnvironment.get(environment) ?? [];
	}

	/** Enables probe duties for the servers registered under an earlier leader, once that leader's leases have expired. */
	function enableInheritedDuties(now: number): void {
		if (isInheritedProbingEnabled || now - startedAt < termMilliseconds) {
			return;
		}

		isInheritedProbingEnabled = true;
		for (const server of machine.registry.getAll()) {
			updateProbing(server);
		}
	}

	function updateProbing(server: RegisteredServer): void {
		const isCurrent = machine.registry.getById(server.id).isJust;
		const isProbingAllowed = isInheritedProbingEnabled || !inheritedServers.has(server.id);
		if (isCurrent && isProbingAllowed && server.state !== 'leaving') {
			duties.add(server.id);
		} else {
			duties.remove(server.id);
		}
	}

	/** Sets the entries that probe: the live ones of production, or the given ones while production has none. */
	function setProbers(liveEntries: readonly string[], now: number): void {
		const production = getLiveEntries('production', now);
		const next = production.length > 0 ? production : liveEntries;
		if (next !== probers) {
			probers = next;
			duties.setProbers(next);
		}
	}

	/**
	 * Gets the servers that an entry needs. An entry that knows the servers from an earlier leader needs only those that changed
	 * since, so a change of the leader does not cost a whole list for each entry.
	 */
	function getServerList(renewal: Renewal): Pick<Grant, 'isWhole' | 'listed' | 'logIndex' | 'servers'> {
		const logIndex = options.getAppliedIndex();
		if (renewal.epoch === options.epoch) {
			return {isWhole: false, logIndex, servers: views.getChangedSince(renewal.revision)};
		}

		const all = views.getAll();
		const knownIndex = renewal.logIndex ?? 0;
		if (knownIndex === 0) {
			return {isWhole: true, logIndex, servers: all};
		}

		const changed = all.filter(({id, isAbsent}) => isAbsent || getChangeIndex(id) > knownIndex);
		return {
			isWhole: false, logIndex, servers: changed, listed: all.map(({id}) => id),
		};
	}

	/** Gets the index of the replicated log at which a server last changed, or infinity if it is not known. */
	function getChangeIndex(id: number): number {
		return machine.registry.getById(id).andThen(({changedAt}) => Maybe.of(changedAt)).unwrapOr(Number.POSITIVE_INFINITY);
	}

	/** Gets the addresses of the other entries, or none if the renewal reports their current revision. */
	function getPeers(renewal: Renewal, now: number): Pick<Grant, 'peers' | 'peersRevision'> {
		const {peers: addresses, peersKey: key} = getLiveLeases(now);
		if (key !== peersKey || peersRevision === 0) {
			peersKey = key;
			peersRevision++;
		}

		const isKnown = renewal.epoch === options.epoch && renewal.peersRevision === peersRevision;
		return {peersRevision, peers: isKnown ? undefined : addresses.filter(peer => peer.name !== renewal.entry)};
	}

	function collectCooledServers(renewal: Renewal): void {
		for (const observation of renewal.observations) {
			if (observation.isCold && machine.registry.getById(observation.server).map(server => server.state === 'warm').unwrapOr(false)) {
				cooledServers.add(observation.server);
			}
		}
	}

	function getDueCommands(now: number): readonly RegistryCommand[] {
		const at = options.getWallClock();
		const commands: RegistryCommand[] = [...cooledServers].map(id => ({kind: 'cooled', id, at}));
		for (const id of [...allocator.getWarmed(now), ...rateAllocator.getWarmed(now)]) {
			commands.push({kind: 'warmed', id, at});
		}

		for (const id of livenessTracker.getExpired(now)) {
			const isLeaving = machine.registry.getById(id).map(server => server.state === 'leaving').unwrapOr(false);
			if (livenessTracker.getSilenceMilliseconds(id, now) > (isLeaving ? leavingRemovalTimeoutMilliseconds : removalTimeoutMilliseconds)) {
				commands.push({kind: 'removed', id, at});
			}
		}

		return commands;
	}

	/** Excludes commands proposed within the last lease term, which may not be committed yet, and records the others as proposed. */
	function selectUnproposed(commands: readonly RegistryCommand[], now: number): readonly RegistryCommand[] {
		const due = commands.filter(command => 'id' in command && now - (proposedAt.get(command.id) ?? Number.NEGATIVE_INFINITY) > termMilliseconds);
		for (const command of due) {
			if ('id' in command) {
				proposedAt.set(command.id, now);
			}
		}

		return due;
	}

	return {
		epoch: options.epoch,
		grant(renewal, receivedAt, now) {
			expireLeases(now);
			recordLease(renewal, receivedAt);
			expireLeases(now);
			recordRenewal(renewal, now);
			collectCooledServers(renewal);
			enableInheritedDuties(now);
			const liveEntries = getLiveEntries(renewal.environment, now);
			setProbers(liveEntries, now);
			const document = getDocument(renewal.environment);
			const version = machine.register.getCurrentNumber(renewal.environment);
			return {
				kind: 'grant',
				sequence: renewal.sequence,
				termMilliseconds,
				epoch: options.epoch,
				revision: views.getRevision(),
				...getServerList(renewal),
				version,
				document: version === renewal.version ? undefined : machine.register.getUpdate(renewal.environment, renewal.version),
				permits: [
					...allocator.grant(renewal.entry, renewal.sequence, liveEntries, now),
					...rateAllocator.grant({
						entry: renewal.entry, expiresAt: receivedAt + termMilliseconds, entryCount: liveEntries.length, now,
					}).map(permit => ({...permit, slots: 0})),
				],
				duties: document === undefined ? [] : duties.grant(renewal.entry, renewal.sequence),
				probeMilliseconds: document === undefined ? Number.POSITIVE_INFINITY : getProbeIntervalMilliseconds(document.measuring, duties.getSize()),
				quarantined: quarantine.getQuarantined(now),
				zonesOut: machine.getZonesOut(),
				entries: liveEntries.length,
				...getPeers(renewal, now),
			};
		},
		updateDocuments(now) {
			for (const server of machine.registry.getAll()) {
				// The cold phase announced at registration has passed by now.
				addColdServer({...server, announcement: {...server.announcement, coldMilliseconds: 0}}, now);
			}
		},
		updateServers(servers, now) {
			for (const server of servers) {
				cooledServers.delete(server.id);
				proposedAt.delete(server.id);
				const isCurrent = machine.registry.getById(server.id).isJust;
				if (!isCurrent || server.state !== 'cold') {
					allocator.remove(server.id);
					rateAllocator.remove(server.id);
					knownColdServers.delete(server.id);
				}

				if (isCurrent) {
					livenessTracker.recordAnnouncement(server.id, now);
					addColdServer(server, now);
				} else {
					livenessTracker.remove(server.id);
					failedProbes.delete(server.id);
				}

				updateProbing(server);
				updateView(server, now);
			}

			urgentRevision++;
		},
		recordLiveness,
		recordAnnouncement(id, announcement, now) {
			recordLiveness(id, now);
			const server = machine.registry.getById(id);
			if (server.isJust && server.value.state === 'cold') {
				addColdServer({...server.value, announcement}, now);
			}
		},
		reportCrash(fingerprint, server, now) {
			const count = quarantine.reportCrash(fingerprint, server, now);
			urgentRevision++;
			return count;
		},
		clearCrashes(fingerprint) {
			quarantine.clear(fingerprint);
		},
		tick(now) {
			expireLeases(now);
			for (const id of livenessTracker.getExpired(now)) {
				updateAbsence(id, now);
			}

			for (const entry of leases.removeExpired(now - removalTimeoutMilliseconds)) {
				expiredEntries.delete(entry);
			}

			return selectUnproposed(getDueCommands(now), now);
		},
		isInForce: leases.isInForce,
		getEntries: now => leases.getAll().map(holder => ({
			entry: holder.entry, environment: holder.environment, version: holder.version, leaseMilliseconds: Math.round(holder.expiresAt - now),
		})),
		getServers: now => [...machine.registry.getAll()].map(server => ({
			key: server.key,
			id: server.id,
			zone: server.announcement.zone,
			state: server.state,
			isAbsent: isAbsent(server.id, now),
			slots: server.announcement.slots,
			permits: allocator.getUsage(server.id, now),
			prober: duties.getProber(server.id),
		})),
		getQuarantined: now => quarantine.getQuarantined(now),
		getPlannedProbes() {
			const document = getDocument('production');
			const interval = document === undefined ? Number.POSITIVE_INFINITY : getProbeIntervalMilliseconds(document.measuring, duties.getSize());
			return duties.getHeldCount() * millisecondsPerSecond / interval;
		},
		getUrgentRevision: () => urgentRevision,
	};
}
