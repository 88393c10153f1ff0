/**
 * Decides the membership changes of a leader, one at a time. A replica with a new identity joins as a learner, is promoted to
 * voter once it has caught up, and then supersedes the voter with the lost identity of the same host. If the number of voters
 * is limited, a learner on another host remains a learner until there are fewer voters than the limit or until it can replace
 * a silent voter. A silent voter is removed only after its successor has become a voter. A replacement therefore never
 * reduces the number of voters, and silent voters without a learner to replace them, such as a partitioned minority, are kept.
 */
import {type Membership} from './message.js';

/** Number of entries that a replica may be behind and still count as caught up. */
export const maximumLearnerLagEntries = 16;

/** State of the leader from which it decides membership changes. */
export type MembershipView = {
	readonly self: string;
	readonly membership: Membership;
	readonly lastIndex: number;
	/** Replicas that requested to join, newest last. */
	readonly joining: readonly string[];
	getMatchIndex(id: string): number;
	getHost(id: string): string;
	/** Maximum number of voters; unlimited if absent. */
	readonly maximumVoters?: number;
	/** Gets the time since the last response of a member other than the leader, in milliseconds. */
	getSilenceMilliseconds?(id: string): number;
};

/** Silence after which a voter may be replaced, in milliseconds. It must exceed the time of an election plus a reconnection. */
export const voterReplacementSilenceMilliseconds = 1500;

/** Silence after which a learner is removed, in milliseconds. */
const learnerRemovalSilenceMilliseconds = 10_000;

/**
 * Gets the next membership, or undefined if no change is needed.
 * @param view - State of the leader.
 */
export function getNextMembership(view: MembershipView): Membership | undefined {
	return removeSupersededVoter(view) ?? removeExcessVoter(view) ?? promoteLearner(view) ?? addLearner(view) ?? removeSilentLearner(view);
}

/** Removes a voter if a later voter has the same host, which means that its identity was lost. */
function removeSupersededVoter(view: MembershipView): Membership | undefined {
	const {membership, self} = view;
	const {voters} = membership;
	const superseded = voters.find((voter, index) => voter !== self && voters.slice(index + 1).some(later => view.getHost(later) === view.getHost(voter)));
	return superseded === undefined ? undefined : {...membership, voters: voters.filter(voter => voter !== superseded)};
}

/** Gets the voter that has been silent the longest, or undefined if no voter may be replaced. */
function getLongestSilentVoter(view: MembershipView): string | undefined {
	const {getSilenceMilliseconds = () => 0} = view;
	return view.membership.voters
		.filter(voter => voter !== view.self && getSilenceMilliseconds(voter) >= voterReplacementSilenceMilliseconds)
		.toSorted((left, right) => getSilenceMilliseconds(right) - getSilenceMilliseconds(left))[0];
}

/** Removes the voter that has been silent the longest if its successor has raised the number of voters above the limit. */
function removeExcessVoter(view: MembershipView): Membership | undefined {
	const {membership} = view;
	const excess = membership.voters.length > (view.maximumVoters ?? Number.POSITIVE_INFINITY) ? getLongestSilentVoter(view) : undefined;
	return excess === undefined ? undefined : {...membership, voters: membership.voters.filter(voter => voter !== excess)};
}

/** Checks whether a learner may become a voter: below the limit, or because it can replace a voter of its host or a silent one. */
function isPromotable(view: MembershipView, learner: string): boolean {
	const {voters} = view.membership;
	const limit = view.maximumVoters ?? Number.POSITIVE_INFINITY;
	return voters.length < limit
		|| voters.some(voter => view.getHost(voter) === view.getHost(learner))
		|| (voters.length === limit && getLongestSilentVoter(view) !== undefined);
}

function removeSilentLearner(view: MembershipView): Membership | undefined {
	const {membership, getSilenceMilliseconds = () => 0} = view;
	const silent = membership.learners.find(learner => getSilenceMilliseconds(learner) >= learnerRemovalSilenceMilliseconds);
	return silent === undefined ? undefined : {...membership, learners: membership.learners.filter(learner => learner !== silent)};
}

function promoteLearner(view: MembershipView): Membership | undefined {
	const {voters, learners} = view.membership;
	const ready = learners.find(learner => view.joining.includes(learner) && view.getMatchIndex(learner) + maximumLearnerLagEntries >= view.lastIndex && isPromotable(view, learner));
	return ready === undefined ? undefined : {voters: [...voters, ready], learners: learners.filter(learner => learner !== ready)};
}

/** Checks whether a replica is the newest identity of its host that requested to join; the disks of older identities are lost. */
function isNewestOfHost(view: MembershipView, joiner: string): boolean {
	return view.joining.findLast(other => view.getHost(other) === view.getHost(joiner)) === joiner;
}

function addLearner(view: MembershipView): Membership | undefined {
	const {voters, learners} = view.membership;
	const joiner = view.joining.findLast(id => !voters.includes(id) && !learners.includes(id) && isNewestOfHost(view, id));
	if (joiner === undefined) {
		return undefined;
	}

	const host = view.getHost(joiner);
	return {voters, learners: [...learners.filter(learner => view.getHost(learner) !== host), joiner]};
}
