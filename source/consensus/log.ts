/** In-memory part of the replicated log: the entries after the newest snapshot. */
import {type LogEntry, type Membership} from './message.js';

/** Log entries after a snapshot. */
export type Log = {
	getFirstIndex(): number;
	getLastIndex(): number;
	getLastTerm(): number;
	/** Gets the term of the entry at an index, or undefined if the entry is compacted or not present. */
	getTerm(index: number): number | undefined;
	getOrThrow(index: number): LogEntry;
	getRange(from: number, count: number): readonly LogEntry[];
	append(entry: LogEntry): void;
	truncate(from: number): void;
	/** Removes the entries up to an index, which a snapshot covers. */
	compact(index: number, term: number): void;
	/** Compares the end of the log of another replica with the end of this one; positive if the other one is newer. */
	compareEnd(other: {readonly lastIndex: number; readonly lastTerm: number}): number;
	/** Gets the membership of the newest membership entry, or the fallback if there is none. */
	getMembership(fallback: Membership): Membership;
	/** Gets the index of the newest membership entry or, if there is none, of the snapshot, whose membership is the newest one known. */
	getMembershipIndex(): number;
};

/**
 * Creates a log.
 * @param baseIndex - Index of the snapshot that precedes the first entry.
 * @param baseTerm - Term of the entry at that index.
 * @param initialEntries - Entries after the snapshot, in order.
 */
export function createLog(baseIndex: number, baseTerm: number, initialEntries: readonly LogEntry[]): Log {
	let entries = [...initialEntries];
	// Kept separately, because searching all entries for the newest membership would make each append linear in the size of the log.
	let memberships = entries.filter(entry => entry.payload.kind === 'membership');

	function getMembershipEntry(): LogEntry | undefined {
		return memberships.at(-1);
	}

	const log: Log = {
		getFirstIndex: () => baseIndex + 1,
		getLastIndex: () => baseIndex + entries.length,
		getLastTerm: () => entries.at(-1)?.term ?? baseTerm,
		getTerm(index) {
			return index === baseIndex ? baseTerm : entries[index - baseIndex - 1]?.term;
		},
		getOrThrow(index) {
			const entry = entries[index - baseIndex - 1];
			if (entry === undefined) {
				throw new Error(`log entry ${index} is compacted or not present`);
			}

			return entry;
		},
		getRange(from, count) {
			return entries.slice(from - baseIndex - 1, from - baseIndex - 1 + count);
		},
		append(entry) {
			entries.push(entry);
			if (entry.payload.kind === 'membership') {
				memberships.push(entry);
			}
		},
		truncate(from) {
			entries.length = from - baseIndex - 1;
			memberships = memberships.filter(entry => entry.index < from);
		},
		compact(index, term) {
			entries = index - baseIndex >= entries.length ? [] : entries.slice(index - baseIndex);
			baseIndex = index;
			baseTerm = term;
			memberships = memberships.filter(entry => entry.index > index);
		},
		compareEnd({lastIndex, lastTerm}) {
			return lastTerm === log.getLastTerm() ? lastIndex - log.getLastIndex() : lastTerm - log.getLastTerm();
		},
		getMembership(fallback) {
			const payload = getMembershipEntry()?.payload;
			return payload?.kind === 'membership' ? payload.membership : fallback;
		},
		getMembershipIndex: () => getMembershipEntry()?.index ?? baseIndex,
	};
	return log;
}
