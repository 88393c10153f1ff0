/**
 * Lets requests of workspaces with a quota pass with a token. A request for which the entry has none waits while the leader is asked, together with
 * the others of its workspace. It is refused when the quota is used up, or when no leader answers in time.
 */
import {performance} from 'node:perf_hooks';
import {type Environment} from '../../configuration/index.js';
import {type ControlClient} from '../../control-client/index.js';
import {type QuotaToken, type QuotaTokens, type TokenHolder} from '../../quota/index.js';
import {type Log} from '../../telemetry/index.js';
import {type Access} from '../../workspace/index.js';
import {type EntryMetrics} from '../reporting/index.js';

/** Longest time in milliseconds for which a request waits for a token. */
const maximumWaitMilliseconds = 100;

/** Time in milliseconds after which the leader is asked once more: the question may be lost, or others may have spent the tokens that they hold. */
const askAgainMilliseconds = 25;

/** Time in milliseconds after which a caller may return to an entry that reached no leader. An election takes a few times longer; another entry may have tokens. */
const unavailableRetryMilliseconds = 200;

/** Time in milliseconds without a refusal after which a quota counts as available again. */
const availableMilliseconds = 5000;

/** What becomes of a request. */
export type QuotaOutcome
	/** The request needs no token. */
	= | {readonly kind: 'unlimited'}
		| {readonly kind: 'taken'; readonly token: QuotaToken}
		| {readonly kind: 'refused'; readonly reason: 'quota' | 'quota-unavailable'; readonly retryAfterMilliseconds: number};

/** Gate of an entry. */
export type QuotaGate = {
	/** Takes a token for a request that has arrived, if it needs one. */
	enter(access: Access, deadlineAt: number): QuotaOutcome | Promise<QuotaOutcome>;
	/** Gives tokens that a grant brought to requests that wait. */
	serveWaiting(): void;
};

/** Options of `createQuotaGate`. */
export type QuotaGateOptions = {
	readonly environment: Environment;
	/** Random id of the process, by which the leader knows its tokens. */
	readonly process: string;
	readonly tokens: QuotaTokens;
	readonly metrics: Pick<EntryMetrics, 'countQuotaToken' | 'countQuotaQuestion'>;
	readonly log: Log;
	getClient(): Pick<ControlClient, 'submit'>;
	/** Checks whether the entry holds a lease, under which tokens may be held. */
	mayHoldTokens(now: number): boolean;
	/** Checks whether tokens that were asked for at a time may be used; not if the host was suspended since. */
	mayUseAnswer(askedAt: number): boolean;
};

type Waiter = {readonly timer: NodeJS.Timeout; readonly resolve: (outcome: QuotaOutcome) => void};

/** Requests of one workspace that wait. */
type WorkspaceQueue = {
	readonly workspace: string;
	readonly holder: TokenHolder;
	readonly waiters: Set<Waiter>;
	isAsking: boolean;
	/** Requests refused since the leader was last asked. */
	refused: number;
	/** Time of the last refusal, while the quota counts as used up. */
	usedUpAt: number | undefined;
};

async function pause(milliseconds: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, Math.max(0, milliseconds));
	});
}

/**
 * Creates a gate.
 * @param options - Tokens of the entry and links to the leader.
 */
export function createQuotaGate(options: QuotaGateOptions): QuotaGate {
	const {
		environment, process, tokens, metrics, log,
	} = options;
	const queues = new Map<string, WorkspaceQueue>();

	function getQueue(workspace: string): WorkspaceQueue {
		const queue = queues.get(workspace) ?? {
			workspace, holder: tokens.getHolder(workspace), waiters: new Set<Waiter>(), isAsking: false, refused: 0, usedUpAt: undefined,
		};
		queues.set(workspace, queue);
		return queue;
	}

	function getRefusal(queue: WorkspaceQueue, now: number): QuotaOutcome {
		if (queue.usedUpAt === undefined) {
			log.info({workspace: queue.workspace}, 'the quota of a workspace is used up');
		}

		queue.usedUpAt = now;
		return {kind: 'refused', reason: 'quota', retryAfterMilliseconds: Math.max(0, queue.holder.getUsedUpUntil() - now)};
	}

	function getUnavailable(): QuotaOutcome {
		return {kind: 'refused', reason: 'quota-unavailable', retryAfterMilliseconds: unavailableRetryMilliseconds};
	}

	function tryTake(queue: WorkspaceQueue, now: number): QuotaOutcome | undefined {
		const token = queue.holder.tryTake(now);
		if (token === undefined) {
			return undefined;
		}

		metrics.countQuotaToken();
		if (queue.usedUpAt !== undefined && now > queue.usedUpAt + availableMilliseconds) {
			queue.usedUpAt = undefined;
			log.info({workspace: queue.workspace}, 'the quota of a workspace is available again');
		}

		return {kind: 'taken', token};
	}

	function settle(queue: WorkspaceQueue, waiter: Waiter, outcome: QuotaOutcome): void {
		clearTimeout(waiter.timer);
		queue.waiters.delete(waiter);
		waiter.resolve(outcome);
	}

	/** Gives free tokens to the requests that wait, and refuses the others if the quota is used up. */
	function serve(queue: WorkspaceQueue): void {
		const now = performance.now();
		for (const waiter of queue.waiters) {
			const outcome = tryTake(queue, now) ?? (queue.holder.getUsedUpUntil() > now ? getRefusal(queue, now) : undefined);
			if (outcome === undefined) {
				return;
			}

			settle(queue, waiter, outcome);
		}
	}

	/** Asks the leader once for all requests that wait. */
	async function ask(queue: WorkspaceQueue): Promise<void> {
		const askedAt = performance.now();
		const {epoch, report, sent} = tokens.createQuestion(queue.workspace, queue.waiters.size, askedAt);
		const {refused} = queue;
		queue.refused = 0;
		const answer = await options.getClient().submit({
			kind: 'quota', environment, process, epoch, report, waiting: queue.waiters.size, refused,
		}, maximumWaitMilliseconds);
		metrics.countQuotaQuestion(answer.kind === 'quota');
		if (answer.kind === 'quota') {
			const {epoch: leaderEpoch, granted, total, held, retryMilliseconds} = answer;
			tokens.applyAnswer(queue.workspace, sent, {
				epoch: leaderEpoch, granted, totals: {total, held}, askedAt, retryMilliseconds,
			}, {now: performance.now(), mayUse: options.mayUseAnswer(askedAt)});
			serve(queue);
		}
	}

	/** Asks the leader until no request waits. A question that is not answered at once is followed by another one, since asking twice lends nothing more. */
	async function askWhileWaiting(queue: WorkspaceQueue): Promise<void> {
		queue.isAsking = true;
		while (queue.waiters.size > 0) {
			const asked = [...queue.waiters];
			const askedAt = performance.now();
			await Promise.race([ask(queue), pause(askAgainMilliseconds)]);
			if (asked.some(waiter => queue.waiters.has(waiter))) {
				await pause(askedAt + askAgainMilliseconds - performance.now());
			}
		}

		queue.isAsking = false;
	}

	async function wait(queue: WorkspaceQueue, milliseconds: number): Promise<QuotaOutcome> {
		return new Promise(resolve => {
			const waiter: Waiter = {
				resolve,
				timer: setTimeout(() => {
					settle(queue, waiter, getUnavailable());
				}, milliseconds),
			};
			queue.waiters.add(waiter);
			if (!queue.isAsking) {
				void askWhileWaiting(queue);
			}
		});
	}

	return {
		enter(access, deadlineAt): QuotaOutcome | Promise<QuotaOutcome> {
			if (access.kind !== 'granted' || !tokens.hasQuota(access.workspace.name)) {
				return {kind: 'unlimited'};
			}

			const now = performance.now();
			const queue = getQueue(access.workspace.name);
			queue.holder.recordDemand(now);
			if (!options.mayHoldTokens(now)) {
				return getUnavailable();
			}

			const taken = tryTake(queue, now);
			if (taken !== undefined) {
				return taken;
			}

			if (!queue.holder.mayAsk(now)) {
				queue.refused++;
				return getRefusal(queue, now);
			}

			const milliseconds = Math.min(maximumWaitMilliseconds, deadlineAt - now);
			return tokens.mayAsk() && milliseconds > 0 ? wait(queue, milliseconds) : getUnavailable();
		},
		serveWaiting() {
			for (const queue of queues.values()) {
				serve(queue);
			}
		},
	};
}
