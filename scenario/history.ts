/** The history that a scenario records, and the checks that find violations in it. */
import {type RequestRecord} from '../stand-in/index.js';
import {checkLeaving, checkPauses} from './stated-withdrawals.js';

/** One attempt by a caller to send a request. A retry of the request is a further attempt. */
export type CallerAttempt = {
	/** Unique id of the attempt. */
	readonly sendId: string;
	/** Idempotency key; undefined for a read. */
	readonly key: string | undefined;
	/** Text with which the body of the response must begin. */
	readonly token: string;
	readonly entry: string;
	readonly isRead: boolean;
	/** Wall-clock milliseconds. */
	readonly sentAt: number;
	readonly endedAt: number;
	/** `answered`: complete response with status 200. `notRun`: reported as not run, or refused connection. `unknown`: a server may have run the request. */
	readonly outcome: 'answered' | 'notRun' | 'unknown';
	/** Reason why the request was not answered; empty if it was. */
	readonly reason: string;
	/** Whether the response is complete, has the digest that the server declared and belongs to this request. */
	readonly isIntact: boolean;
};

/** One attempt by an operator to change the configuration. A resent change has the same id. */
export type ChangeAttempt = {
	readonly changeId: string;
	readonly base: number;
	readonly sentAt: number;
	readonly endedAt: number;
	/** Version as which the change was accepted; undefined if it was refused or no response came. */
	readonly version: number | undefined;
};

/** Version that an entry reported to be in force at a time. */
export type VersionSample = {readonly entry: string; readonly at: number; readonly version: number; readonly incarnation: number};

/** Departure of a server, or of all servers in a zone, after which they must not receive requests. */
export type Departure = {
	/** Zone that left, or undefined if a server left. */
	readonly zone: string | undefined;
	/** Server that left, or undefined if a zone left. */
	readonly server: string | undefined;
	/** Wall-clock time at which the departure was accepted, in milliseconds. */
	readonly acceptedAt: number;
	/** Wall-clock time of the return in milliseconds, or infinity. */
	readonly returnedAt: number;
};

/** Everything that a scenario recorded. */
export type History = {
	readonly callerAttempts: readonly CallerAttempt[];
	readonly requestRecords: readonly RequestRecord[];
	readonly changeAttempts: readonly ChangeAttempt[];
	readonly versionSamples: readonly VersionSample[];
	readonly departures: readonly Departure[];
	/** Time after the acceptance of a departure within which requests may still arrive. */
	readonly departureLimitMilliseconds: number;
	/** Maximum number of probes that one server may receive within any second. */
	readonly probesPerSecond: number;
	/** Time after the acceptance of a change within which entries may still have an earlier version in force. */
	readonly inForceLimitMilliseconds: number;
};

/** Description of a violation. */
export type Violation = string;

const millisecondsPerSecond = 1000;

/** Checkers by the names that the `check` statement uses. */
export const checkers: Readonly<Record<string, (history: History) => readonly Violation[]>> = {
	'at-most-once': checkAtMostOnce,
	truth: checkNotRunOutcomes,
	whole: checkIntactResponses,
	'no-errors': checkNoErrors,
	departures: checkDepartures,
	cold: checkColdCapacity,
	probes: checkProbeRate,
	configuration: checkConfiguration,
	served: checkAnsweredShare,
	leaving: checkLeaving,
	'retry-after': checkPauses,
};

/** Finds idempotency keys whose request servers began to run more than once. */
function checkAtMostOnce(history: History): readonly Violation[] {
	const runCounts = new Map<string, number>();
	for (const record of history.requestRecords) {
		if (record.key !== undefined && record.hasStarted) {
			runCounts.set(record.key, (runCounts.get(record.key) ?? 0) + 1);
		}
	}

	return [...runCounts].filter(([, count]) => count > 1).map(([key, count]) => `the request with key ${key} ran ${count} times`);
}

/** Finds attempts that were reported as not run although a server began to run them. */
function checkNotRunOutcomes(history: History): readonly Violation[] {
	const notRun = new Set(history.callerAttempts.filter(attempt => attempt.outcome === 'notRun').map(attempt => attempt.sendId));
	return history.requestRecords
		.filter(record => record.hasStarted && record.sendId !== undefined && notRun.has(record.sendId))
		.map(record => `attempt ${record.sendId ?? ''} was reported as not run, but ran on ${record.server}`);
}

/** Finds complete responses whose body is altered or belongs to another request. */
function checkIntactResponses(history: History): readonly Violation[] {
	return history.callerAttempts
		.filter(attempt => attempt.outcome === 'answered' && !attempt.isIntact)
		.map(attempt => `attempt ${attempt.sendId} received a response that is altered or belongs to another request`);
}

/** Finds attempts that were not answered. */
function checkNoErrors(history: History): readonly Violation[] {
	return history.callerAttempts
		.filter(attempt => attempt.outcome !== 'answered')
		.map(attempt => `attempt ${attempt.sendId} through ${attempt.entry} failed with outcome ${attempt.outcome} (${attempt.reason}); it was sent at ${attempt.sentAt}`);
}

/** Checks that more than half of the attempts were answered. */
function checkAnsweredShare(history: History): readonly Violation[] {
	const answered = history.callerAttempts.filter(attempt => attempt.outcome === 'answered').length;
	return answered * 2 > history.callerAttempts.length ? [] : [`only ${answered} of ${history.callerAttempts.length} attempts were answered`];
}

/** Finds requests that reached servers too long after their departure. */
function checkDepartures(history: History): readonly Violation[] {
	return history.departures.flatMap(departure => history.requestRecords
		.filter(record => record.outcome !== 'probe'
			&& (departure.zone === record.zone || departure.server === record.server)
			&& record.startedAt > departure.acceptedAt + history.departureLimitMilliseconds
			&& record.startedAt < departure.returnedAt)
		.map(record => `${record.server} received a request ${record.startedAt - departure.acceptedAt} ms after the departure of ${departure.zone ?? departure.server ?? ''} was accepted`));
}

/** Finds cold servers with more requests in flight than their capacity. */
function checkColdCapacity(history: History): readonly Violation[] {
	return history.requestRecords
		.filter(record => record.isCold && record.inFlight > record.capacity && record.outcome !== 'probe')
		.map(record => `${record.server} was cold and had ${record.inFlight} requests in flight; its capacity was ${record.capacity}`);
}

/** Finds servers that received more probes within a second than allowed, also if each arrived as early as it may have. */
function checkProbeRate(history: History): readonly Violation[] {
	const byServer = new Map<string, RequestRecord[]>();
	for (const record of history.requestRecords) {
		if (record.outcome === 'probe') {
			byServer.set(record.server, [...byServer.get(record.server) ?? [], record]);
		}
	}

	return [...byServer].flatMap(([server, probes]) => probes
		.map(probe => probes.filter(other => other.startedAt >= probe.startedAt && other.startedAt < probe.earliestAt + millisecondsPerSecond).length)
		.filter(count => count > history.probesPerSecond)
		.map(count => `${server} received ${count} probes within a second; the limit is ${history.probesPerSecond}`));
}

/** Finds versions that are assigned twice or out of order, that are reverted in an entry, or that are in force too late. */
function checkConfiguration(history: History): readonly Violation[] {
	return [...checkVersions(history), ...checkReversions(history), ...checkInForceTime(history)];
}

/** Finds versions that do not follow their base, are assigned to several changes or out of order, or differ between responses to the same change. */
function checkVersions(history: History): readonly Violation[] {
	const accepted = history.changeAttempts.filter(change => change.version !== undefined);
	const byVersion = groupBy(accepted, change => change.version!);
	const duplicates = [...byVersion]
		.filter(([, changes]) => new Set(changes.map(change => change.changeId)).size > 1)
		.map(([version]) => `version ${version} was assigned to more than one change`);
	const wrongBase = accepted
		.filter(change => change.version !== change.base + 1)
		.map(change => `change ${change.changeId} was accepted as version ${change.version ?? 0}, which does not follow its base ${change.base}`);
	const byChange = groupBy(accepted, change => change.changeId);
	const inconsistent = [...byChange]
		.filter(([, changes]) => new Set(changes.map(change => change.version)).size > 1)
		.map(([changeId]) => `change ${changeId} was accepted as more than one version`);
	const outOfOrder = accepted.flatMap(earlier => accepted
		.filter(later => later.sentAt > earlier.endedAt
			&& (later.version ?? 0) < (earlier.version ?? 0)
			&& earlier.changeId !== later.changeId
			&& !wasSentBefore(history, later, earlier.endedAt))
		.map(later => `change ${later.changeId} was accepted as version ${later.version ?? 0}, although version ${earlier.version ?? 0} was accepted before it was sent`));
	return [...duplicates, ...wrongBase, ...inconsistent, ...outOfOrder];
}

/** Checks whether a change was sent before a time. A resent change is reported with the version of its first acceptance, which may be an old one. */
function wasSentBefore(history: History, change: ChangeAttempt, at: number): boolean {
	return history.changeAttempts.some(other => other.changeId === change.changeId && other.sentAt < at);
}

/** Finds entries that reverted to an earlier version. */
function checkReversions(history: History): readonly Violation[] {
	const byEntry = groupBy(history.versionSamples.filter(sample => sample.version > 0), sample => sample.entry);
	return [...byEntry].flatMap(([entry, samples]) => samples
		.filter((sample, index) => index > 0 && sample.version < samples[index - 1]!.version)
		.map(sample => `${entry} reverted to version ${sample.version}`));
}

/** Finds entries that had an earlier version in force for too long after a change was accepted. */
function checkInForceTime(history: History): readonly Violation[] {
	return history.changeAttempts.flatMap(change => history.versionSamples
		.filter(sample => change.version !== undefined && sample.version > 0 && sample.version < change.version && sample.at > change.endedAt + history.inForceLimitMilliseconds)
		.slice(0, 1)
		.map(sample => `${sample.entry} still had version ${sample.version} in force ${sample.at - change.endedAt} ms after version ${change.version ?? 0} was accepted`));
}

function groupBy<Item, Key>(items: readonly Item[], getKey: (item: Item) => Key): Map<Key, Item[]> {
	const groups = new Map<Key, Item[]>();
	for (const item of items) {
		const key = getKey(item);
		groups.set(key, [...groups.get(key) ?? [], item]);
	}

	return groups;
}
