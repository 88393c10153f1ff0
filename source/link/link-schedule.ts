/**
 * Decides which large response may write its next bytes, and when. Written bytes wait in the kernel and in the network, where nothing
 * overtakes them, so large responses write only as much ahead as delays a small response little. Among large responses the one that is due first
 * goes first: responses that share the link evenly would all be late together.
 */
import {type LinkLoad} from './link-load.js';

/** Time that the link needs for the bytes that large responses may write ahead, in milliseconds. It covers late timers of a busy process. */
const windowMilliseconds = 20;

/** Minimum size of a write, since each one costs processor time; on a slow link it is more than the window. */
const minimumWriteBytes = 4096;

/** Maximum size of a write. Node takes 16 KiB before it reports that a caller is slow. */
const maximumWriteBytes = 12_288;

/** A large response that is being sent. */
export type LargeStream = {
	/** Time in milliseconds at which its caller expects it to be complete. */
	readonly dueAt: number;
	/** Gets the number of bytes that are ready to be written. */
	getReadyBytes(): number;
};

/** What happens next: a response writes, or none does before a time has passed, or none has anything to write. */
export type LinkStep<Stream>
	= | {readonly kind: 'write'; readonly stream: Stream; readonly bytes: number}
		| {readonly kind: 'wait'; readonly milliseconds: number}
		| {readonly kind: 'idle'};

/**
 * Gets the next step of the large responses.
 * @param streams - Large responses whose callers take more bytes.
 * @param load - Load of the link.
 * @param now - Current time in milliseconds.
 */
export function getNextStep<Stream extends LargeStream>(streams: Iterable<Stream>, load: LinkLoad, now: number): LinkStep<Stream> {
	const stream = findFirstDue(streams, now);
	if (stream === undefined) {
		return {kind: 'idle'};
	}

	const bytes = Math.min(stream.getReadyBytes(), maximumWriteBytes);
	const writtenAheadBytes = Math.max(load.getRate() * windowMilliseconds, minimumWriteBytes) - Math.min(bytes, minimumWriteBytes);
	const excessBytes = load.getQueuedBytes(now) - writtenAheadBytes;
	if (excessBytes > 0) {
		return {kind: 'wait', milliseconds: excessBytes / load.getRate()};
	}

	return {kind: 'write', stream, bytes: Math.min(bytes, Math.floor(Math.min(bytes, minimumWriteBytes) - excessBytes))};
}

/** Finds the response that is due first; one that is late already goes after those that can still be in time. */
function findFirstDue<Stream extends LargeStream>(streams: Iterable<Stream>, now: number): Stream | undefined {
	let first: Stream | undefined;
	for (const stream of streams) {
		if (stream.getReadyBytes() > 0 && (first === undefined || isDueBefore(stream, first, now))) {
			first = stream;
		}
	}

	return first;
}

function isDueBefore(one: LargeStream, other: LargeStream, now: number): boolean {
	const isOneLate = one.dueAt < now;
	const isOtherLate = other.dueAt < now;
	return isOneLate === isOtherLate ? one.dueAt < other.dueAt : isOtherLate;
}
