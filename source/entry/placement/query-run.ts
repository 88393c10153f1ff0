/** Sends the load queries of a plan, and passes on the replies, until the plan is complete. */
import {performance} from 'node:perf_hooks';
import {type Candidate} from '../../choice/index.js';
import {type LoadQuerier} from '../servers/index.js';
import {type QueryPlan} from './query-plan.js';

/** Share of the time to wait for a reply after which another server is queried meanwhile. */
const delayedReplyShare = 1 / 3;

/** Options of `runQueryPlan`. */
export type QueryRunOptions = {
	readonly plan: QueryPlan;
	readonly loadQuerier: LoadQuerier;
	/** Time to wait for a reply. */
	readonly waitMilliseconds: number;
	/** Called when the plan is complete, possibly at once. */
	onComplete(): void;
};

/**
 * Runs a plan. The returned function cancels it.
 * @param options - Plan, and where its queries are sent.
 */
export function runQueryPlan({plan, loadQuerier, waitMilliseconds, onComplete}: QueryRunOptions): () => void {
	const cancels = new Set<() => void>();
	let isEnded = false;

	function cancelQueries(): void {
		isEnded = true;
		for (const cancel of cancels) {
			cancel();
		}
	}

	function advance(): void {
		if (isEnded) {
			return;
		}

		for (const candidate of plan.isComplete(performance.now()) ? [] : plan.getNext(performance.now())) {
			query(candidate);
		}

		if (plan.isComplete(performance.now())) {
			cancelQueries();
			onComplete();
		}
	}

	/** Queries a server. If its reply does not arrive soon, another one is queried meanwhile. */
	function query(candidate: Candidate): void {
		const cancelQuery = loadQuerier.query({
			candidates: [candidate],
			waitMilliseconds,
			isSufficient: () => true,
			onReadings([reply]) {
				cancel();
				if (reply === undefined) {
					plan.recordMiss(candidate);
				} else {
					plan.recordReading(candidate, reply.reading, performance.now());
				}

				advance();
			},
		});
		// The delay is noticed one event loop turn later, so that replies that have already arrived are read first.
		const timer = setTimeout(() => {
			setImmediate(() => {
				if (cancels.has(cancel)) {
					plan.recordDelay(candidate, performance.now());
					advance();
				}
			});
		}, waitMilliseconds * delayedReplyShare);

		function cancel(): void {
			cancels.delete(cancel);
			clearTimeout(timer);
			cancelQuery();
		}

		cancels.add(cancel);
	}

	advance();
	return cancelQueries;
}
