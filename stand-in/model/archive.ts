/**
 * Replays an archive in virtual time: 49 entries with links of 11 to 16 Mbit/s, thumbnails, and bursts of master files. Each link carries
 * bytes in the order in which they are written, and timers are late, as in a process with less than one core.
 */
import {createLink, type Link, type LinkUse} from '../../source/link/index.js';
import {createRandom, type Random} from '../../source/randomness/index.js';

const entryCount = 49;
const seconds = 30;
const thumbnailBytes = 1500;
const thumbnailsPerSecond = 40;
const meanMasterBytes = 90_000;
const maximumMasterBytes = 540_000;
const mastersPerBurst = 24;
const burstMilliseconds = 500;
/** Target latency of master files, in milliseconds. */
export const targetMilliseconds = 1200;
const workMilliseconds = 220;
const slowShare = 0.27;
const slowFactor = 5;
const maximumCalls = 4;

/** Overhead of headers of TCP and IP. */
const wireFactor = 1.04;

/** Maximum delay of a timer in a process with less than one core, in milliseconds. */
const maximumTimerDelayMilliseconds = 10;

type Event = {readonly at: number; readonly run: () => void};

/** Runs events in the order of their times. */
function createClock(): {getTime(): number; at(time: number, run: () => void): void; run(): void} {
	const events: Event[] = [];
	let now = 0;
	return {
		getTime: () => now,
		at(time, run) {
			let index = events.length;
			while (index > 0 && events[index - 1]!.at < time) {
				index--;
			}

			events.splice(index, 0, {at: time, run});
		},
		run() {
			for (let event = events.pop(); event !== undefined; event = events.pop()) {
				now = event.at;
				event.run();
			}
		},
	};
}

/** One direction of a link, which carries bytes in the order in which they are written. */
type Wire = {
	/** Writes bytes, and gets the time at which the last one arrives. */
	write(bytes: number): number;
	/** Gets the time for which bytes that are written now wait, in milliseconds. */
	getDelay(): number;
};

function createWire(bytesPerMillisecond: number, getTime: () => number): Wire {
	let freeAt = 0;
	return {
		write(bytes) {
			freeAt = Math.max(freeAt, getTime()) + (bytes * wireFactor / bytesPerMillisecond);
			return freeAt;
		},
		getDelay: () => Math.max(0, freeAt - getTime()),
	};
}

type Entry = {readonly link: Link | undefined; readonly outward: Wire; readonly inward: Wire; heldBytes: number};

/** What happened in a replay. */
export type ArchiveReport = {
	/** Delays of thumbnails at links, in milliseconds. */
	readonly delays: number[];
	/** Times that master files took, in milliseconds, without those that were refused for good. */
	readonly times: number[];
	masters: number;
	refusals: number;
	maximumHeldBytes: number;
};

/** Gets a quantile of some values. */
export function getQuantile(values: readonly number[], quantile: number): number {
	return values.toSorted((one, other) => one - other)[Math.floor(values.length * quantile)] ?? 0;
}

function getMasterBytes(random: Random): number {
	return Math.min(maximumMasterBytes, Math.round(-Math.log(1 - random()) * meanMasterBytes) + 1);
}

/** Gets the share of the master files that arrived within their target. */
export function getShareInTime({times, masters}: ArchiveReport): number {
	return times.filter(time => time <= targetMilliseconds).length / masters;
}

/** What is replayed. */
export type ArchiveOptions = {
	readonly seed: number;
	/** Whether large responses leave as the links carry them. */
	readonly isPaced: boolean;
	readonly hasMasters: boolean;
};

/**
 * Replays the archive.
 * @param options - Seed, and what is replayed.
 */
export function replayArchive({seed, isPaced, hasMasters}: ArchiveOptions): ArchiveReport {
	const random = createRandom(seed);
	const clock = createClock();
	const {getTime} = clock;
	const endAt = seconds * 1000;
	const report: ArchiveReport = {
		delays: [], times: [], masters: 0, refusals: 0, maximumHeldBytes: 0,
	};
	const entries = Array.from({length: entryCount}, (): Entry => {
		const megabitsPerSecond = 11 + (random() * 5);
		return {
			link: isPaced
				? createLink({
					megabitsPerSecond, getTime, schedule(run, milliseconds) {
						clock.at(getTime() + Math.max(1, milliseconds) + (random() * maximumTimerDelayMilliseconds), run);
					},
				})
				: undefined,
			outward: createWire(megabitsPerSecond * 125, getTime),
			inward: createWire(megabitsPerSecond * 125, getTime),
			heldBytes: 0,
		};
	});

	function sendThumbnail(entry: Entry): void {
		report.delays.push(entry.outward.getDelay());
		entry.outward.write(thumbnailBytes);
		entry.inward.write(thumbnailBytes);
		entry.link?.recordSmall(thumbnailBytes);
		if (getTime() < endAt) {
			clock.at(getTime() - (Math.log(1 - random()) * 1000 / thumbnailsPerSecond), () => {
				sendThumbnail(entry);
			});
		}
	}

	function hold(entry: Entry, bytes: number): void {
		entry.heldBytes += bytes;
		report.maximumHeldBytes = Math.max(report.maximumHeldBytes, entry.heldBytes);
	}

	/** Sends a master file whole, or as the link takes it. */
	function sendMaster(entry: Entry, use: LinkUse | undefined, bytes: number, startedAt: number): void {
		hold(entry, bytes);
		let leftBytes = bytes;
		function write(written: number): void {
			leftBytes -= written;
			const arrivesAt = entry.outward.write(written);
			entry.heldBytes -= written;
			if (leftBytes === 0) {
				report.times.push(arrivesAt - startedAt);
				clock.at(arrivesAt, () => {
					use?.end();
				});
			}
		}

		if (use === undefined) {
			write(bytes);
		} else {
			use.begin(bytes, write);
			use.offer(bytes);
		}
	}

	function callForMaster(entry: Entry, bytes: number, startedAt: number, callsLeft: number): void {
		function work(use: LinkUse | undefined): void {
			const milliseconds = workMilliseconds * (random() < slowShare ? slowFactor : 1) * (0.5 + random());
			clock.at(getTime() + milliseconds, () => {
				clock.at(entry.inward.write(bytes), () => {
					sendMaster(entry, use, bytes, startedAt);
				});
			});
		}

		function recordRefusal(milliseconds: number): void {
			report.refusals++;
			if (callsLeft > 0) {
				clock.at(getTime() + (milliseconds * (1 + random())), () => {
					callForMaster(entries[Math.floor(random() * entryCount)]!, bytes, startedAt, callsLeft - 1);
				});
			}
		}

		if (entry.link === undefined) {
			work(undefined);
			return;
		}

		let isWaiting = true;
		const request = {
			route: 'master', targetMilliseconds, leftMilliseconds: targetMilliseconds - (getTime() - startedAt), onAdmitted() {
				isWaiting = false;
				if (decision.kind === 'waiting') {
					work(decision.use);
				}
			},
		};
		const decision = entry.link.arrive(request);
		if (decision.kind === 'refused') {
			recordRefusal(decision.retryAfterMilliseconds);
		} else if (decision.kind === 'admitted') {
			work(decision.use);
		} else {
			clock.at(getTime() + decision.maximumMilliseconds, () => {
				if (isWaiting) {
					decision.use.end();
					recordRefusal(entry.link!.getWait(request));
				}
			});
		}
	}

	function startBurst(): void {
		const entry = entries[Math.floor(random() * entryCount)]!;
		for (let index = 0; index < mastersPerBurst; index++) {
			report.masters++;
			callForMaster(entry, getMasterBytes(random), getTime(), maximumCalls - 1);
		}

		if (getTime() < endAt) {
			clock.at(getTime() + burstMilliseconds, startBurst);
		}
	}

	for (const entry of entries) {
		sendThumbnail(entry);
	}

	if (hasMasters) {
		startBurst();
	}

	clock.run();
	return report;
}
