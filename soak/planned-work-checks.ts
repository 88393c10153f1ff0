/** Check that planned work cuts no one off: a request that an entry passed on gets the answer that its upstream made. */
import {contactMilliseconds, type Violation} from './disturbances.js';
import {groupBy} from './group-by.js';
import {type Disturbance, type Exchange, type History} from './history.js';
import {type Manner} from './manner.js';

/** Time from the signal to stop until the platform kills the process (`grace_s`), and the second after it for which the rule binds. */
const stopMilliseconds = 6000 + 1000;

/** Time after the signal to read the settings again for which the rule binds (`config_ms`). */
const reloadMilliseconds = 2000;

/** Manners in which an upstream gives the whole answer to one request and nothing else. */
const wholeManners: ReadonlySet<string> = new Set<Manner>(['plain', 'chunked', 'until-close', 'slow', 'last', 'fail']);

/** Outcomes that are up to the caller. */
const ownOutcomes: ReadonlySet<string> = new Set(['left', 'timeout']);

function isCutOff({outcome}: Exchange): boolean {
	return typeof outcome === 'string' && !ownOutcomes.has(outcome);
}

function isAround({sentAt, endedAt, entry}: Exchange, work: Disturbance): boolean {
	const boundMilliseconds = work.scope === 'settings' ? reloadMilliseconds : stopMilliseconds;
	return work.isPlanned === true && work.name === entry && endedAt >= work.from && sentAt <= work.from + boundMilliseconds;
}

/** Checks whether something unplanned happened to the entry of a request, or to an upstream that it reached, from the contact time before it on. */
function isHarmed({disturbances}: History, {entry, sentAt, endedAt}: Exchange, upstreams: readonly string[]): boolean {
	return disturbances.some(({scope, name, isPlanned, from, to}) => isPlanned !== true
		&& ((scope === 'entry' && name === entry) || (scope === 'path' && upstreams.includes(name)))
		&& from <= endedAt && (to ?? Infinity) >= sentAt - contactMilliseconds);
}

/**
 * Finds requests that an entry passed on and whose connection it closed without the answer, around its planned work.
 * @param history - History of a run that is over.
 */
export function checkPlannedWork(history: History): readonly Violation[] {
	const answersById = groupBy(history.answers, answer => answer.id);
	return history.exchanges.filter(exchange => isCutOff(exchange)).flatMap(exchange => {
		const work = history.disturbances.find(disturbance => isAround(exchange, disturbance));
		const answers = answersById.get(exchange.id) ?? [];
		const isAnswered = answers.length > 0 && answers.every(answer => wholeManners.has(answer.manner));
		if (work === undefined || !isAnswered || isHarmed(history, exchange, answers.map(answer => answer.upstream))) {
			return [];
		}

		return [{rule: 'LOST' as const, at: exchange.endedAt, text: `${exchange.id} (${exchange.method}) of ${exchange.entry}: cut off ${Math.round(exchange.endedAt - work.from)} ms after "${work.kind}", answered by ${answers[0]!.upstream}`}];
	});
}
