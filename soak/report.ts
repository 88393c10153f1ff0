/** Prints the result of a run: one line, and for a broken one the command, a timeline and the requests that show each violation. */
import {groupBy} from './group-by.js';
import {type Violation} from './disturbances.js';
import {type Order} from './history.js';
import {type SoakResult} from './run.js';

const shownPerRule = 6;

function count(values: readonly string[]): string {
	const groups = [...groupBy(values, value => value)].toSorted(([left], [right]) => left.localeCompare(right));
	return groups.map(([value, group]) => `${value} ${group.length}`).join(', ');
}

function renderOrder({zone, isOut, attempts, acknowledgedAt}: Order): string {
	const end = acknowledgedAt === undefined ? 'given up' : `acknowledged at ${Math.round(acknowledgedAt)}`;
	return `${isOut ? 'POST' : 'DELETE'} ${zone}: ${attempts.join(' ')}, ${end}`;
}

/** Renders the orders and faults of a run in the order of their times. */
function renderTimeline({history}: SoakResult): readonly string[] {
	const lines: Array<readonly [number, string]> = [
		...history.orders.map(order => [order.sentAt, renderOrder(order)] as const),
		...history.versions.map(({number, sentAt, acknowledgedAt}) => [sentAt, `PUT version ${number}, acknowledged at ${Math.round(acknowledgedAt ?? Infinity)}`] as const),
		...history.disturbances.map(({from, to, kind, name}) => [from, `${kind} (${name}) until ${Math.round(to ?? Infinity)}`] as const),
	];
	return lines.toSorted(([left], [right]) => left - right).map(([at, text]) => `  ${Math.round(at)} ${text}`);
}

function renderViolations(violations: readonly Violation[]): readonly string[] {
	return [...groupBy(violations, violation => violation.rule)].flatMap(([rule, group]) => [
		`  ${rule}: ${group.length}`,
		...group.slice(0, shownPerRule).map(({at, text}) => `    ${Math.round(at)} ${text}`),
	]);
}

/**
 * Renders the result of a run.
 * @param result - Result.
 * @param command - Command that repeats the run, without its seed.
 * @param logFolder - Folder with the logs of the processes of a broken run.
 */
export function renderResult(result: SoakResult, command: string, logFolder: string): string {
	const {seed, history, violations} = result;
	const outcomes = count(history.exchanges.map(({outcome}) => typeof outcome === 'string' ? outcome : String(outcome.status)));
	const verdict = violations.length === 0 ? 'holds' : `BROKEN (${count(violations.map(({rule}) => rule))})`;
	const summary = [
		`seed ${seed}: ${verdict}`,
		`${result.controls} control hosts`,
		`${history.orders.length} orders`,
		`${history.versions.length} versions`,
		`${history.disturbances.length} faults (${count(history.disturbances.map(({scope, kind}) => `${scope} ${kind.split(' ')[0]!}`))})`,
		`${history.exchanges.length} requests (${outcomes})`,
		`${history.arrivals.length} at upstreams`,
		`blind for ${result.longestBlindMilliseconds} ms at most`,
	].join(', ');
	return violations.length === 0 ? summary : [summary, `  ${command} --seed ${seed}, logs in ${logFolder}`, ...renderTimeline(result), ...renderViolations(violations)].join('\n');
}
