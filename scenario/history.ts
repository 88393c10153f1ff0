/** What a scenario records, and the checkers that decide whether a rule was broken. */
import {type RequestRecord} from '../stand-in/index.js';

/** What a caller was told about one sending of a request. */
export type Sending = {
	readonly sendId: string;
	readonly key: string | undefined;
	/** Text that the answer must repeat. */
	readonly token: string;
	readonly entry: string;
	readonly isRead: boolean;
	/** Wall-clock milliseconds. */
	readonly sentAt: number;
	readonly endedAt: number;
	readonly told: 'answered' | 'notRun' | 'unknown';
	readonly reason: string;
	/** Whether a whole answer held exactly the caller's own bytes. */
	readonly isIntact: boolean;
};

/** One operator's attempt to change the configuration. */
export type Change = {
	readonly change: string;
	readonly base: number;
	readonly sentAt: number;
	readonly endedAt: number;
	/** Accepted version, or undefined when it was refused or unanswered. */
	readonly version: number | undefined;
};

/** Version that an entry had in force at a time. */
export type Reading = {readonly entry: string; readonly at: number; readonly version: number; readonly incarnation: number};

/** A moment after which servers must get no new work. */
export type Departure = {
	/** Zone or server that left. */
	readonly zone: string | undefined;
	readonly server: string | undefined;
	/** Time at which the change was accepted, wall-clock milliseconds. */
	readonly acceptedAt: number;
	/** Time at which it came back, or infinity. */
	readonly returnedAt: number;
};

/** Everything that a scenario recorded. */
export type History = {
	readonly sendings: readonly Sending[];
	readonly runs: readonly RequestRecord[];
	readonly changes: readonly Change[];
	readonly readings: readonly Reading[];
	readonly departures: readonly Departure[];
	/** Largest time in milliseconds from acceptance to no new work. */
	readonly departureBound: number;
	/** Probes allowed at one server in any second. */
	readonly probesPerSecond: number;
	/** Largest time in milliseconds from an accepted change until it is in force in every entry. */
	readonly inForceBound: number;
};

/** A broken rule, as a sentence. */
export type Violation = string;

const millisecondsPerSecond = 1000;

/** Checkers by the name that scenarios use. */
export const checkers: Readonly<Record<string, (history: History) => readonly Violation[]>> = {
	'at-most-once': checkAtMostOnce,
	truth: checkTruth,
	whole: checkWhole,
	'no-errors': checkNoErrors,
	departures: checkDepartures,
	cold: checkCold,
	probes: checkProbes,
	configuration: checkConfiguration,
	served: checkServed,
};

/** Finds keys under which more than one run began. */
function checkAtMostOnce(history: History): readonly Violation[] {
	const runs = new Map<string, number>();
	for (const run of history.runs) {
		if (run.key !== undefined && run.hasStarted) {
			runs.set(run.key, (runs.get(run.key) ?? 0) + 1);
		}
	}

	return [...runs].filter(([, count]) => count > 1).map(([key, count]) => `the key ${key} ran ${count} times`);
}

/** Finds sendings that were told "not run" although a server began to run them. */
function checkTruth(history: History): readonly Violation[] {
	const notRun = new Set(history.sendings.filter(sending => sending.told === 'notRun').map(sending => sending.sendId));
	return history.runs.filter(run => run.hasStarted && run.sendId !== undefined && notRun.has(run.sendId)).map(run => `${run.sendId ?? ''} was told "not run" and ran on ${run.server}`);
}

/** Finds answers that are not exactly the caller's own. */
function checkWhole(history: History): readonly Violation[] {
	return history.sendings.filter(sending => sending.told === 'answered' && !sending.isIntact).map(sending => `${sending.sendId} got an answer that is not its own whole one`);
}

/** Finds sendings that were not answered. */
function checkNoErrors(history: History): readonly Violation[] {
	return history.sendings.filter(sending => sending.told !== 'answered').map(sending => `${sending.sendId} through ${sending.entry} was told ${sending.told} (${sending.reason}) at ${sending.sentAt}`);
}

/** Finds a history in which hardly anything was answered. */
function checkServed(history: History): readonly Violation[] {
	const answered = history.sendings.filter(sending => sending.told === 'answered').length;
	return answered * 2 > history.sendings.length ? [] : [`only ${answered} of ${history.sendings.length} sendings were answered`];
}

/** Finds new work at servers that had left. */
function checkDepartures(history: History): readonly Violation[] {
	return history.departures.flatMap(departure => history.runs
		.filter(run => run.outcome !== 'probe'
			&& (departure.zone === run.zone || departure.server === run.server)
			&& run.startedAt > departure.acceptedAt + history.departureBound
			&& run.startedAt < departure.returnedAt)
		.map(run => `${run.server} got work ${run.startedAt - departure.acceptedAt} ms after ${departure.zone ?? departure.server ?? ''} had left`));
}

/** Finds cold servers that had more work than they could carry. */
function checkCold(history: History): readonly Violation[] {
	return history.runs.filter(run => run.isCold && run.inFlight > run.capacity && run.outcome !== 'probe').map(run => `${run.server} was cold with ${run.inFlight} requests and could carry ${run.capacity}`);
}

/** Finds seconds in which a server got more probes than its budget. */
function checkProbes(history: History): readonly Violation[] {
	const byServer = new Map<string, number[]>();
	for (const run of history.runs) {
		if (run.outcome === 'probe') {
			byServer.set(run.server, [...byServer.get(run.server) ?? [], run.startedAt]);
		}
	}

	return [...byServer].flatMap(([server, times]) => times
		.map(time => times.filter(other => other >= time && other < time + millisecondsPerSecond).length)
		.filter(count => count > history.probesPerSecond)
		.map(count => `${server} got ${count} probes in a second; the budget is ${history.probesPerSecond}`));
}

/** Finds lost, doubled or reverted versions. */
function checkConfiguration(history: History): readonly Violation[] {
	return [...checkVersions(history), ...checkReversions(history), ...checkInForce(history)];
}

function checkVersions(history: History): readonly Violation[] {
	const accepted = history.changes.filter(change => change.version !== undefined);
	const byVersion = groupBy(accepted, change => change.version!);
	const doubled = [...byVersion].filter(([, changes]) => new Set(changes.map(change => change.change)).size > 1).map(([version]) => `version ${version} was given to two changes`);
	const wrongBase = accepted.filter(change => change.version !== change.base + 1).map(change => `${change.change} was accepted as version ${change.version ?? 0} on base ${change.base}`);
	const byChange = groupBy(accepted, change => change.change);
	const unstable = [...byChange].filter(([, changes]) => new Set(changes.map(change => change.version)).size > 1).map(([change]) => `${change} was answered with two versions`);
	const late = accepted.flatMap(first => accepted.filter(second => second.sentAt > first.endedAt && (second.version ?? 0) < (first.version ?? 0) && first.change !== second.change && !wasSentBefore(history, second, first.endedAt)).map(second => `${second.change} got version ${second.version ?? 0} after version ${first.version ?? 0} had been answered`));
	return [...doubled, ...wrongBase, ...unstable, ...late];
}

/** A change that is sent again gets its first answer, which may be an old version. */
function wasSentBefore(history: History, change: Change, at: number): boolean {
	return history.changes.some(other => other.change === change.change && other.sentAt < at);
}

function checkReversions(history: History): readonly Violation[] {
	const byEntry = groupBy(history.readings.filter(reading => reading.version > 0), reading => reading.entry);
	return [...byEntry].flatMap(([entry, readings]) => readings
		.filter((reading, index) => index > 0 && reading.version < readings[index - 1]!.version)
		.map(reading => `${entry} went back to version ${reading.version}`));
}

function checkInForce(history: History): readonly Violation[] {
	return history.changes.flatMap(change => history.readings
		.filter(reading => change.version !== undefined && reading.version > 0 && reading.version < change.version && reading.at > change.endedAt + history.inForceBound)
		.slice(0, 1)
		.map(reading => `${reading.entry} still had version ${reading.version} in force ${reading.at - change.endedAt} ms after version ${change.version ?? 0} was accepted`));
}

function groupBy<Item, Key>(items: readonly Item[], getKey: (item: Item) => Key): Map<Key, Item[]> {
	const groups = new Map<Key, Item[]>();
	for (const item of items) {
		const key = getKey(item);
		groups.set(key, [...groups.get(key) ?? [], item]);
	}

	return groups;
}
