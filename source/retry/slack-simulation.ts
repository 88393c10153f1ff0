/**
 * Plays entries that share a slack while leaders replace each other, in virtual time: messages are lost, late and doubled, and entries are
 * killed and suspended. A leader that was replaced still decides on the renewals that it received before. Only tests use this.
 */
import {type SlackGrant} from '../lease/index.js';
import {createRandom} from '../randomness/index.js';
import {
	createEarlierProcess, createSimulatedProcess, usedShare, type SimulatedGrant, type SimulatedProcess, type SimulatedRenewal,
} from './simulated-slack-process.js';
import {createSlackAccount, slackWindowMilliseconds, type SlackAccount} from './index.js';

const termMilliseconds = 3000;
const renewMilliseconds = 500;
const stepMilliseconds = 20;
const endAt = 240_000;

/** Window that counts, which no attempt of this simulation reaches late. */
const countedMilliseconds = 10_000;

const slack = 24;
const ratio = 0.2;
const reportingCount = 4;

/** Ways in which a leader or an entry may be wrong. */
export type SlackFault = 'none' | 'forgets-lost-holders' | 'new-leader-lends' | 'counts-newest-grant' | 'reports-nothing-used' | 'counts-no-equal-parts' | 'restart-is-same-holder';

/** What a run showed. */
export type SlackRun = {
	/** Most that all entries together made beyond the ratio in any window, as a share of the slack that they use. */
	readonly largestShare: number;
	/** Largest part that an entry held. */
	readonly largestPart: number;
};

type Leader = {readonly account: SlackAccount; readonly epoch: number; readonly isEarlierRelease: boolean};
type Entry = {readonly name: string; process: SimulatedProcess; suspendedUntil: number; isInTrouble: boolean; changesAt: number; renewsAt: number};
type Event = {readonly at: number; readonly order: number; run(): void};

/**
 * Plays a run of four minutes. Entries of an earlier release take part in every other seed.
 * @param seed - Seed of the run.
 * @param fault - What is wrong.
 */
export function playSlackRun(seed: number, fault: SlackFault): SlackRun {
	const random = createRandom(seed);
	const earlierCount = seed % 2 * 2;
	const entryCount = reportingCount + earlierCount;
	const entries: readonly Entry[] = Array.from({length: entryCount}, (_, index) => ({
		name: `e${index}`,
		process: index < reportingCount ? createProcess(`e${index}`) : createEarlierProcess(ratio * usedShare, slack * usedShare / entryCount),
		suspendedUntil: 0,
		isInTrouble: false,
		changesAt: 0,
		renewsAt: random() * renewMilliseconds,
	}));
	const changes: Array<{readonly at: number; readonly change: number}> = [];
	let events: Event[] = [];
	let order = 0;
	let now = 0;
	let epoch = 0;
	let leader = createLeader();
	let nextLeaderAt = earlierCount > 0 ? 2000 : 30_000 * random();
	let sum = 0;
	let largest = 0;
	let largestPart = 0;

	function createLeader(): Leader {
		epoch++;
		const isLending = epoch === 1 || fault === 'new-leader-lends';
		return {
			epoch,
			// A leader knows the entries of earlier releases before it lends anything.
			isEarlierRelease: (epoch === 1 && earlierCount > 0) || random() < 0.05,
			account: createSlackAccount({
				termMilliseconds,
				windowMilliseconds: fault === 'forgets-lost-holders' ? 0 : slackWindowMilliseconds,
				withheldUntil: isLending ? now : now + termMilliseconds + slackWindowMilliseconds,
			}),
		};
	}

	function createProcess(name: string): SimulatedProcess {
		return createSimulatedProcess({
			holder: fault === 'restart-is-same-holder' ? name : `${name} ${random()}`, ratio, slack, clockRate: 0.995 + (random() * 0.01), getTime: () => now,
		});
	}

	function schedule(delay: number, run: () => void): void {
		events.push({at: now + delay, order: order++, run});
	}

	/** Sends a message: mostly at once, sometimes late, lost or twice. Those of earlier releases always arrive. */
	function send({process}: Entry, run: () => void): void {
		if (process.isEarlierRelease) {
			schedule(random() * 40, run);
			return;
		}

		const isDoubled = random() < 0.06;
		for (let copy = 0; copy < (isDoubled ? 2 : 1); copy++) {
			if (random() >= 0.08) {
				schedule(random() < 0.85 ? random() * 40 : random() * 4000, run);
			}
		}
	}

	function renew(entry: Entry): void {
		const {process} = entry;
		const renewal = process.createRenewal(now);
		send(entry, () => {
			const {account, epoch: grantEpoch, isEarlierRelease} = leader;
			const receivedAt = now;
			schedule(random() < 0.95 ? random() * 20 : random() * 3000, () => {
				const granted = isEarlierRelease ? undefined : decide(account, entry, {renewal, receivedAt});
				send(entry, () => {
					deliver(entry, process, {
						sequence: renewal.sequence, epoch: grantEpoch, termMilliseconds, slack: granted,
					});
				});
			});
		});
	}

	function decide(account: SlackAccount, {name}: Entry, {renewal, receivedAt}: {readonly renewal: SimulatedRenewal; readonly receivedAt: number}): SlackGrant | undefined {
		const {holder, sequence, acknowledged, slack: report} = renewal;
		if (report === undefined) {
			if (fault !== 'counts-no-equal-parts') {
				account.countEqualPart(name, entryCount, receivedAt);
			}

			return undefined;
		}

		return account.lend({
			holder,
			sequence,
			acknowledged: fault === 'counts-newest-grant' ? sequence : acknowledged,
			report: {...report, part: fault === 'counts-newest-grant' ? 0 : report.part, used: fault === 'reports-nothing-used' ? 0 : report.used},
			isFinal: false,
			hasDocument: true,
			receivedAt,
		});
	}

	/** Hands a grant to the process that asked for it, once it runs. */
	function deliver(entry: Entry, process: SimulatedProcess, grant: SimulatedGrant): void {
		if (now < entry.suspendedUntil) {
			schedule(entry.suspendedUntil - now, () => {
				deliver(entry, process, grant);
			});
		} else if (entry.process === process) {
			process.apply(grant, now);
		}
	}

	function count(change: number): void {
		changes.push({at: now, change});
		sum += change;
		largest = Math.max(largest, sum);
	}

	function removeUncounted(): void {
		while (changes.length > 0 && changes[0]!.at <= now - countedMilliseconds) {
			sum -= changes.shift()!.change;
		}

		largest = Math.max(largest, sum);
	}

	function work({process, isInTrouble}: Entry): void {
		// The budgets of earlier releases fill while they are calm.
		if (random() < (process.isEarlierRelease && !isInTrouble ? 0.05 : 0.003)) {
			process.deposit();
			count(-ratio * usedShare);
		}

		if (random() < (isInTrouble ? 0.5 : 0.0003) && process.tryWithdraw(now)) {
			count(1);
		}

		largestPart = Math.max(largestPart, process.getPart(now));
	}

	function disturb(entry: Entry): void {
		if (now >= entry.changesAt) {
			entry.isInTrouble = random() < 0.25;
			entry.changesAt = now + (random() * 6000);
		}

		// Entries of an earlier release stay in touch: one that comes back takes its part unasked.
		if (!entry.process.isEarlierRelease && random() < 0.0006) {
			const isKilled = random() < 0.5;
			entry.process = isKilled ? createProcess(entry.name) : entry.process;
			entry.suspendedUntil = now + (random() * (isKilled ? 1000 : 9000));
		}
	}

	function runDueEvents(): void {
		const due = events.filter(event => event.at <= now).toSorted((one, other) => one.at - other.at || one.order - other.order);
		events = events.filter(event => event.at > now);
		for (const event of due) {
			event.run();
		}
	}

	function play(entry: Entry): void {
		disturb(entry);
		if (now >= entry.suspendedUntil) {
			work(entry);
			if (now >= entry.renewsAt) {
				entry.renewsAt = now + renewMilliseconds;
				renew(entry);
			}
		}
	}

	for (; now < endAt; now += stepMilliseconds) {
		removeUncounted();
		if (now >= nextLeaderAt) {
			leader = createLeader();
			nextLeaderAt = now + (random() < 0.3 ? random() * 3000 : 5000 + (random() * 60_000));
		}

		runDueEvents();
		for (const entry of entries) {
			play(entry);
		}
	}

	return {largestShare: largest / (slack * usedShare), largestPart};
}
