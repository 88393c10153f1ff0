/**
 * Checks that a request that an entry passed on gets the answer that its upstream made: around planned work always, and at any time
 * with few exceptions.
 */
import {contactMilliseconds, isDisturbed, type Violation} from './disturbances.js';
import {groupBy} from './group-by.js';
import {type Disturbance, type Exchange, type History} from './history.js';
import {type Manner} from './manner.js';
import {behindIncomplete} from './pipelining-caller.js';

/** Time from the signal to stop until the platform kills the process (`grace_s`), and the second after it for which the rule binds. */
const stopMilliseconds = 6000 + 1000;

/** Time after the signal to read the settings again for which the rule binds (`config_ms`). */
const reloadMilliseconds = 2000;

/** Manners in which an upstream gives the whole answer to one request and nothing else. */
const wholeManners: ReadonlySet<string> = new Set<Manner>(['plain', 'chunked', 'until-close', 'slow', 'last', 'fail']);

/** Number of requests that an entry in touch may cut off in a run. */
const maximumCutOffs = 3;

/**
 * Outcomes that are not up to the entry. A response that its upstream breaks off must not look complete, so its connection ends, and with it
 * the requests behind; that response is checked itself.
 */
const otherOutcomes: ReadonlySet<string> = new Set(['left', 'timeout', behindIncomplete]);

function isCutOff({outcome}: Exchange): boolean {
	return typeof outcome === 'string' && !otherOutcomes.has(outcome);
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

/** Gets the requests that were cut off though nothing unplanned happened and each upstream that ran one gave a whole answer. */
function getCutOffs(history: History): readonly Exchange[] {
	const answersById = groupBy(history.answers, answer => answer.id);
	return history.exchanges.filter(exchange => {
		const answers = answersById.get(exchange.id) ?? [];
		return isCutOff(exchange)
			&& answers.length > 0
			&& answers.every(answer => wholeManners.has(answer.manner))
			&& !isHarmed(history, exchange, answers.map(answer => answer.upstream));
	});
}

function describe({id, method, entry}: Exchange, reason: string): string {
	return `${id} (${method}) of ${entry}: answered and cut off ${reason}`;
}

/**
 * Finds requests that an entry passed on and whose connection it closed without the answer.
 * @param history - History of a run that is over.
 */
export function checkCutOffs(history: History): readonly Violation[] {
	const cutOffs = getCutOffs(history);
	const aroundWork = cutOffs.flatMap(exchange => {
		const work = history.disturbances.find(disturbance => isAround(exchange, disturbance));
		return work === undefined ? [] : [{rule: 'LOST' as const, at: exchange.endedAt, text: describe(exchange, `${Math.round(exchange.endedAt - work.from)} ms after "${work.kind}"`)}];
	});
	const atAnyTime = [...groupBy(cutOffs, exchange => exchange.entry).values()]
		.map(exchanges => exchanges.filter(exchange => !isDisturbed(history, exchange.endedAt, 'entry', exchange.entry)))
		.filter(exchanges => exchanges.length > maximumCutOffs)
		.flatMap(exchanges => exchanges.map(exchange => ({rule: 'LOST' as const, at: exchange.endedAt, text: describe(exchange, `like ${exchanges.length - 1} more`)})));
	return [...aroundWork, ...atAnyTime];
}
