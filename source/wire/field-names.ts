/**
 * Names of fields of messages, which links send as numbers if both ends know them. A number means the same in all releases: new names
 * are appended, and none is moved, changed or removed. Other names are sent as text, so a name that is missing here only costs bytes.
 */

/** The names that are sent most often. Their numbers take one byte. */
const frequentNames = `
	kind entry process environment sequence acknowledged version epoch
	revision logIndex peersRevision observations held slack failedProbes heard
	crashes peer isFinal total part used wanted termMilliseconds
	isWhole servers document permits duties probeMilliseconds quarantined zonesOut
	id request answer command message from to term
	index payload entries area name service zone state
`;

/** Other names, to which new ones are appended. Their numbers take two bytes. */
const otherNames = `
	zonesRevision peers keepsEarlier earlier listed server slots capacity
	grant isKept requestsPerSecond inFlight successes sheds isCold unansweredShedReports
	fingerprint absent host port announcement isAbsent isRemoved connections
	boot load bornAt coldMilliseconds probePath previousIndex previousTerm commitIndex
	round isSuccess isPreVote isTransfer lastIndex lastTerm isGranted snapshot
	membership voters learners data replica availability isAnswer hosts
	leader fingerprints transfer number install shard key attempt
	digest at status headers body isOut order proposer
	isConfirmed known count isKnown isInForce versions matchIndex role
	silentMilliseconds leaseMilliseconds prober trial production replicas claims measuring
	planned budget startedAt services failed slow histogram base
	change update author source current delta removed zones
	routes workspaces outliers clientLimits path parts weight isIdempotent
	timeoutMilliseconds targetMilliseconds priority attempts isPublic hasLargeResponses keyDigests quota
	burst idempotentMethods keyHeader deadlineMilliseconds queueLength retryRatio hedgeRatio hedgeDelayMilliseconds
	policy objective latencyMilliseconds latencyShare easing initialSlots growthPerSuccess ceilingMilliseconds
	warmUp milliseconds askedCandidates askMilliseconds inService probesPerSecondPerServer probesPerSecond consecutiveFailures
	ejectionMilliseconds largestShare headerBytes bodyBytes headerMilliseconds idleMilliseconds changedAt counts
	granted spent unused exhaustedMilliseconds aboveShare
`;

/** Names in the order of their numbers. */
export const fieldNames: readonly string[] = [frequentNames, otherNames].flatMap(names => names.trim().split(/\s+/v));
