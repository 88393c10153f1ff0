/**
 * Decides membership changes for a leader, one at a time: a replica with a new
 * identity joins as a learner, becomes a voter once it has caught up, and then
 * replaces the voter with the lost identity of the same host.
 */
import {type Membership} from './message.js';

/** Entries that a replica may lack and still count as caught up. */
export const allowedLag = 16;

/** What a leader knows when it decides. */
export type MembershipView = {
	readonly self: string;
	readonly membership: Membership;
	readonly lastIndex: number;
	/** Replicas that asked to join, newest last. */
	readonly joining: readonly string[];
	getMatchIndex(id: string): number;
	getHost(id: string): string;
};

/**
 * Gets the next membership, or undefined when nothing is to change.
 * @param view - What the leader knows.
 */
export function getNextMembership(view: MembershipView): Membership | undefined {
	return removeReplaced(view) ?? promoteLearner(view) ?? addLearner(view);
}

function removeReplaced(view: MembershipView): Membership | undefined {
	const {membership, self} = view;
	const {voters} = membership;
	const replaced = voters.find((voter, index) => voter !== self && voters.slice(index + 1).some(later => view.getHost(later) === view.getHost(voter)));
	return replaced === undefined ? undefined : {...membership, voters: voters.filter(voter => voter !== replaced)};
}

function promoteLearner(view: MembershipView): Membership | undefined {
	const {voters, learners} = view.membership;
	const ready = learners.find(learner => view.joining.includes(learner) && view.getMatchIndex(learner) + allowedLag >= view.lastIndex);
	return ready === undefined ? undefined : {voters: [...voters, ready], learners: learners.filter(learner => learner !== ready)};
}

function addLearner(view: MembershipView): Membership | undefined {
	const {voters, learners} = view.membership;
	const joiner = view.joining.findLast(id => !voters.includes(id) && !learners.includes(id));
	if (joiner === undefined) {
		return undefined;
	}

	const host = view.getHost(joiner);
	return {voters, learners: [...learners.filter(learner => view.getHost(learner) !== host), joiner]};
}
