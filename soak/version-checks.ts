/** Checks of what the history of a run shows of the versions of the configuration: those in force only go forward, and an acknowledged one is in force. */
import {isDisturbed, stretchMilliseconds, type Violation} from './disturbances.js';
import {groupBy} from './group-by.js';
import {type Exchange, type History} from './history.js';

/** Time after the acknowledgement of a version from which it binds (`config_ms`). */
const configurationBoundMilliseconds = 2000;

/** Time after the effect of a version was seen from which an entry must not fall behind it (`rollback_slack_ms`). */
const rollbackSlackMilliseconds = 250;

/** Request that shows whether a version is in force: it was served, or refused as unknown. */
type Sighting = Exchange & {readonly marker: number; readonly isInForce: boolean};

function getSightings({exchanges}: History): readonly Sighting[] {
	return exchanges.flatMap(exchange => {
		const {marker, outcome} = exchange;
		const status = typeof outcome === 'string' ? 0 : outcome.status;
		const isInForce = status >= 200 && status < 300;
		return marker === undefined || (!isInForce && status !== 404) ? [] : [{...exchange, marker, isInForce}];
	});
}

/** Gets the highest version that was acknowledged by a time. */
function getAcknowledged({versions}: History, at: number): number {
	return Math.max(0, ...versions.filter(({acknowledgedAt}) => acknowledgedAt !== undefined && acknowledgedAt < at).map(({number}) => number));
}

function createViolation(at: number, text: string): Violation {
	return {rule: 'CONFIG', at, text};
}

/** Checks that requests do not find an acknowledged version missing at an entry in touch. */
function checkInForce(history: History, sightings: readonly Sighting[]): readonly Violation[] {
	return sightings.filter(({entry, marker, isInForce, sentAt, endedAt}) => {
		if (isInForce || isDisturbed(history, sentAt, 'entry', entry) || isDisturbed(history, endedAt, 'entry', entry)) {
			return false;
		}

		const isStretched = isDisturbed(history, sentAt, 'core') || isDisturbed(history, endedAt, 'core');
		return getAcknowledged(history, sentAt - configurationBoundMilliseconds - (isStretched ? stretchMilliseconds : 0)) >= marker;
	}).map(({id, entry, marker, endedAt}) => createViolation(endedAt, `${id} of ${entry} got 404 for a path of the acknowledged version ${marker}`));
}

/** Checks that no process of an entry goes back to an older version. */
function checkForward({disturbances}: History, sightings: readonly Sighting[]): readonly Violation[] {
	const violations: Violation[] = [];
	for (const [entry, group] of groupBy(sightings, sighting => sighting.entry)) {
		const kills = disturbances.filter(({name, kind}) => name === entry && kind === 'kill entry');
		const isSameProcess = (from: number, to: number): boolean => !kills.some(kill => kill.from <= to && (kill.to ?? Infinity) >= from);
		const served = group.filter(({isInForce}) => isInForce);
		for (const {id, marker, sentAt, endedAt} of group.filter(({isInForce}) => !isInForce)) {
			const newer = served.find(other => other.marker >= marker && other.endedAt + rollbackSlackMilliseconds < sentAt && isSameProcess(other.sentAt, endedAt));
			if (newer !== undefined) {
				const milliseconds = Math.round(sentAt - newer.endedAt);
				violations.push(createViolation(endedAt, `${id} of ${entry} got 404 for a path of version ${marker}, ${milliseconds} ms after ${newer.id} showed version ${newer.marker}`));
			}
		}
	}

	return violations;
}

/** Checks that no control host, in touch or not, gives an operator a configuration that is older than an acknowledged one. */
function checkReadings(history: History): readonly Violation[] {
	return history.readings.filter(({sentAt, number}) => number < getAcknowledged(history, sentAt - configurationBoundMilliseconds))
		.map(({control, endedAt, number}) => createViolation(endedAt, `${control} gave version ${number}, which is older than an acknowledged one`));
}

/**
 * Checks the versions of a run.
 * @param history - History of a run that is over.
 */
export function checkVersions(history: History): readonly Violation[] {
	const sightings = getSightings(history);
	const refused = history.versions.filter(({refusal}) => refusal !== undefined).map(({number, sentAt, refusal}) => createViolation(sentAt, `version ${number} was refused with ${refusal}`));
	return [...checkInForce(history, sightings), ...checkForward(history, sightings), ...checkReadings(history), ...refused];
}
