/**
 * Decides whether a control host that was asked to stop may do so yet, and who leads
 * after it. A planned stop waits until the other voters form a quorum without this
 * host, so that restarts which follow each other closely never end the leases. Hosts
 * tell each other what they are about to do; of two that ask at the same time the one
 * whose replica sorts first goes first.
 */
import {maximumLearnerLagEntries, isQuorum} from '../consensus/index.js';
import {type Availability, type ReplicaStatus} from './message.js';

/** What a control host knows when it wants to stop. */
export type StopConditions = {
	readonly self: string;
	/** Voters and learners as the leader sees them. */
	readonly replicas: readonly ReplicaStatus[];
	readonly commitIndex: number;
	/** What other replicas said last of themselves. */
	readonly availabilities: ReadonlyMap<string, Availability>;
	/** Silence after which a replica does not count, in milliseconds. */
	readonly maximumSilenceMilliseconds: number;
};

/**
 * Checks whether the other voters form a quorum without this one. Where they never
 * could, because there are too few of them, nothing is waited for.
 * @param conditions - What the host knows.
 */
export function isSafeToStop(conditions: StopConditions): boolean {
	const voters = conditions.replicas.filter(({role}) => role !== 'learner');
	const others = voters.filter(({replica}) => replica !== conditions.self);
	if (others.length === voters.length || !isQuorum(others.length, voters.length)) {
		return true;
	}

	return isQuorum(others.filter(other => isAvailable(other, conditions)).length, voters.length);
}

function isAvailable(other: ReplicaStatus, conditions: StopConditions): boolean {
	const isCurrent = other.silentMilliseconds < conditions.maximumSilenceMilliseconds && other.matchIndex + maximumLearnerLagEntries >= conditions.commitIndex;
	return isCurrent && !hasStopPriority(other.replica, conditions);
}

function hasStopPriority(other: string, conditions: StopConditions): boolean {
	const availability = conditions.availabilities.get(other) ?? 'serving';
	switch (availability) {
		case 'serving': {
			return false;
		}

		case 'asking': {
			return other < conditions.self;
		}

		case 'stopping': {
			return true;
		}
	}
}

/** What a leader knows of a voter that could lead after it. */
export type SuccessorCandidate = {readonly replica: string; readonly matchIndex: number; readonly silentMilliseconds: number};

/**
 * Gets the voter that leads next: of those that answer, the one with the longest log.
 * @param voters - The other voters.
 * @param silenceMilliseconds - Silence after which a voter does not answer.
 */
export function getSuccessor(voters: readonly SuccessorCandidate[], silenceMilliseconds: number): string | undefined {
	return voters
		.filter(voter => voter.silentMilliseconds < silenceMilliseconds)
		.toSorted((left, right) => right.matchIndex - left.matchIndex)[0]?.replica;
}
