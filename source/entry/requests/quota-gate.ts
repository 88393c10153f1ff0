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
type Line = {
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
	const lines = new Map<string, Line>();

	function getLine(workspace: string): Line {
		const line = lines.get(workspace) ?? {
			workspace, holder: tokens.getHolder(workspace), waiters: new Set<Waiter>(), isAsking: false, refused: 0, usedUpAt: undefined,
		};
		lines.set(workspace, line);
		return line;
	}

	function getRefusal(line: Line, now: number): QuotaOutcome {
		if (line.usedUpAt === undefined) {
			log.info({workspace: line.workspace}, 'the quota of a workspace is used up');
		}

		line.usedUpAt = now;
		return {kind: 'refused', reason: 'quota', retryAfterMilliseconds: Math.max(0, line.holder.getUsedUpUntil() - now)};
	}

	function getUnavailable(): QuotaOutcome {
		return {kind: 'refused', reason: 'quota-unavailable', retryAfterMilliseconds: unavailableRetryMilliseconds};
	}

	function tryTake(line: Line, now: number): QuotaOutcome | undefined {
		const token = line.holder.tryTake(now);
		if (token === undefined) {
			return undefined;
		}

		metrics.countQuotaToken();
		if (line.usedUpAt !== undefined && now > line.usedUpAt + availableMilliseconds) {
			line.usedUpAt = undefined;
			log.info({workspace: line.workspace}, 'the quota of a workspace is available again');
		}

		return {kind: 'taken', token};
	}

	function settle(line: Line, waiter: Waiter, outcome: QuotaOutcome): void {
		clearTimeout(waiter.timer);
		line.waiters.delete(waiter);
		waiter.resolve(outcome);
	}

	/** Gives free tokens to the requests that wait, and refuses the others if the quota is used up. */
	function serve(line: Line): void {
		const now = performance.now();
		for (const waiter of line.waiters) {
			const outcome = tryTake(line, now) ?? (line.holder.getUsedUpUntil() > now ? getRefusal(line, now) : undefined);
			if (outcome === undefined) {
				return;
			}

			settle(line, waiter, outcome);
		}
	}

	/** Asks the leader once for all requests that wait. */
	async function ask(line: Line): Promise<void> {
		const askedAt = performance.now();
		const {epoch, report, sent} = tokens.createQuestion(line.workspace, line.waiters.size, askedAt);
		const {refused} = line;
		line.refused = 0;
		const answer = await options.getClient().submit({
			kind: 'quota', environment, process, epoch, report, waiting: line.waiters.size, refused,
		}, maximumWaitMilliseconds);
		metrics.countQuotaQuestion(answer.kind === 'quota');
		if (answer.kind === 'quota') {
			const {epoch: leaderEpoch, granted, total, held, retryMilliseconds} = answer;
			tokens.applyAnswer(line.workspace, sent, {
				epoch: leaderEpoch, granted, totals: {total, held}, askedAt, retryMilliseconds,
			}, {now: performance.now(), mayUse: options.mayUseAnswer(askedAt)});
			serve(line);
		}
	}

	/** Asks the leader until no request waits. A question that is not answered at once is followed by another one, since asking twice lends nothing more. */
	async function askWhileWaiting(line: Line): Promise<void> {
		line.isAsking = true;
		while (line.waiters.size > 0) {
			const asked = [...line.waiters];
			const askedAt = performance.now();
			await Promise.race([ask(line), pause(askAgainMilliseconds)]);
			if (asked.some(waiter => line.waiters.has(waiter))) {
				await pause(askedAt + askAgainMilliseconds - performance.now());
			}
		}

		line.isAsking = false;
	}

	async function wait(line: Line, milliseconds: number): Promise<QuotaOutcome> {
		return new Promise(resolve => {
			const waiter: Waiter = {
				resolve,
				timer: setTimeout(() => {
					settle(line, waiter, getUnavailable());
				}, milliseconds),
			};
			line.waiters.add(waiter);
			if (!line.isAsking) {
				void askWhileWaiting(line);
			}
		});
	}

	return {
		enter(access, deadlineAt): QuotaOutcome | Promise<QuotaOutcome> {
			if (access.kind !== 'granted' || !tokens.hasQuota(access.workspace.name)) {
				return {kind: 'unlimited'};
			}

			const now = performance.now();
			const line = getLine(access.workspace.name);
			line.holder.recordDemand(now);
			if (!options.mayHoldTokens(now)) {
				return getUnavailable();
			}

			const taken = tryTake(line, now);
			if (taken !== undefined) {
				return taken;
			}

			if (!line.holder.mayAsk(now)) {
				line.refused++;
				return getRefusal(line, now);
			}

			const milliseconds = Math.min(maximumWaitMilliseconds, deadlineAt - now);
			return tokens.mayAsk() && milliseconds > 0 ? wait(line, milliseconds) : getUnavailable();
		},
		serveWaiting() {
			for (const line of lines.values()) {
				serve(line);
			}
		},
	};
}
