/**
 * Models a server that withdraws, in virtual time: it states that it leaves on its responses and goes later, or it refuses requests
 * and asks for a pause with each refusal. It records the requests that reach it.
 */
import {type LoadReading} from '../../source/choice/index.js';
import {type Random} from '../../source/randomness/index.js';
import {createServerModel, type ModelRequest} from './server.js';

/** Maximum number of requests that run at once, by default. */
const defaultSlots = 6;

/** Maximum number of requests that wait for a slot, by default. */
const defaultQueueLength = 12;

/** Withdrawal of a server. */
export type Withdrawal
	/** States from a time on that it leaves, and goes at a later one. */
	= | {readonly kind: 'leaving'; readonly from: number; readonly until: number}
	/** Refuses all requests in a period, and asks with each refusal for a pause. */
		| {readonly kind: 'pause'; readonly from: number; readonly until: number; readonly pauseMilliseconds: number};

/** Request that reached a server. */
export type Arrival = {
	readonly entry: number;
	/** Time at which the caller sent the request. */
	readonly sentAt: number;
	readonly at: number;
};

/** How a server takes a request. */
export type Reception
	= | {readonly kind: 'accepted'}
		| {readonly kind: 'gone'}
		/** Never answered, because the server is full. */
		| {readonly kind: 'unanswered'}
		/** Refused, with the pause that the server asks for, if any. */
		| {readonly kind: 'refused'; readonly pauseMilliseconds: number | undefined};

/** A modelled server that may withdraw. */
export type UpstreamModel = {
	readonly name: string;
	readonly zone: string;
	readonly slots: number;
	readonly arrivals: readonly Arrival[];
	getReading(): LoadReading;
	/** Gets the withdrawal that is under way. */
	getWithdrawal(now: number): Withdrawal | undefined;
	/** Checks whether the server states that it leaves. */
	isLeaving(now: number): boolean;
	isGone(now: number): boolean;
	receive(arrival: Arrival, request: ModelRequest): Reception;
	/** Advances the time by a millisecond. */
	advance(now: number): void;
};

/** Options of `createUpstreamModel`. */
export type UpstreamModelOptions = {
	readonly name: string;
	readonly zone: string;
	readonly withdrawals: readonly Withdrawal[];
	readonly random: Random;
	readonly slots?: number;
	readonly queueLength?: number;
	/** Whether the server never answers a request that it has no room for, instead of refusing it. */
	readonly hangsWhenFull?: boolean;
	/** Whether a request keeps the slowness that the host has when it starts to run. */
	readonly isSlownessFixedAtStart?: boolean;
	/** Share of the requests that occupy a slot and are never answered; by default none. */
	readonly lostShare?: number;
};

/**
 * Creates a modelled server without requests.
 * @param options - Name, zone and withdrawals.
 */
export function createUpstreamModel(options: UpstreamModelOptions): UpstreamModel {
	const {
		name, zone, withdrawals, random, slots = defaultSlots, queueLength = defaultQueueLength, lostShare = 0, hangsWhenFull = false,
	} = options;
	const server = createServerModel(slots, queueLength, random, options.isSlownessFixedAtStart);
	const arrivals: Arrival[] = [];

	function getWithdrawal(now: number): Withdrawal | undefined {
		return withdrawals.find(({kind, from, until}) => now >= from && (now < until || kind === 'leaving'));
	}

	function isGone(now: number): boolean {
		const withdrawal = getWithdrawal(now);
		return withdrawal?.kind === 'leaving' && now >= withdrawal.until;
	}

	return {
		name,
		zone,
		slots,
		arrivals,
		getReading: server.getReading,
		getWithdrawal,
		isLeaving: now => getWithdrawal(now)?.kind === 'leaving',
		isGone,
		receive(arrival, request) {
			if (isGone(arrival.at)) {
				return {kind: 'gone'};
			}

			arrivals.push(arrival);
			const withdrawal = getWithdrawal(arrival.at);
			if (withdrawal?.kind === 'pause') {
				return {kind: 'refused', pauseMilliseconds: withdrawal.pauseMilliseconds};
			}

			if (lostShare > 0 && random() < lostShare) {
				request.remainingMilliseconds = Number.POSITIVE_INFINITY;
			}

			if (server.tryAdd(request)) {
				return {kind: 'accepted'};
			}

			return hangsWhenFull ? {kind: 'unanswered'} : {kind: 'refused', pauseMilliseconds: undefined};
		},
		advance(now) {
			server.advance(now, 1);
		},
	};
}
