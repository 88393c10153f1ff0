/**
 * Permits for the cold servers of a leader. Some are limited by slots that grow with successes, others by a rate while they warm up. An
 * earlier leader may have granted permits for the servers that were registered then. Until its leases have ended, entries keep the permits
 * that they hold and hand them over to each other, and nothing else is granted.
 */
import {type RegisteredServer} from '../announcement/index.js';
import {createAllocator, createRateAllocator} from '../cold-start/index.js';
import {type Service} from '../configuration/index.js';
import {
	type Grant, type Observation, type Permit, type Renewal,
} from '../lease/index.js';
import {getLongestEarlierDeadline} from './earlier-deadlines.js';
import {type ServerStatus} from './message.js';
import {type StateMachine} from './state-machine.js';

/** Time added to the cold phase that a server announces, to cover the delay of the announcement, in milliseconds. */
const coldMarginMilliseconds = 300;

const defaultDeadlineMilliseconds = 60_000;

/** Cold servers of one leader during one term. */
export type ColdServers = {
	/** Adds a server if it is cold. */
	add(server: RegisteredServer, now: number): void;
	/** Records that a server changed; it is no longer among the cold ones unless it is cold still. */
	recordChange(server: RegisteredServer): void;
	/** Records what an entry observed, and the permits that it acknowledges and holds. */
	recordRenewal(renewal: Renewal, receivedAt: number): void;
	/** Records a renewal that arrives after a later one of its process: only its sheds tell something new. */
	recordOvertaken(renewal: Renewal, receivedAt: number): void;
	/** Records which warm servers an entry found to behave like cold ones. */
	collectCooled(renewal: Renewal): void;
	expireLease(entry: string, now: number): void;
	/** Grants permits to an entry, given the live entries of its environment. The leadership is known to have lasted until the receipt of the renewal. */
	grant(renewal: Renewal, liveEntries: readonly string[], receivedAt: number): Grant['permits'];
	/** Gets the warm servers that behave like cold ones. */
	getCooled(): readonly number[];
	/** Gets the servers that have become warm. */
	getWarmed(now: number): readonly number[];
	getUsage(id: number, now: number): ServerStatus['permits'];
};

/** Options of `createColdServers`. */
export type ColdServersOptions = {
	/** Consensus term of the leader. */
	readonly epoch: number;
	readonly startedAt: number;
	readonly termMilliseconds: number;
	readonly machine: StateMachine;
	/** Servers that were registered under an earlier leader. */
	readonly inheritedServers: ReadonlySet<number>;
	/** Gets the services of a name in all environments. */
	getServices(name: string): readonly Service[];
	/** Gets the wall-clock time in milliseconds. */
	getWallClock(): number;
};

/**
 * Creates the permits of a new leader.
 * @param options - Start, term, state machine and services.
 */
export function createColdServers(options: ColdServersOptions): ColdServers {
	const {epoch, startedAt, termMilliseconds, machine, inheritedServers, getServices} = options;
	const allocator = createAllocator({startedAt, termMilliseconds});
	const rateAllocator = createRateAllocator();
	const knownColdServers = new Set<number>();
	const heardProcesses = new Set<string>();
	const cooledServers = new Set<number>();

	/** Limits the request rate of a cold server. If it was not known to be cold, the limit lasts at least for the full warm-up time of the service. */
	function addRateLimited(server: RegisteredServer, warmUp: NonNullable<Service['warmUp']>, announcedMilliseconds: number, now: number): void {
		const coldMilliseconds = Math.max(announcedMilliseconds, knownColdServers.has(server.id) ? 0 : warmUp.milliseconds);
		knownColdServers.add(server.id);
		rateAllocator.add({
			id: server.id,
			requestsPerSecond: warmUp.requestsPerSecond,
			grantableAt: inheritedServers.has(server.id) ? startedAt + termMilliseconds : now,
			coldUntil: now + coldMilliseconds + coldMarginMilliseconds,
		});
	}

	/** Gets the longest deadline of the requests that may be in flight at a server. The allocator remembers that of a server that it knows. */
	function getLongestDeadline({id, announcement}: RegisteredServer, services: readonly Service[]): number {
		const current = services.length === 0 ? defaultDeadlineMilliseconds : Math.max(...services.map(service => service.deadlineMilliseconds));
		return allocator.has(id) || !inheritedServers.has(id)
			? current
			: Math.max(current, getLongestEarlierDeadline({
				register: machine.register, service: announcement.service, termMilliseconds, wallClock: options.getWallClock(),
			}));
	}

	/** States in a permit by which capacity it was granted. A permit that an entry keeps states that already. */
	function withCapacity(permit: Permit, now: number): Permit {
		const capacity = permit.isKept === true ? undefined : allocator.getGrantedCapacity(permit.server, now);
		return capacity === undefined ? permit : {...permit, capacity: {epoch, ...capacity}};
	}

	return {
		add(server, now) {
			if (server.state !== 'cold') {
				return;
			}

			const services = getServices(server.announcement.service);
			const warmUp = services[0]?.warmUp;
			if (warmUp !== undefined) {
				addRateLimited(server, warmUp, server.announcement.coldMilliseconds ?? 0, now);
				return;
			}

			const deadlineMilliseconds = getLongestDeadline(server, services);
			const {easing} = services[0] ?? {easing: {initialSlots: 1, growthPerSuccess: 0.1, ceilingMilliseconds: 30_000}};
			allocator.add({
				id: server.id, slots: server.announcement.slots, easing, deadlineMilliseconds, hasEarlierHolders: inheritedServers.has(server.id),
			}, now);
		},
		recordChange({id, state}) {
			cooledServers.delete(id);
			if (machine.registry.getById(id).isNothing || state !== 'cold') {
				allocator.remove(id);
				rateAllocator.remove(id);
				knownColdServers.delete(id);
			}
		},
		recordRenewal(renewal, receivedAt) {
			const {entry, acknowledged, observations} = renewal;
			const hasLease = renewal.epoch === epoch;
			allocator.setProcess(entry, renewal.process);
			const isFirst = !heardProcesses.has(renewal.process ?? entry);
			heardProcesses.add(renewal.process ?? entry);
			allocator.report(entry, acknowledged, hasLease ? observations : getInheritedObservations(observations, isFirst), receivedAt);
			const held = {
				entry, acknowledged, permits: renewal.held ?? [], hasLease,
			};
			allocator.inherit(held, receivedAt);
			rateAllocator.inherit(held, receivedAt + termMilliseconds, receivedAt);
		},
		recordOvertaken({entry, acknowledged, observations}, receivedAt) {
			allocator.report(entry, acknowledged, [], receivedAt);
			allocator.countSheds(observations, receivedAt);
		},
		collectCooled(renewal) {
			for (const observation of renewal.observations) {
				if (observation.isCold && machine.registry.getById(observation.server).map(server => server.state === 'warm').unwrapOr(false)) {
					cooledServers.add(observation.server);
				}
			}
		},
		expireLease(entry, now) {
			allocator.expireLease(entry, now);
			rateAllocator.expireLease(entry, now);
		},
		grant: (renewal, liveEntries, receivedAt) => [
			...allocator.grant(renewal.entry, renewal.sequence, liveEntries, receivedAt).map(permit => withCapacity(permit, receivedAt)),
			...rateAllocator.grant({
				entry: renewal.entry, expiresAt: receivedAt + termMilliseconds, entryCount: liveEntries.length, now: receivedAt,
			}).map(permit => ({...permit, slots: 0})),
		],
		getCooled: () => [...cooledServers],
		getWarmed: now => [...allocator.getWarmed(now), ...rateAllocator.getWarmed(now)],
		getUsage: allocator.getUsage,
	};
}

/**
 * Gets what counts of the observations of an entry without a lease of this leader. The earlier leader may have counted the successes, and this
 * leader continues with the slots that it granted. Sheds that no grant has answered count when this leader hears the entry first.
 */
function getInheritedObservations(observations: readonly Observation[], isFirst: boolean): readonly Observation[] {
	return observations.flatMap(observation => {
		const unanswered = {...observation, successes: 0, sheds: 1};
		return [...Array.from({length: isFirst ? observation.unansweredShedReports ?? 0 : 0}, () => unanswered), {...observation, successes: 0}];
	});
}
