/** What modelled servers have told entries about leaving and pauses, and the requests that reached them in spite of it. */
import {type ServerReport} from '../../source/entry/index.js';
import {type Arrival, type UpstreamModel} from './upstream.js';

/** Time after the statement that a server leaves within which requests from its callers may still reach it. */
const drainMilliseconds = 2000;

/** Time after a refusal with a pause from which the rule counts requests, and their permitted number. */
const pauseGraceMilliseconds = 500;
const permittedRequestsInPause = 2;

/** What one server has told one entry. */
type Statement = {leavingAt: number; pausedUntil: number; readonly pauses: Array<{readonly at: number; readonly until: number}>};

/** What servers have told entries. */
export type StatementHistory = {
	record(entry: number, upstream: UpstreamModel, report: ServerReport, now: number): void;
	/** Checks whether a server has asked an entry for a pause that has not ended. */
	isPaused(entry: number, upstream: UpstreamModel, now: number): boolean;
	isPausedForAny(upstream: UpstreamModel, now: number): boolean;
	/** Gets the time at which the first server takes requests of an entry again, or undefined if some take them now. */
	getFirstReturn(entry: number, now: number): number | undefined;
	/** Counts the requests that reached servers beyond the rules: sent after the drain time, or more than two in a pause. */
	countBeyondRule(): number;
	/** Counts the requests that callers sent to an entry after a statement and that reached that server from it in its withdrawal. */
	countSentAfter(): number;
};

function findBeyondRule(arrivals: readonly Arrival[], {leavingAt, pauses}: Statement): readonly Arrival[] {
	const late = arrivals.filter(({sentAt}) => sentAt > leavingAt + drainMilliseconds);
	const inPauses = pauses.flatMap(({at, until}) => arrivals.filter(arrival => arrival.at > at + pauseGraceMilliseconds && arrival.at < until).slice(permittedRequestsInPause));
	return [...new Set([...late, ...inPauses])];
}

function isSentAfter({sentAt, at: arrivedAt}: Arrival, {leavingAt, pauses}: Statement): boolean {
	return sentAt > leavingAt || pauses.some(({at, until}) => sentAt > at && arrivedAt < until);
}

/**
 * Creates a history in which nothing has been told.
 * @param entryCount - Number of entries.
 * @param upstreams - Servers.
 */
export function createStatementHistory(entryCount: number, upstreams: readonly UpstreamModel[]): StatementHistory {
	const byEntry: ReadonlyArray<ReadonlyMap<UpstreamModel, Statement>> = Array.from({length: entryCount}, () =>
		new Map(upstreams.map(upstream => [upstream, {leavingAt: Number.POSITIVE_INFINITY, pausedUntil: 0, pauses: []}])));

	function isPaused(entry: number, upstream: UpstreamModel, now: number): boolean {
		return byEntry[entry]!.get(upstream)!.pausedUntil > now;
	}

	function count(getBeyond: (arrivals: readonly Arrival[], statement: Statement) => readonly Arrival[]): number {
		return byEntry
			.flatMap((ofEntry, entry) => [...ofEntry].map(([upstream, statement]) => getBeyond(upstream.arrivals.filter(arrival => arrival.entry === entry), statement).length))
			.reduce((sum, beyond) => sum + beyond, 0);
	}

	return {
		record(entry, upstream, {isLeaving, pauseMilliseconds}, now) {
			const statement = byEntry[entry]!.get(upstream)!;
			statement.leavingAt = isLeaving ? Math.min(statement.leavingAt, now) : statement.leavingAt;
			if (pauseMilliseconds !== undefined) {
				statement.pauses.push({at: now, until: now + pauseMilliseconds});
				statement.pausedUntil = Math.max(statement.pausedUntil, now + pauseMilliseconds);
			}
		},
		isPaused,
		isPausedForAny: (upstream, now) => byEntry.some((_, entry) => isPaused(entry, upstream, now)),
		getFirstReturn(entry, now) {
			const returns = [...byEntry[entry]!.values()].map(({leavingAt, pausedUntil}) => leavingAt <= now ? Number.POSITIVE_INFINITY : pausedUntil);
			const first = Math.min(...returns);
			return first > now ? first : undefined;
		},
		countBeyondRule: () => count(findBeyondRule),
		countSentAfter: () => count((arrivals, statement) => arrivals.filter(arrival => isSentAfter(arrival, statement))),
	};
}
