/**
 * Requests to confirm that this replica is still the leader. A request waits for a round of append messages that starts after
 * it and is confirmed when a quorum has acknowledged that round or a later one. An urgent request starts a round at once;
 * other requests share the round of the next heartbeat and cause no messages of their own.
 */

type ConfirmationRequest = {readonly token: number; readonly round: number; readonly isUrgent: boolean};

/** Confirmation requests that are pending. */
export type Confirmations = {
	/** Gets the number of the newest round. */
	getRound(): number;
	/** Starts a round and returns its number. */
	startRound(): number;
	/** Adds a request that waits for the next round. */
	request(token: number, isUrgent: boolean): void;
	/** Checks whether a request waits for a round that has not started. */
	isRoundRequested(): boolean;
	/** Checks whether an urgent request waits for a new round and no request waits for a round in flight. */
	isRoundDue(): boolean;
	/** Removes the requests that a round confirms and returns their tokens. */
	takeConfirmed(confirmedRound: number): readonly number[];
	/** Removes all requests, because leadership was lost, and returns their tokens. */
	takeAll(): readonly number[];
};

/** Creates an empty set of confirmation requests. */
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
