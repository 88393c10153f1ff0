/**
 * Soft state of a leader: leases, permits for cold servers, the lent slack and tokens, probe duties, liveness of servers and quarantine. A new leader rebuilds it
 * from renewals and announcements. An earlier leader may have granted permits and duties for the servers that were registered
 * then, so until the earlier leases have expired a new leader grants no duties for these servers, and only those permits that entries
 * report to hold.
 */
import {type Announcement, type RegisteredServer, type RegistryCommand} from '../announcement/index.js';
import {type EnvironmentDocument, type Service} from '../configuration/index.js';
import {type Grant, type Renewal} from '../lease/index.js';
import {createQuarantine} from '../quarantine/index.js';
import {defaultQuotaTolerance, type QuotaTolerance} from '../quota/index.js';
import {createColdServers} from './cold-servers.js';
import {getCountedRenewal} from './counted-renewal.js';
import {createDueCommands, removalTimeoutMilliseconds} from './due-commands.js';
import {recordEarlierState} from './earlier-state.js';
import {createGrantedLeases} from './granted-leases.js';
import {type EntryStatus, type ServerStatus} from './message.js';
import {createProbing} from './probing.js';
import {createServerList} from './server-list.js';
import {createServerPresence} from './server-presence.js';
import {createQuotaLending, type QuotaLending} from './quota-lending.js';
import {createSlackLending} from './slack-lending.js';
import {type StateMachine} from './state-machine.js';

/** Soft state of one leader during one term. */
export type Leadership = {
	readonly epoch: number;
	/** Lends tokens of quotas. */
	readonly quotas: Omit<QuotaLending, 'grant'>;
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
	/** By how much requests may exceed quotas; the default if it is missing. */
	readonly quotaTolerance?: QuotaTolerance;
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
	const {machine, startedAt, termMilliseconds, epoch} = options;
	const inheritedServers = new Set([...machine.registry.getAll()].map(server => server.id));
	const quarantine = createQuarantine();
	const presence = createServerPresence(startedAt, [...inheritedServers]);
	const serverList = createServerList({
		epoch, machine, presence, getAppliedIndex: options.getAppliedIndex,
	});
	const coldServers = createColdServers({
		epoch, startedAt, termMilliseconds, machine, inheritedServers, getServices, getWallClock: options.getWallClock,
	});
	const probing = createProbing({
		startedAt, termMilliseconds, machine, inheritedServers,
	});
	const slackLending = createSlackLending({startedAt, termMilliseconds, machine});
	const quotas = createQuotaLending({
		epoch, startedAt, termMilliseconds, machine, tolerance: options.quotaTolerance ?? defaultQuotaTolerance,
	});
	const dueCommands = createDueCommands({
		termMilliseconds, machine, presence, coldServers, getWallClock: options.getWallClock,
	});
	const leases = createGrantedLeases({
		epoch,
		startedAt,
		termMilliseconds,
		onExpiry(entry, now) {
			coldServers.expireLease(entry, now);
			probing.expireLease(entry);
		},
	});
	let urgentRevision = 0;

	for (const server of machine.registry.getAll()) {
		serverList.update(server, startedAt);
		coldServers.add(server, startedAt);
	}

	function getDocument(environment: string): EnvironmentDocument | undefined {
		const current = machine.register.getCurrent(environment === 'trial' ? 'trial' : 'production');
		return current.isJust ? current.value.document : undefined;
	}

	function getServices(name: string): readonly Service[] {
		const documents = [getDocument('production'), getDocument('trial')];
		return documents.flatMap(document => document?.services.filter(service => service.name === name) ?? []);
	}

	function recordRenewal(renewal: Renewal, isOvertaken: boolean, receivedAt: number, now: number): void {
		if (isOvertaken) {
			coldServers.recordOvertaken(renewal, receivedAt);
		} else {
			coldServers.recordRenewal(renewal, receivedAt);
		}

		probing.acknowledge(renewal);
		for (const id of renewal.failedProbes) {
			presence.recordFailedProbe(id);
			serverList.updateAbsence(id, now);
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

		recordEarlierState({
			machine, presence, serverList, quarantine,
		}, renewal, now);
	}

	/** Records that a server announced itself. Ignores servers that were removed from the registry. */
	function recordLiveness(id: number, now: number): void {
		if (machine.registry.getById(id).isJust) {
			presence.recordLiveness(id, now);
			serverList.updateAbsence(id, now);
		}
	}

	return {
		epoch,
		quotas,
		grant(renewal, receivedAt, now) {
			leases.expire(now);
			const isOvertaken = leases.isOvertaken(renewal);
			const counted = getCountedRenewal(renewal, {isOvertaken, isRepeated: leases.isRepeated(renewal)});
			leases.record(renewal, receivedAt);
			recordRenewal(counted, isOvertaken, receivedAt, now);
			// The lease has ended if the entry returns it or the decision is late. What the entry reported with it is released then.
			leases.expire(now);
			coldServers.collectCooled(renewal);
			probing.enableInherited(now);
			const liveEntries = leases.getLiveEntries(renewal.environment, now);
			probing.setProbers(leases.getLiveEntries('production', now), liveEntries);
			const version = machine.register.getCurrentNumber(renewal.environment);
			return {
				kind: 'grant',
				sequence: renewal.sequence,
				termMilliseconds,
				epoch,
				...serverList.getFor(renewal),
				version,
				document: version === renewal.version ? undefined : machine.register.getUpdate(renewal.environment, renewal.version),
				permits: renewal.isFinal ? [] : coldServers.grant(renewal, liveEntries, receivedAt),
				...slackLending.grant(renewal, liveEntries.length, receivedAt),
				...quotas.grant(renewal, receivedAt, now),
				...probing.grant(renewal, getDocument(renewal.environment)),
				quarantined: quarantine.getQuarantined(now),
				zonesOut: machine.getZonesOut(),
				zonesRevision: machine.getZonesRevision(),
				entries: leases.getEntryCount(renewal.environment, now),
				...(renewal.epoch === epoch || renewal.epoch === 0 ? {} : {keepsEarlier: true}),
				...leases.getPeers(renewal, now),
			};
		},
		updateDocuments(now) {
			for (const server of machine.registry.getAll()) {
				// The cold phase announced at registration has passed by now.
				coldServers.add({...server, announcement: {...server.announcement, coldMilliseconds: 0}}, now);
			}
		},
		updateServers(servers, now) {
			for (const server of servers) {
				dueCommands.recordChange(server.id);
				coldServers.recordChange(server);
				if (machine.registry.getById(server.id).isJust) {
					presence.recordChange(server.id, now);
					coldServers.add(server, now);
				} else {
					presence.remove(server.id);
				}

				probing.update(server);
				serverList.update(server, now);
			}

			urgentRevision++;
		},
		recordLiveness,
		recordAnnouncement(id, announcement, now) {
			recordLiveness(id, now);
			const server = machine.registry.getById(id);
			if (server.isJust && server.value.state === 'cold') {
				coldServers.add({...server.value, announcement}, now);
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
			leases.expire(now);
			for (const id of presence.getExpired(now)) {
				serverList.updateAbsence(id, now);
			}

			leases.removeExpired(now - removalTimeoutMilliseconds);
			return dueCommands.take(now);
		},
		isInForce: leases.isInForce,
		getEntries: leases.getEntries,
		getServers: now => [...machine.registry.getAll()].map(server => ({
			key: server.key,
			id: server.id,
			boot: server.announcement.boot,
			zone: server.announcement.zone,
			state: server.state,
			isAbsent: presence.isAbsent(server.id, now),
			slots: server.announcement.slots,
			permits: coldServers.getUsage(server.id, now),
			prober: probing.getProber(server.id),
		})),
		getQuarantined: now => quarantine.getQuarantined(now),
		getPlannedProbes: () => probing.getPlannedProbes(getDocument('production')),
		getUrgentRevision: () => urgentRevision,
	};
}
