/** Checks of the platform's rules over the history of a run. */
import {isDisturbed, stretchMilliseconds, type Violation} from './disturbances.js';
import {groupBy} from './group-by.js';
import {
	type Arrival, type Exchange, type History, type Order,
} from './history.js';
import {checkCutOffs} from './cut-off-checks.js';
import {checkVersions} from './version-checks.js';
import {checkLeaving, checkPauses} from './withdrawal-checks.js';

/** Time after its acknowledgement from which an evacuation binds (`evacuate_ms`). */
const evacuationBoundMilliseconds = 5000;

/** Share of the requests in the steady end that must be served; some upstreams are faulty until the end. */
const servedShare = 0.6;

const refusalStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Time for which a zone must not be reached: from an acknowledgement until the next order that puts the zone back is sent. */
type Evacuation = {readonly zone: string; readonly acknowledgedAt: number; readonly until: number};

/** Checks whether two orders were under way at the same time, so that either may be the first. */
function isConcurrent(left: Order, right: Order): boolean {
	return left.sentAt < (right.endedAt ?? Infinity) && right.sentAt < (left.endedAt ?? Infinity);
}

/** Gets the evacuations that bind: those during which no operator ordered the zone back. */
function getEvacuations({orders}: History): readonly Evacuation[] {
	const isContested = (order: Order): boolean => orders.some(other => other.zone === order.zone && !other.isOut && isConcurrent(order, other));
	return orders.filter(order => order.isOut && order.acknowledgedAt !== undefined && !isContested(order)).map(order => {
		const nextReturn = orders.find(other => other.zone === order.zone && !other.isOut && other.sentAt >= order.sentAt);
		return {zone: order.zone, acknowledgedAt: order.acknowledgedAt!, until: nextReturn?.sentAt ?? Infinity};
	});
}

function isLate(history: History, arrival: Arrival, entry: string, evacuation: Evacuation): boolean {
	const {at} = arrival;
	if (arrival.zone !== evacuation.zone || at >= evacuation.until || isDisturbed(history, at, 'entry', entry) || isDisturbed(history, at, 'path', arrival.upstream)) {
		return false;
	}

	const bound = evacuationBoundMilliseconds + (isDisturbed(history, at, 'core') ? stretchMilliseconds : 0);
	return at > evacuation.acknowledgedAt + bound;
}

function checkEvacuations(history: History, exchangesById: ReadonlyMap<string, Exchange>): readonly Violation[] {
	const evacuations = getEvacuations(history);
	const violations: Violation[] = [];
	for (const arrival of history.arrivals) {
		const entry = exchangesById.get(arrival.id)?.entry;
		const evacuation = entry === undefined ? undefined : evacuations.findLast(candidate => isLate(history, arrival, entry, candidate));
		if (evacuation !== undefined) {
			const lateBy = Math.round(arrival.at - evacuation.acknowledgedAt);
			violations.push({rule: 'EVAC', at: arrival.at, text: `${arrival.id} of ${entry} reached ${arrival.upstream} in zone ${arrival.zone}, ${lateBy} ms after the acknowledgement`});
		}
	}

	return violations;
}

function checkResponse(history: History, exchange: Exchange, answersBySignature: ReadonlyMap<string, History['answers'][number]>): string | undefined {
	const {outcome, method} = exchange;
	if (typeof outcome === 'string') {
		return undefined;
	}

	const {status, signature, digest, size} = outcome;
	if (!Number.isInteger(status)) {
		return 'bytes that are no response';
	}

	const isSuccess = status >= 200 && status < 300;
	if (signature === undefined) {
		return isSuccess ? `status ${status} without a signature` : undefined;
	}

	const answer = answersBySignature.get(signature);
	if (answer === undefined) {
		return `status ${status} with the unknown signature ${signature}`;
	}

	if (answer.id !== exchange.id) {
		return `status ${status} with the answer to ${answer.id} (${answer.manner})`;
	}

	if (answer.status !== status) {
		return `status ${status} where ${answer.upstream} gave ${answer.status} (${answer.manner})`;
	}

	return isSuccess && method !== 'HEAD' && answer.digest !== digest ? `status ${status} with a body of ${size} bytes that ${answer.upstream} did not make (${answer.manner})` : undefined;
}

function checkResponses(history: History): readonly Violation[] {
	const answersBySignature = new Map(history.answers.map(answer => [answer.signature, answer]));
	return history.exchanges.flatMap(exchange => {
		const fault = checkResponse(history, exchange, answersBySignature);
		return fault === undefined ? [] : [{rule: 'MIXED' as const, at: exchange.endedAt, text: `${exchange.id} (${exchange.method}) of ${exchange.entry}: ${fault}`}];
	});
}

function checkRuns(history: History): readonly Violation[] {
	const runsById = groupBy(history.arrivals.filter(arrival => arrival.isRun), arrival => arrival.id);
	const violations: Violation[] = [];
	for (const {id, entry, isUnsafe, outcome, endedAt} of history.exchanges) {
		const runs = runsById.get(id) ?? [];
		if (!isUnsafe || runs.length === 0) {
			continue;
		}

		if (runs.length > 1) {
			violations.push({rule: 'TWICE', at: runs[1]!.at, text: `${id} of ${entry} ran on ${runs.map(run => run.upstream).join(', ')}`});
		}

		if (typeof outcome !== 'string' && refusalStatuses.has(outcome.status)) {
			violations.push({rule: 'REFUSED', at: endedAt, text: `${id} of ${entry} got ${outcome.status} and ran on ${runs[0]!.upstream}`});
		}
	}

	return violations;
}

/** Checks that after the last fault orders are acknowledged and most requests are served. */
function checkSteadyEnd({orders, versions, exchanges, steadyFrom}: History): readonly Violation[] {
	if (steadyFrom === undefined) {
		return [];
	}

	const unacknowledged = orders.filter(order => order.sentAt >= steadyFrom && order.acknowledgedAt === undefined);
	const violations: Violation[] = unacknowledged.map(order => ({rule: 'ACKS', at: order.sentAt, text: `${order.isOut ? 'POST' : 'DELETE'} of zone ${order.zone} was not acknowledged`}));
	const unacknowledgedVersions = versions.filter(version => version.sentAt >= steadyFrom && version.acknowledgedAt === undefined);
	violations.push(...unacknowledgedVersions.map(version => ({rule: 'ACKS' as const, at: version.sentAt, text: `version ${version.number} was not acknowledged`})));
	const entries = groupBy(exchanges.filter(({sentAt, outcome}) => sentAt >= steadyFrom && outcome !== 'left'), exchange => exchange.entry);
	for (const [entry, group] of entries) {
		const served = group.filter(({outcome}) => typeof outcome !== 'string' && outcome.status >= 200 && outcome.status < 300).length;
		if (served < servedShare * group.length) {
			violations.push({rule: 'RECOVER', at: steadyFrom, text: `${entry} served ${served} of ${group.length} requests after the last fault`});
		}
	}

	return violations;
}

/**
 * Finds all violations in the history of a run, in the order of the rules.
 * @param history - History of a run that is over.
 */
export function findViolations(history: History): readonly Violation[] {
	const exchangesById = new Map(history.exchanges.map(exchange => [exchange.id, exchange]));
	return [
		...checkEvacuations(history, exchangesById),
		...checkResponses(history),
		...checkRuns(history),
		...checkVersions(history),
		...checkLeaving(history, exchangesById),
		...checkPauses(history, exchangesById),
		...checkCutOffs(history),
		...checkSteadyEnd(history),
	];
}
