/**
 * Replays a shortage of servers in virtual time: entries that ask some servers before each
 * request, and callers that return after a refusal as often and as long as their deadline
 * allows. How a request is admitted is up to the policy.
 */
import {
	getExpectedSlowdown, hasRoom, isBelowKnee, type Admission,
} from '../../source/choice/index.js';
import {createRandom, type Random} from '../../source/randomness/index.js';
import {createServerModel, type ServerModel} from './server.js';

const stepMilliseconds = 1;
const slots = 6;
const queueLength = 12;
const askedServers = 3;
const askingRounds = 2;

/** Work of a request in milliseconds of a quiet server, evenly spread by a share of it. */
const workMilliseconds = 77;
const workSpread = 0.3;

/** Time within which callers want an answer, and for how long they wait, in milliseconds. */
const targetMilliseconds = 200;
const deadlineMilliseconds = 1500;

/** Times that a caller returns after a refusal at most. */
const largestReturns = 2;

/** How one entry admits requests. */
export type EntryPolicy = {
	/** Decides on a request whose caller will wait for so long. */
	getAdmission(waitMilliseconds: number, targetMilliseconds: number, now: number): Admission;
	/** Takes whether a placement found a server below its knee, or a quick one beyond it. */
	placed(isRelieved: boolean, now: number): void;
	/** Gets the time after which a refused caller may return, in milliseconds. */
	getReturnMilliseconds(now: number, draw: number): number;
};

/** A load to replay. */
export type Shortage = {
	readonly seed: number;
	readonly entries: number;
	readonly servers: number;
	/** New requests a second. */
	readonly requestsPerSecond: number;
	readonly milliseconds: number;
	createPolicy(): EntryPolicy;
};

/** What became of the requests. */
export type ShortageOutcome = {readonly asked: number; readonly inTarget: number; readonly late: number; readonly refused: number};

type Caller = {readonly startedAt: number; returns: number; readonly work: number};

/** Draws servers to ask, no one twice. */
function draw(servers: readonly ServerModel[], excluded: ReadonlySet<ServerModel>, random: Random): readonly ServerModel[] {
	const left = servers.filter(server => !excluded.has(server));
	const drawn: ServerModel[] = [];
	while (drawn.length < askedServers && left.length > 0) {
		drawn.push(...left.splice(Math.floor(random() * left.length), 1));
	}

	return drawn;
}

/**
 * Replays a load.
 * @param shortage - Load, size and policy.
 */
export function replayShortage(shortage: Shortage): ShortageOutcome {
	// Arrivals are drawn apart, so that every policy meets the same ones.
	const arrivals = createRandom(shortage.seed);
	const random = createRandom(shortage.seed + 1);
	const servers = Array.from({length: shortage.servers}, () => createServerModel(slots, queueLength, random));
	const policies = Array.from({length: shortage.entries}, () => shortage.createPolicy());
	const returning: Array<{readonly at: number; readonly caller: Caller}> = [];
	const outcome = {
		asked: 0, inTarget: 0, late: 0, refused: 0,
	};

	function refuse(caller: Caller, policy: EntryPolicy, now: number): void {
		const left = caller.startedAt + deadlineMilliseconds - now;
		const wait = Math.min(policy.getReturnMilliseconds(now, random()), left / 3);
		if (caller.returns >= largestReturns || wait <= 0) {
			outcome.refused++;
			return;
		}

		caller.returns++;
		returning.push({at: now + wait, caller});
	}

	function place(caller: Caller, now: number): void {
		const policy = policies[Math.floor(random() * policies.length)]!;
		const admission = policy.getAdmission(caller.startedAt + deadlineMilliseconds - now, targetMilliseconds, now);
		const asked = new Set<ServerModel>();
		let best: ServerModel | undefined;
		for (let round = 0; round < askingRounds && best === undefined; round++) {
			const drawn = draw(servers, asked, random);
			for (const server of drawn) {
				asked.add(server);
			}

			[best] = drawn
				.filter(server => hasRoom(server.getReading(), admission))
				.toSorted((one, other) => getExpectedSlowdown(one.getReading()) - getExpectedSlowdown(other.getReading()));
		}

		policy.placed(best !== undefined || [...asked].some(server => isBelowKnee(server.getReading())), now);
		const isTaken = best?.take({
			left: caller.work, done(at) {
				const isLate = at - caller.startedAt > targetMilliseconds;
				outcome.late += isLate ? 1 : 0;
				outcome.inTarget += isLate ? 0 : 1;
			},
		}) ?? false;
		if (!isTaken) {
			refuse(caller, policy, now);
		}
	}

	for (let now = 0; now < shortage.milliseconds + deadlineMilliseconds; now += stepMilliseconds) {
		for (const server of servers) {
			server.step(now, stepMilliseconds);
		}

		if (now < shortage.milliseconds && arrivals() < shortage.requestsPerSecond * stepMilliseconds / 1000) {
			outcome.asked++;
			place({startedAt: now, returns: 0, work: workMilliseconds * (1 + (workSpread * ((arrivals() * 2) - 1)))}, now);
		}

		const due = returning.filter(({at}) => at <= now);
		for (const entry of due) {
			returning.splice(returning.indexOf(entry), 1);
			place(entry.caller, now);
		}
	}

	return outcome;
}
