/** Options of an attempt: the request, the limits of its response, and callbacks. */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type ByteBudget} from '../../bytes/index.js';
import {type Dialect, type ServerReport} from '../dialect.js';
import {type AttemptOutcome} from './attempt-outcome.js';
import {type DiscardedAnswer} from './discarded-answers.js';
import {type Pool} from './pool.js';

/** Options of an attempt. */
export type AttemptOptions = {
	readonly pool: Pool;
	readonly dialect: Dialect;
	readonly requestId: string;
	readonly method: string;
	readonly target: string;
	/** Alternating names and values. */
	readonly headers: readonly string[];
	readonly body: Buffer | undefined;
	/** Body that is streamed from the caller with back-pressure. */
	readonly stream: IncomingMessage | undefined;
	readonly deadlineAt: number;
	readonly maximumBufferedBytes: number;
	/** Budget of all buffered responses. The receiver of the outcome releases the reservation that it contains. */
	readonly bufferedResponses: ByteBudget;
	/** Maximum size of a streamed body, in bytes. */
	readonly maximumBodyBytes: number;
	/** Checks, in the event loop turn of the write, whether the request may still be dispatched. */
	mayDispatch(): boolean;
	/** Checks, in the same turn, whether the server has withdrawn since it was selected, so that it wants no request. */
	hasServerWithdrawn(): boolean;
	onReport(hints: ServerReport): void;
	/** Called with an answer that does not count. */
	onDiscard?(answer: DiscardedAnswer): void;
	/** Called with an unexpected error while a response is handled; the attempt has been cancelled. */
	onError(error: unknown): void;
	onEnd(outcome: AttemptOutcome): void;
};
