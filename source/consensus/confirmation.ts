/**
 * Questions whether this replica still leads. Each waits for a round of messages
 * that starts after it was asked; a quorum of answers to that round, or to a later
 * one, confirms it. Urgent questions start a round at once, others wait for the next
 * heartbeat, so that any number of them costs no message of their own.
 */

type ConfirmationRequest = {readonly token: number; readonly round: number; readonly isUrgent: boolean};

/** Questions that wait for their round. */
export type Confirmations = {
	/** Gets the number of the newest round. */
	getRound(): number;
	/** Starts a round and returns its number. */
	startRound(): number;
	request(token: number, isUrgent: boolean): void;
	/** Checks whether a question waits for a round that has not started. */
	isRoundRequested(): boolean;
	/** Checks whether an urgent question waits for a round, and no earlier round is under way. */
	isRoundDue(): boolean;
	/** Takes the questions that a round confirms. */
	takeConfirmed(confirmedRound: number): readonly number[];
	/** Takes every question, when leadership is lost. */
	takeAll(): readonly number[];
};

/** Creates rounds without questions. */
export function createConfirmations(): Confirmations {
	let round = 0;
	let requests: readonly ConfirmationRequest[] = [];

	function isRoundRequested(): boolean {
		return requests.some(request => request.round > round);
	}

	return {
		getRound: () => round,
		startRound() {
			round++;
			return round;
		},
		request(token, isUrgent) {
			requests = [...requests, {token, round: round + 1, isUrgent}];
		},
		isRoundRequested,
		isRoundDue: () => requests.some(request => request.isUrgent) && requests.every(request => request.round > round),
		takeConfirmed(confirmedRound) {
			const confirmed = requests.filter(request => request.round <= confirmedRound);
			if (confirmed.length > 0) {
				requests = requests.filter(request => request.round > confirmedRound);
			}

			return confirmed.map(request => request.token);
		},
		takeAll() {
			const taken = requests;
			requests = [];
			return taken.map(request => request.token);
		},
	};
}
