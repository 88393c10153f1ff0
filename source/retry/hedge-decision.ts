/**
 * Decides about a hedge at one check of a running attempt: whether to send it, to ask the server of the attempt for its load
 * first, or to withhold it, and why.
 */
import {maximumHedgeTokens} from './hedge-budget.js';
import {type HedgeTimes} from './hedge-times.js';

/** Tokens that a hedge before the certain time must leave, so that attempts which are later than the stated slowness explains find one. */
const certainReserveTokens = 1;

/** Share of congested servers from which on hedges are withheld: the work of a hedge then delays other requests by more than it gains. */
const maximumCongestedShare = 0.4;

/**
 * Reason to withhold a hedge:
 *
 * - `waiting`: requests wait for a server;
 * - `shortage`: servers of the service are short;
 * - `link-busy`: the response is large, and the link of the entry is busy;
 * - `congested`: too many servers of the service are congested;
 * - `ratio`: the share of requests that may be hedged is used up;
 * - `reserve`: what is left of the budget of extra attempts is reserved for retries;
 * - `not-slow`: the server of the attempt works at its usual speed;
 * - `no-server`: no other server has room and is fast enough;
 * - `cold`: the other server is cold;
 * - `not-sooner`: the other server is unlikely to be sooner;
 * - `other-zone`: the other server is in another zone, which pays only for a small response that is certainly late.
 */
export type HedgeObstacle = 'cold' | 'congested' | 'link-busy' | 'no-server' | 'not-slow' | 'not-sooner' | 'other-zone' | 'ratio' | 'reserve' | 'shortage' | 'waiting';

/** A running attempt and the state of its service, at a check. */
export type HedgeSituation = {
	readonly elapsedMilliseconds: number;
	readonly times: HedgeTimes;
	/** Number of requests of the service that wait for a server. */
	readonly waitingRequests: number;
	/** Shortage of servers, from 0 to 1. */
	readonly shortage: number;
	/** Share of congested servers among those that stated their load. */
	readonly congestedShare: number;
	/** Whether the response is large and the link of the entry is busy. */
	readonly isLinkBusy: boolean;
	/** Number of hedges that the ratio allows now. */
	readonly tokens: number;
	/** Whether the budget of extra attempts allows a hedge. */
	readonly isWithinBudget: boolean;
};

/** Decision at a check. */
export type HedgeDecision
	= | {readonly kind: 'wait'}
		/** Hedge if the server of the attempt states that it is slow. */
		| {readonly kind: 'ask'}
		| {readonly kind: 'send'}
		| {readonly kind: 'withhold'; readonly obstacle: HedgeObstacle};

/**
 * Decides about a hedge.
 * @param situation - Running attempt and state of its service.
 */
export function decideHedge(situation: HedgeSituation): HedgeDecision {
	const {elapsedMilliseconds, times} = situation;
	if (elapsedMilliseconds < times.first) {
		return {kind: 'wait'};
	}

	const isCertain = elapsedMilliseconds >= times.certain;
	const obstacle = getObstacle(situation, isCertain);
	if (obstacle !== undefined) {
		return {kind: 'withhold', obstacle};
	}

	// Tokens that would be lost go to late attempts whatever their servers state: some servers state only how they treat later requests.
	return {kind: isCertain || situation.tokens >= maximumHedgeTokens ? 'send' : 'ask'};
}

function getObstacle(situation: HedgeSituation, isCertain: boolean): HedgeObstacle | undefined {
	if (situation.waitingRequests > 0) {
		return 'waiting';
	}

	if (situation.shortage > 0) {
		return 'shortage';
	}

	if (situation.isLinkBusy) {
		return 'link-busy';
	}

	if (situation.congestedShare > maximumCongestedShare && situation.elapsedMilliseconds < situation.times.overdue) {
		return 'congested';
	}

	if (situation.tokens < (isCertain ? 1 : 1 + certainReserveTokens)) {
		return 'ratio';
	}

	return situation.isWithinBudget ? undefined : 'reserve';
}
