/** What a scenario records while it runs, the checks of that history, and the result. */
import {type RequestRecord} from '../stand-in/index.js';
import {
	checkers, type CallerAttempt, type ChangeAttempt, type Departure, type VersionSample, type Violation,
} from './history.js';
import {type AcceptedChange} from './operators.js';

/** Time at which a statement began, with its line number. */
export type StatementStart = {readonly line: number; readonly at: number};

/** Record of a running scenario. */
export type Recording = {
	readonly statementStarts: StatementStart[];
	readonly callerAttempts: CallerAttempt[];
	readonly requestRecords: RequestRecord[];
	readonly changeAttempts: ChangeAttempt[];
	readonly versionSamples: VersionSample[];
	readonly departures: Departure[];
	readonly violations: Violation[];
};

/** Result of a scenario. */
export type ScenarioResult = {
	readonly seed: number;
	readonly violations: readonly Violation[];
	/** Folder with the logs, data and history of a scenario that failed; undefined if it held. */
	readonly keptFolder: string | undefined;
	/** Number of attempts by callers. */
	readonly attempts: number;
	/** Number of attempts that received a complete response with status 200. */
	readonly answered: number;
	/** Number of requests that servers recorded, including probes. */
	readonly requests: number;
	/** Numbers of the other attempts, by outcome and reason. */
	readonly failureCounts: Readonly<Record<string, number>>;
};

/** Creates an empty record. */
export function createRecording(): Recording {
	return {
		statementStarts: [], callerAttempts: [], requestRecords: [], changeAttempts: [], versionSamples: [], departures: [], violations: [],
	};
}

/**
 * Records that a zone was taken out of service or put back. It is out from the response that accepted the change, and back from
 * the sending of the change, which may take effect long before the response arrives.
 * @param departures - Recorded departures.
 * @param action - Change of the zone.
 * @param zone - Name of the zone.
 * @param change - Times of the change.
 */
export function recordZoneChange(departures: Departure[], action: 'out' | 'in', zone: string, change: Pick<AcceptedChange, 'sentAt' | 'acceptedAt'>): void {
	if (action === 'out') {
		departures.push({
			zone, server: undefined, acceptedAt: change.acceptedAt, returnedAt: Number.POSITIVE_INFINITY,
		});
		return;
	}

	for (const [index, departure] of departures.entries()) {
		if (departure.zone === zone) {
			departures[index] = {...departure, returnedAt: Math.min(departure.returnedAt, change.sentAt)};
		}
	}
}

/**
 * Records a violation if requests have crashed more than two servers.
 * @param recording - Record of the scenario.
 */
export function checkCrashes({requestRecords, violations}: Recording): void {
	const crashCount = requestRecords.filter(record => record.outcome === 'crashed').length;
	if (crashCount > 2) {
		violations.push(`the crashing request crashed ${crashCount} servers; at most 2 may crash`);
	}
}

/**
 * Checks the history, and records the violations.
 * @param recording - Record of the scenario.
 * @param names - Names of the checks.
 */
export function runChecks(recording: Recording, names: readonly string[]): void {
	const history = {
		...recording, departureLimitMilliseconds: 5000, probesPerSecond: 1, inForceLimitMilliseconds: 5000,
	};
	for (const name of names) {
		const checker = checkers[name];
		if (checker === undefined) {
			throw new Error(`unknown check "${name}"`);
		}

		recording.violations.push(...checker(history).slice(0, 5).map(violation => `${name}: ${violation}`));
	}
}

/**
 * Gets the result of a scenario that has ended.
 * @param recording - Record of the scenario.
 * @param seed - Seed of the scenario.
 * @param keptFolder - Folder with the logs of a scenario that failed.
 */
export function getResult({callerAttempts, requestRecords, violations}: Recording, seed: number, keptFolder: string | undefined): ScenarioResult {
	return {
		seed,
		violations,
		keptFolder,
		attempts: callerAttempts.length,
		answered: callerAttempts.filter(attempt => attempt.outcome === 'answered').length,
		requests: requestRecords.length,
		failureCounts: countFailures(callerAttempts),
	};
}

/** Counts the attempts that were not answered, by outcome and reason. */
function countFailures(attempts: readonly CallerAttempt[]): Readonly<Record<string, number>> {
	const counts: Record<string, number> = {};
	for (const {outcome, reason} of attempts) {
		if (outcome !== 'answered') {
			const label = `${outcome} ${reason}`;
			counts[label] = (counts[label] ?? 0) + 1;
		}
	}

	return counts;
}
