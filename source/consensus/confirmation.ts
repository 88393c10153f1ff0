/**
 * Questions whether this replica still leads. Each waits for a round of messages
 * that starts after it was asked; a quorum of answers to that round, or to a later
 * one, confirms it. Urgent questions start a round at once, others wait for the next
 * heartbeat, so that any number of them costs no message of their own.
 */

type Question = {readonly token: number; readonly round: number; readonly isUrgent: boolean};

/** Questions that wait for their round. */
export type Confirmations = {
	/** Gets the number of the newest round. */
	getRound(): number;
	/** Starts a round and returns its number. */
	startRound(): number;
	ask(token: number, isUrgent: boolean): void;
	/** Checks whether a question waits for a round that has not started. */
	isRoundWanted(): boolean;
	/** Checks whether an urgent question waits for a round, and no earlier round is under way. */
	isRoundDue(): boolean;
	/** Takes the questions that a round confirms. */
	settle(confirmedRound: number): readonly number[];
	/** Takes every question, when leadership is lost. */
	reject(): readonly number[];
};

/** Creates rounds without questions. */
export function createConfirmations(): Confirmations {
	let round = 0;
	let questions: readonly Question[] = [];

	function isRoundWanted(): boolean {
		return questions.some(question => question.round > round);
	}

	return {
		getRound: () => round,
		startRound() {
			round++;
			return round;
		},
		ask(token, isUrgent) {
			questions = [...questions, {token, round: round + 1, isUrgent}];
		},
		isRoundWanted,
		isRoundDue: () => questions.some(question => question.isUrgent) && questions.every(question => question.round > round),
		settle(confirmedRound) {
			const settled = questions.filter(question => question.round <= confirmedRound);
			if (settled.length > 0) {
				questions = questions.filter(question => question.round > confirmedRound);
			}

			return settled.map(question => question.token);
		},
		reject() {
			const rejected = questions;
			questions = [];
			return rejected.map(question => question.token);
		},
	};
}
