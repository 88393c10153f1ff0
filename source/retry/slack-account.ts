/**
 * The leader's account of the slack of extra attempts that all entries share. It lends each entry a part under the lease, by what the
 * entries want. The parts, and what was used of them in the time that counts, never exceed the slack together: grants that are not
 * acknowledged count as held, and the part of a holder that is lost counts until its lease and the time that counts have passed.
 * While parts of an earlier leader may be in use, entries keep at most what they hold. A process that starts again is another holder.
 */
import {type SlackGrant, type SlackReport} from '../lease/index.js';
import {createSlackShares, type SlackShares} from './slack-shares.js';

/** Part that an entry uses without being lent any. */
const basicPart = 1;

/** Time in milliseconds for which a division by demand is used, since each takes all entries. */
const divisionMilliseconds = 100;

/** Account of the slack of one leader. */
export type SlackAccount = {
	/** Lends a part to an entry, which may be nothing. */
	lend(request: SlackRequest): SlackGrant;
	/** Counts the equal part that an entry of an earlier release takes. */
	countEqualPart(entry: string, entryCount: number, receivedAt: number): void;
};

/** A request of an entry, with its report. */
export type SlackRequest = {
	/** Process of the entry. One that starts again does not know what the earlier one used. */
	readonly holder: string;
	readonly sequence: number;
	readonly acknowledged: number;
	readonly report: SlackReport;
	/** Whether the entry returns its lease. */
	readonly isFinal: boolean;
	/** Whether the entry has a document, without which it sends no request. It then counts among those that share the slack already. */
	readonly hasDocument: boolean;
	/** Time at which the leader received the request. Its leadership was confirmed later. */
	readonly receivedAt: number;
};

/** Options of `createSlackAccount`. */
export type SlackAccountOptions = {
	readonly termMilliseconds: number;
	/** Time for which an extra attempt uses the slack. */
	readonly windowMilliseconds: number;
	/** Time until which parts of an earlier leader may be in use, or their use may count. */
	readonly withheldUntil: number;
};

type Holding = {
	/** Parts by grant sequence, from the newest acknowledged grant on. */
	readonly grants: Map<number, number>;
	report: SlackReport;
	sequence: number;
	/** Most that the holder can use or has used in the time that counts. */
	held: number;
	expiresAt: number;
};

/** Equal part of an entry of an earlier release, and the time until which it counts. */
type EqualPart = {readonly share: number; readonly until: number};

/**
 * Creates an account without holders.
 * @param options - Lease term, window, and the time until which nothing new is lent.
 */
export function createSlackAccount(options: SlackAccountOptions): SlackAccount {
	const {termMilliseconds, windowMilliseconds, withheldUntil} = options;
	const holdings = new Map<string, Holding>();
	const equalParts = new Map<string, EqualPart>();
	let shares: SlackShares = {get: () => 0};
	let total = 0;
	let dividedAt = Number.NEGATIVE_INFINITY;

	function removeEnded(now: number): void {
		for (const [holder, {expiresAt}] of holdings) {
			if (expiresAt + windowMilliseconds <= now) {
				holdings.delete(holder);
				dividedAt = Number.NEGATIVE_INFINITY;
			}
		}

		for (const [entry, {until}] of equalParts) {
			if (until <= now) {
				equalParts.delete(entry);
			}
		}
	}

	/** Divides what no other has among the live holders. They may state different slacks while their settings change. */
	function divide(now: number): void {
		const live = [...holdings.values()].filter(({expiresAt}) => expiresAt > now);
		const lost = [...holdings.values()].filter(({expiresAt}) => expiresAt <= now);
		total = Math.min(...live.map(({report}) => report.total));
		const lostParts = lost.reduce((sum, holding) => sum + getCounted(holding), 0);
		shares = createSlackShares(live.map(({report}) => getWanted(report)), Math.max(0, total - lostParts - getEqualParts()));
		dividedAt = now;
	}

	function getEqualParts(): number {
		let sum = 0;
		for (const {share} of equalParts.values()) {
			sum += Math.max(basicPart, share * total);
		}

		return sum;
	}

	function getHeldByOthers(holder: string): number {
		let sum = getEqualParts();
		for (const [other, holding] of holdings) {
			sum += other === holder ? 0 : getCounted(holding);
		}

		return sum;
	}

	function getHolding({holder, report, sequence}: SlackRequest): Holding {
		const existing = holdings.get(holder);
		if (existing !== undefined) {
			return existing;
		}

		const created: Holding = {
			grants: new Map(), report, sequence, held: 0, expiresAt: Number.NEGATIVE_INFINITY,
		};
		holdings.set(holder, created);
		dividedAt = Number.NEGATIVE_INFINITY;
		return created;
	}

	/** Applies a report, unless a later one has been applied. */
	function applyReport(holding: Holding, {sequence, acknowledged, report}: SlackRequest): void {
		if (sequence < holding.sequence) {
			return;
		}

		holding.sequence = sequence;
		holding.report = report;
		for (const earlier of holding.grants.keys()) {
			if (earlier < acknowledged) {
				holding.grants.delete(earlier);
			}
		}

		recordGrant(holding, acknowledged, report.part);
	}

	function getPart({holder, report, receivedAt}: SlackRequest): number {
		if (receivedAt < dividedAt || receivedAt >= dividedAt + divisionMilliseconds) {
			divide(receivedAt);
		}

		return Math.max(0, Math.min(shares.get(getWanted(report)), total - getHeldByOthers(holder)));
	}

	return {
		lend(request) {
			const {sequence, isFinal, hasDocument, receivedAt} = request;
			removeEnded(receivedAt);
			const holding = getHolding(request);
			applyReport(holding, request);
			holding.expiresAt = isFinal ? receivedAt : Math.max(holding.expiresAt, receivedAt + termMilliseconds);
			const isKept = receivedAt < withheldUntil || !hasDocument;
			const part = isFinal ? 0 : (isKept ? request.report.part : getPart(request));
			recordGrant(holding, sequence, part);
			return isKept ? {part, isKept} : {part};
		},
		countEqualPart(entry, entryCount, receivedAt) {
			const share = 1 / Math.max(1, entryCount);
			const previous = equalParts.get(entry);
			// A smaller part counts once the larger one has ended.
			if (previous === undefined || share >= previous.share || previous.until <= receivedAt) {
				equalParts.set(entry, {share, until: receivedAt + termMilliseconds + windowMilliseconds});
			}
		},
	};
}

/** Records a grant. If there are several of one sequence number, the holder may have applied any of them. */
function recordGrant(holding: Holding, sequence: number, part: number): void {
	holding.grants.set(sequence, Math.max(part, holding.grants.get(sequence) ?? 0));
	holding.held = Math.max(holding.report.used, ...holding.grants.values());
}

function getCounted({held}: Holding): number {
	return Math.max(basicPart, held);
}

function getWanted({wanted}: SlackReport): number {
	return Math.max(basicPart, wanted);
}
