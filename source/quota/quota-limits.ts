/** What may run of a quota in a window, and the limits that follow from it for the account of a leader. */
import {type Workspace} from '../configuration/index.js';

const millisecondsPerSecond = 1000;

/** Share of the tolerated excess that accounts use. The rest covers what successive leaders lend within one term beyond what they know of each other. */
const usedToleranceShare = 0.9;

/**
 * Tokens that the bucket may hold beyond the burst. Requests that arrive independently at 0.6 of the rate find so many of them used about once in 100,000
 * times. A workspace with a small quota has at most a share of the tolerated excess for it.
 */
const bucketReserve = 15;
const maximumBucketToleranceShare = 0.5;

/** Share of the tolerated excess that a new leader may lend before it knows what entries hold from earlier leaders. Two leaders may do so within one term. */
const headStartShare = 0.05;

/**
 * Share of what accrues in a window that entries may hold beyond a part of the tolerated excess. A new leader that learns nothing from entries pauses
 * until as much has accrued, and one that learns something still has to assume that much of it is held.
 */
const debtWindowShare = 0.25;

/** Share of what accrues in a window that entries may hold for use to come. More tokens at entries save them questions. */
const forUseWindowShare = 0.2;

/**
 * Tokens that are only lent to requests that already wait, as a multiple of the square root of those that entries may hold for use: so many standard
 * deviations of a number of requests that arrive independently.
 */
const waitingDeviations = 2.5;

/**
 * Time in milliseconds after its last confirmation for which a leader lends, and for which a new one does not, so that no two lend at the same time. A
 * confirmation takes a heartbeat.
 */
export const lendingMilliseconds = 150;

/** Quota of a workspace: requests per second, and requests that may exceed the rate at once. */
export type Quota = NonNullable<Workspace['quota']>;

/** By how much the requests of a workspace may exceed its quota in any window: a share of what the quota allows in the window, and a number of requests. */
export type QuotaTolerance = {
	readonly windowSeconds: number;
	readonly overshoot: number;
	readonly slack: number;
};

/** Tolerance where the settings of the control host name none. */
export const defaultQuotaTolerance: QuotaTolerance = {windowSeconds: 5, overshoot: 0, slack: 0};

/** Limits of the account of one workspace, in tokens. */
export type QuotaLimits = {
	readonly perMillisecond: number;
	readonly windowMilliseconds: number;
	/** Tokens that may be spent in a window, or be held by entries at its end. */
	readonly window: number;
	/** Tokens that may wait to be lent. */
	readonly bucket: number;
	/** Tokens that entries may hold. */
	readonly outstanding: number;
	/** Tokens that entries may hold when some are lent for use to come. */
	readonly outstandingForUse: number;
	/** Tokens that a new leader lends less than accrue, once, unless it learns from entries what they have spent. */
	readonly debt: number;
	/** Tokens by which a new leader may exceed `outstanding` while it does not know what entries hold. */
	readonly headStart: number;
};

/**
 * Gets the limits of an account. In any window, at most what entries hold at its start, what the bucket holds then and what accrues can run;
 * `window` bounds that directly within one leadership, and `outstanding`, `bucket` and `debt` bound it across leaders. Each limit is one token at
 * least, since a smaller one would block the workspace for good.
 * @param quota - Quota of the workspace.
 * @param tolerance - Tolerance of the deployment.
 */
export function getQuotaLimits({requestsPerSecond, burst}: Quota, {windowSeconds, overshoot, slack}: QuotaTolerance): QuotaLimits {
	const allowed = (requestsPerSecond * windowSeconds) + burst;
	const excess = usedToleranceShare * ((overshoot * allowed) + slack);
	const bucketExcess = Math.min(bucketReserve, maximumBucketToleranceShare * excess);
	const excessOutstanding = excess - bucketExcess;
	const forUse = excessOutstanding + (requestsPerSecond * windowSeconds * forUseWindowShare);
	const debt = requestsPerSecond * windowSeconds * debtWindowShare;
	return {
		perMillisecond: requestsPerSecond / millisecondsPerSecond,
		windowMilliseconds: windowSeconds * millisecondsPerSecond,
		window: Math.max(1, allowed + excess),
		bucket: Math.max(1, burst + bucketExcess),
		outstanding: Math.max(1, excessOutstanding + debt),
		outstandingForUse: Math.max(0, forUse - (waitingDeviations * Math.sqrt(forUse))),
		debt,
		headStart: Math.max(1, headStartShare * excess),
	};
}
