/** Checks of the platform's rules on upstreams that state in their responses that they leave, or that they want a pause. */
import {type Violation} from './disturbances.js';
import {
	type Disturbance, type Exchange, type History,
} from './history.js';

/** Time after the statement that an upstream leaves within which requests from its callers may still reach it (`drain_ms`). */
const drainMilliseconds = 2000;

/** Time after a refusal with a pause from which requests count, and their permitted number. */
const pauseGraceMilliseconds = 500;
const permittedRequestsInPause = 2;

/** Checks whether a machine, or the path to an upstream, was disturbed within a period. */
function isDisturbed({disturbances}: History, scope: Disturbance['scope'], name: string, [from, to]: readonly [number, number]): boolean {
	return disturbances.some(disturbance => disturbance.scope === scope && disturbance.name === name && disturbance.from <= to && (disturbance.to ?? Infinity) >= from);
}

/** Gets the times at which each entry first passed on that an instance leaves, by entry and instance. */
function getStatementTimes({answers, exchanges}: History): ReadonlyMap<string, number> {
	const instances = new Map(answers.map(answer => [answer.signature, answer.leavingInstance]));
	const times = new Map<string, number>();
	for (const {entry, outcome, endedAt} of exchanges) {
		const instance = typeof outcome === 'string' ? undefined : instances.get(outcome.signature ?? '');
		if (instance !== undefined) {
			const path = `${entry} ${instance}`;
			times.set(path, Math.min(times.get(path) ?? Infinity, endedAt));
		}
	}

	return times;
}

/** Finds requests that a caller sent too long after its entry had passed on that the instance leaves. */
export function checkLeaving(history: History, exchangesById: ReadonlyMap<string, Exchange>): readonly Violation[] {
	const statementTimes = getStatementTimes(history);
	return history.arrivals.flatMap(({id, instance, at}) => {
		const exchange = exchangesById.get(id);
		const statedAt = statementTimes.get(`${exchange?.entry} ${instance}`) ?? Infinity;
		if (exchange === undefined || exchange.sentAt <= statedAt + drainMilliseconds || isDisturbed(history, 'entry', exchange.entry, [statedAt, at])) {
			return [];
		}

		const lateBy = Math.round(exchange.sentAt - statedAt);
		return [{rule: 'DRAIN' as const, at, text: `${id} of ${exchange.entry} reached ${instance}, sent ${lateBy} ms after the entry had passed on that it leaves`}];
	});
}

/** Finds pauses in which too many requests of the entry that was asked reached the instance. */
export function checkPauses(history: History, exchangesById: ReadonlyMap<string, Exchange>): readonly Violation[] {
	return history.pauses.flatMap(({id, upstream, instance, at, milliseconds}) => {
		const entry = exchangesById.get(id)?.entry;
		const until = at + milliseconds;
		if (entry === undefined || isDisturbed(history, 'entry', entry, [at, until]) || isDisturbed(history, 'path', upstream, [at, until])) {
			return [];
		}

		const count = history.arrivals
			.filter(arrival => arrival.instance === instance && arrival.at > at + pauseGraceMilliseconds && arrival.at < until)
			.filter(arrival => exchangesById.get(arrival.id)?.entry === entry)
			.length;
		const text = `${count} requests of ${entry} reached ${instance} in the pause that it had asked for with its refusal of ${id}`;
		return count > permittedRequestsInPause ? [{rule: 'BUDGET' as const, at, text}] : [];
	});
}
