/**
 * Recognizes orders that their senders send again after this host has answered them. Such a sender reads answers, so it waits for this one
 * too: its order is as good as one that is sent with the revision of the zones. A copy that was on its way before the answer proves
 * nothing; it came on a connection that was open before. So a repetition counts only on a connection that was opened after the answer.
 */

/** Time after an answer within which the order may be sent again, in milliseconds; as long as senders send an order (`ack_ms`). */
const repetitionMilliseconds = 4000;

/** Maximum number of answers that are kept; the oldest are forgotten first. */
const maximumAnswers = 1000;

/** Order as it is recognized: its sender's IP address, and what it asks for. */
export type RepeatableOrder = {readonly sender: string; readonly zone: string; readonly isOut: boolean};

/** Answer that asked for a confirmation. */
type Answer = {
	/** Revision of the zones that the order needed to be confirmed for. */
	readonly revision: number;
	readonly answeredAt: number;
};

/** Recognizes repeated orders. */
export type RepeatedOrders = {
	/** Records that an order was answered with the request to confirm it for a revision. */
	recordAnswer(order: RepeatableOrder, revision: number, now: number): void;
	/**
	 * Gets the revision that a repeated order confirms, or undefined if it is none.
	 * @param order - Order without a confirmation.
	 * @param connectedAt - Time at which its connection was opened.
	 * @param now - Current time, by the same clock, in milliseconds.
	 */
	getConfirmedRevision(order: RepeatableOrder, connectedAt: number, now: number): number | undefined;
};

/** Creates a record without answers. */
export function createRepeatedOrders(): RepeatedOrders {
	const answers = new Map<string, Answer>();

	function getKey({sender, zone, isOut}: RepeatableOrder): string {
		return JSON.stringify([sender, isOut, zone]);
	}

	return {
		recordAnswer(order, revision, now) {
			const key = getKey(order);
			answers.delete(key);
			answers.set(key, {revision, answeredAt: now});
			if (answers.size > maximumAnswers) {
				const [oldest] = answers.keys();
				answers.delete(oldest!);
			}
		},
		getConfirmedRevision(order, connectedAt, now) {
			const answer = answers.get(getKey(order));
			return answer !== undefined && connectedAt > answer.answeredAt && now - answer.answeredAt <= repetitionMilliseconds ? answer.revision : undefined;
		},
	};
}
