/** The use of the link by one request with a large response: how many bytes it is expected to send, and how many are ready. */
import {type LargeTicket} from './large-admission.js';
import {type LargeStream} from './link-schedule.js';
import {type ResponseEstimate} from './response-estimate.js';

/** Use of the link by one request. */
export type LinkUse = {
	/**
	 * Begins to send the response.
	 * @param size - Size of the body in bytes, if it is known.
	 * @param write - Called when the link takes a number of bytes that were offered.
	 */
	begin(size: number | undefined, write: (bytes: number) => void): void;
	/** Offers further bytes of the body. */
	offer(bytes: number): void;
	/** States whether the caller takes no more bytes for now. */
	setBlocked(isBlocked: boolean): void;
	/** Ends the use, also of a request that waits for admission. */
	end(): void;
};

/** A response that is being sent. */
export type LinkStream = LargeStream & {
	/** Writes a number of its ready bytes. */
	write(bytes: number): void;
};

/** Options of `createLinkUse`. */
export type LinkUseOptions = {
	readonly ticket: LargeTicket;
	readonly estimate: ResponseEstimate;
	/** Responses whose callers take more bytes. */
	readonly streams: Set<LinkStream>;
	/** Size that is expected while the size is not known, in bytes. */
	readonly expectedBytes: number;
	/** Time in milliseconds at which the caller expects the response to be complete. */
	readonly dueAt: number;
	/** Gets the time since the request arrived, in milliseconds. */
	getElapsed(): number;
	/** Called when bytes can be written that could not before, or the request has ended. */
	onChange(): void;
};

/**
 * Creates the use of the link by a request that was admitted or waits.
 * @param options - Request, and what the uses of a link share.
 */
export function createLinkUse(options: LinkUseOptions): LinkUse {
	const {
		ticket, estimate, streams, expectedBytes, dueAt, onChange,
	} = options;
	let stream: LinkStream | undefined;
	let size: number | undefined;
	let readyBytes = 0;
	let sentBytes = 0;

	function stateRemaining(): void {
		ticket.setRemaining(Math.max(0, (size ?? expectedBytes) - sentBytes));
	}

	return {
		begin(knownSize, write) {
			size = knownSize;
			estimate.recordWait(options.getElapsed());
			stateRemaining();
			stream = {
				dueAt,
				getReadyBytes: () => readyBytes,
				write(bytes) {
					readyBytes -= bytes;
					sentBytes += bytes;
					stateRemaining();
					write(bytes);
				},
			};
			streams.add(stream);
		},
		offer(bytes) {
			readyBytes += bytes;
			onChange();
		},
		setBlocked(isBlocked) {
			ticket.setBlocked(isBlocked);
			if (stream === undefined) {
				return;
			}

			if (isBlocked) {
				streams.delete(stream);
			} else {
				streams.add(stream);
				onChange();
			}
		},
		end() {
			if (stream !== undefined) {
				streams.delete(stream);
				estimate.recordSize(size ?? sentBytes + readyBytes);
			}

			ticket.end();
			onChange();
		},
	};
}
