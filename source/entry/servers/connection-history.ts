/** What a connection to a server has carried. An answer that belongs to no request is often a late one to an earlier request, so its log line tells what came before it. */
import {type Duplex} from 'node:stream';

/** History of one connection. */
export type ConnectionHistory = {
	/** Records an answer that was accepted as that of its request. */
	recordAnswer(): void;
	/** Gets the number of accepted answers. */
	getAnswerCount(): number;
	/** Gets the time since the first use of the connection, in milliseconds. */
	getAge(): number;
};

/** Histories of the connections to one server. */
export type ConnectionHistories = {
	/** Gets the history of a connection; it begins with the first call. */
	get(connection: Duplex): ConnectionHistory;
};

function createConnectionHistory(getTime: () => number): ConnectionHistory {
	const startedAt = getTime();
	let answerCount = 0;
	return {
		recordAnswer() {
			answerCount++;
		},
		getAnswerCount: () => answerCount,
		getAge: () => getTime() - startedAt,
	};
}

/**
 * Creates histories without a connection.
 * @param getTime - Gets the current time in milliseconds.
 */
export function createConnectionHistories(getTime: () => number): ConnectionHistories {
	const histories = new WeakMap<Duplex, ConnectionHistory>();
	return {
		get(connection) {
			const history = histories.get(connection) ?? createConnectionHistory(getTime);
			histories.set(connection, history);
			return history;
		},
	};
}
