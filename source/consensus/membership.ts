/**
 * Decides membership changes for a leader, one at a time: a replica with a new
 * identity joins as a learner, becomes a voter once it has caught up, and then
 * replaces the voter with the lost identity of the same host. Where the number of
 * voters is bounded, a learner of another host stands by until there is a place, or
 * until it can replace a voter that has been silent. A silent voter goes only after
 * its successor has a vote, so the voters never fall below their number, and a cut
 * minority for which nobody stands by stays.
 */
import {type Membership} from './message.js';

/** Entries that a replica may lack and still count as caught up. */
export const maximumLearnerLagEntries = 16;

/** What a leader knows when it decides. */
export type MembershipView = {
	readonly self: string;
	readonly membership: Membership;
	readonly lastIndex: number;
	/** Replicas that asked to join, newest last. */
	readonly joining: readonly string[];
	getMatchIndex(id: string): number;
	getHost(id: string): string;
	/** Largest number of voters; unbounded when absent. */
	readonly maximumVoters?: number;
	/** Gets the time since a member last answered in milliseconds, for members other than the leader. */
	getSilenceMilliseconds?(id: string): number;
};

/** Silence after which a voter may be replaced, in milliseconds; longer than an election and a reconnection take. */
export const voterReplacementSilenceMilliseconds = 1500;

/** Silence after which a learner that does not return is dropped, in milliseconds. */
const learnerRemovalSilenceMilliseconds = 10_000;

/**
 * Gets the next membership, or undefined when nothing is to change.
 * @param view - What the leader knows.
 */
export function getNextMembership(view: MembershipView): Membership | undefined {
	return removeSupersededVoter(view) ?? removeExcessVoter(view) ?? promoteLearner(view) ?? addLearner(view) ?? removeSilentLearner(view);
}

function removeSupersededVoter(view: MembershipView): Membership | undefined {
	const {membership, self} = view;
	const {voters} = membership;
	const superseded = voters.find((voter, index) => voter !== self && voters.slice(index + 1).some(later => view.getHost(later) === view.getHost(voter)));
	return superseded === undefined ? undefined : {...membership, voters: voters.filter(voter => voter !== superseded)};
}

/** Gets the voter that has been silent for longest, if it may be replaced. */
function getLongestSilentVoter(view: MembershipView): string | undefined {
	const {getSilenceMilliseconds = () => 0} = view;
	return view.membership.voters
		.filter(voter => voter !== view.self && getSilenceMilliseconds(voter) >= voterReplacementSilenceMilliseconds)
		.toSorted((left, right) => getSilenceMilliseconds(right) - getSilenceMilliseconds(left))[0];
}

/** Removes a silent voter after its successor was added. */
function removeExcessVoter(view: MembershipView): Membership | undefined {
	const {membership} = view;
	const excess = membership.voters.length > (view.maximumVoters ?? Number.POSITIVE_INFINITY) ? getLongestSilentVoter(view) : undefined;
	return excess === undefined ? undefined : {...membership, voters: membership.voters.filter(voter => voter !== excess)};
}

/** Checks whether there is a place for one more voter, or a voter whose place it can take. */
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

/** Checks whether a replica is the newest identity of its host that asked to join; older ones have lost their disks. */
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
