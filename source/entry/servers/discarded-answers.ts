/** Counts and logs the answers of servers that an entry discards, with the reason and what their connections carried before. */
import {type Candidate} from '../../choice/index.js';
import {createLineLimit, type Log} from '../../telemetry/index.js';
import {type ConnectionHistory} from './connection-history.js';

/** Rate limit of the lines; the counter has all answers. */
const maximumLinesPerSecond = 20;

/** Maximum length of an id that a server sent. */
const maximumIdLength = 100;

/** Reason to discard an answer. */
export type DiscardReason
	= | 'answer-malformed' | 'answer-mismatched' | 'answer-truncated' | 'answer-unproven'
	/** The server sent data that cannot be parsed. */
		| 'answer-unparsable'
	/** The server sent data on a connection without a request. */
		| 'answer-unsolicited';

/** Answer that was discarded. */
export type DiscardedAnswer = {
	readonly reason: DiscardReason;
	readonly history: ConnectionHistory | undefined;
	/** Id of the request that the connection carried, if any. */
	readonly requestId?: string;
	/** Id of a request that the answer names. */
	readonly echoedId?: string;
	/** Status of the answer, if its head was read. */
	readonly status?: number;
};

/** Record of discarded answers. */
export type DiscardedAnswers = {record(server: Pick<Candidate, 'getAnnouncement'>, answer: DiscardedAnswer): void};

/** Options of `createDiscardedAnswers`. */
export type DiscardedAnswersOptions = {
	readonly log: Log;
	countDiscardedAnswer(reason: DiscardReason): void;
	/** Gets the current time in milliseconds. */
	getTime(): number;
};

/**
 * Creates a record of discarded answers.
 * @param options - Log, counter and clock.
 */
export function createDiscardedAnswers(options: DiscardedAnswersOptions): DiscardedAnswers {
	const {log, countDiscardedAnswer, getTime} = options;
	const limit = createLineLimit(maximumLinesPerSecond, getTime);
	return {
		record(server, {reason, history, requestId, echoedId, status}) {
			countDiscardedAnswer(reason);
			if (!limit.take()) {
				return;
			}

			const {name, service, host, port} = server.getAnnouncement();
			log.warn({
				reason,
				id: requestId,
				echoedId: echoedId?.slice(0, maximumIdLength),
				status,
				service,
				server: name,
				address: `${host}:${port}`,
				connectionAnswers: history?.getAnswerCount(),
				connectionMilliseconds: history === undefined ? undefined : Math.round(history.getAge()),
				...limit.takeLeftOut(),
			}, 'answer discarded');
		},
	};
}
