/**
 * Simulates a shortage of servers in virtual time. Entries query some servers for their load before
 * each request, and callers retry refused requests a limited number of times within their deadline.
 * A policy decides how an entry admits requests.
 */
import {
	getExpectedSlowdown, hasRoom, isBelowKnee, type Admission,
} from '../../source/choice/index.js';
import {createRandom, type Random} from '../../source/randomness/index.js';
import {createServerModel, type ServerModel} from './server.js';

const stepMilliseconds = 1;
const slots = 6;
const queueLength = 12;
const serversPerRound = 3;
const queryRounds = 2;

/** Mean service time of a request, in milliseconds on a server without load on a normal host. */
const meanServiceMilliseconds = 77;

/** Maximum deviation of a service time from the mean, as a share of the mean. Service times are uniformly distributed around the mean. */
const serviceJitterShare = 0.3;

/** Target latency of a request, in milliseconds. */
const targetMilliseconds = 200;

/** Time for which a caller waits for a response, in milliseconds. */
const deadlineMilliseconds = 1500;

/** Maximum number of retries of a refused request. */
const maximumRetries = 2;

/** Policy by which one entry admits requests. */
export type EntryPolicy = {
	/** Gets the admission of a request whose caller waits for the given remaining time. */
	getAdmission(remainingMilliseconds: number, targetMilliseconds: number, now: number): Admission;
	/**
	 * Records a placement.
	 * @param hasSpareCapacity - Whether a server below its knee, or a fast one beyond it, was found.
	 */
	recordPlacement(hasSpareCapacity: boolean, now: number): void;
	/**
	 * Gets the time after which a refused caller may retry, in milliseconds.
	 * @param jitter - Number from 0 to 1 that spreads the retries of refused callers.
	 */
	getRetryAfterMilliseconds(now: number, jitter: number): number;
};

/** Options of `simulateShortage`. */
export type ShortageOptions = {
	readonly seed: number;
	readonly entries: number;
	readonly servers: number;
	/** Rate of new requests, without retries. */
	readonly requestsPerSecond: number;
	/** Time during which new requests arrive. */
	readonly arrivalMilliseconds: number;
	/** Creates the policy of one entry. */
	createPolicy(): EntryPolicy;
};

/** Number of new requests, and of those that completed within the target latency, completed late or were finally refused. */
export type ShortageResult = {readonly requests: number; readonly withinTarget: number; readonly late: number; readonly refused: number};

type Caller = {readonly startedAt: number; retries: number; readonly serviceMilliseconds: number};

/** Draws distinct servers to query at random, none of them excluded. */
function drawServers(servers: readonly ServerModel[], excluded: ReadonlySet<ServerModel>, random: Random): readonly ServerModel[] {
	const remaining = servers.filter(server => !excluded.has(server));
	const drawnServers: ServerModel[] = [];
	while (drawnServers.length < serversPerRound && remaining.length > 0) {
		drawnServers.push(...remaining.splice(Math.floor(random() * remaining.length), 1));
	}

	return drawnServers;
}

/**
 * Simulates entries and servers under a load.
 * @param options - Load, numbers of entries and servers, and policy.
 */
export function simulateShortage(options: ShortageOptions): ShortageResult {
	// Arrivals have their own random numbers, so that they are the same for every policy.
	const arrivalRandom = createRandom(options.seed);
	const random = createRandom(options.seed + 1);
	const servers = Array.from({length: options.servers}, () => createServerModel(slots, queueLength, random));
	const policies = Array.from({length: options.entries}, () => options.createPolicy());
	const pendingRetries: Array<{readonly at: number; readonly caller: Caller}> = [];
	const result = {
		requests: 0, withinTarget: 0, late: 0, refused: 0,
	};

	function retryOrGiveUp(caller: Caller, policy: EntryPolicy, now: number): void {
		const remainingMilliseconds = caller.startedAt + deadlineMilliseconds - now;
		const retryAfterMilliseconds = Math.min(policy.getRetryAfterMilliseconds(now, random()), remainingMilliseconds / 3);
		if (caller.retries >= maximumRetries || retryAfterMilliseconds <= 0) {
			result.refused++;
			return;
		}

		caller.retries++;
		pendingRetries.push({at: now + retryAfterMilliseconds, caller});
	}

	function placeRequest(caller: Caller, now: number): void {
		const policy = policies[Math.floor(random() * policies.length)]!;
		const admission = policy.getAdmission(caller.startedAt + deadlineMilliseconds - now, targetMilliseconds, now);
		const queriedServers = new Set<ServerModel>();
		let best: ServerModel | undefined;
		for (let round = 0; round < queryRounds && best === undefined; round++) {
			const drawnServers = drawServers(servers, queriedServers, random);
			for (const server of drawnServers) {
				queriedServers.add(server);
			}

			[best] = drawnServers
				.filter(server => hasRoom(server.getReading(), admission))
				.toSorted((one, other) => getExpectedSlowdown(one.getReading()) - getExpectedSlowdown(other.getReading()));
		}

		policy.recordPlacement(best !== undefined || [...queriedServers].some(server => isBelowKnee(server.getReading())), now);
		const isAccepted = best?.tryAdd({
			remainingMilliseconds: caller.serviceMilliseconds, onComplete(at) {
				const isLate = at - caller.startedAt > targetMilliseconds;
				result.late += isLate ? 1 : 0;
				result.withinTarget += isLate ? 0 : 1;
			},
		}) ?? false;
		if (!isAccepted) {
			retryOrGiveUp(caller, policy, now);
		}
	}

	for (let now = 0; now < options.arrivalMilliseconds + deadlineMilliseconds; now += stepMilliseconds) {
		for (const server of servers) {
			server.advance(now, stepMilliseconds);
		}

		if (now < options.arrivalMilliseconds && arrivalRandom() < options.requestsPerSecond * stepMilliseconds / 1000) {
			result.requests++;
			placeRequest({startedAt: now, retries: 0, serviceMilliseconds: meanServiceMilliseconds * (1 + (serviceJitterShare * ((arrivalRandom() * 2) - 1)))}, now);
		}

		const dueRetries = pendingRetries.filter(({at}) => at <= now);
		for (const retry of dueRetries) {
			pendingRetries.splice(pendingRetries.indexOf(retry), 1);
			placeRequest(retry.caller, now);
		}
	}

	return result;
}
