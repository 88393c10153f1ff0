/** Outcomes of attempts: a response, held or streamed, or a failure with its verdict. */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type ByteReservation} from '../../bytes/index.js';
import {type Verdict} from '../../verdict/index.js';
import {type ResponseCompletion, type ResponseHead} from '../http/index.js';

/** Response that was held until it was complete. */
export type WholeResponse = {readonly kind: 'whole'; readonly head: ResponseHead; readonly body: Buffer; readonly reservation: ByteReservation};

/** Head and first chunks of a response that is too large to buffer, alone or together with others. */
export type LargeResponse = {
	readonly kind: 'large';
	readonly head: ResponseHead;
	readonly firstChunks: readonly Buffer[];
	readonly rest: IncomingMessage;
	readonly completion: ResponseCompletion;
	readonly reservation: ByteReservation;
};

/** Response of a server. */
export type AttemptResponse = WholeResponse | LargeResponse;

/** Attempt without a response that counts. */
export type FailedAttempt = {readonly kind: 'failed'; readonly verdict: Verdict; readonly hasCrashed: boolean};

/** Outcome of an attempt. */
export type AttemptOutcome = AttemptResponse | FailedAttempt;
