/** Receiver of a response's body: the response to a caller itself, or one that the link of the entry paces. */
import {type Buffer} from 'node:buffer';

/** Receiver of a body. */
export type BodyTarget = {
	/** Whether nothing more reaches the caller. */
	readonly destroyed: boolean;
	/** Takes a part of the body; returns whether more can be taken before the next `drain`. */
	write(part: Buffer): boolean;
	/** Ends the body behind the parts that were taken. */
	end(): unknown;
	on(event: 'drain', listener: () => void): unknown;
};
