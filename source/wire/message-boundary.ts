/**
 * Boundary around the handlers of messages between our own processes. A message that is not of the expected form is refused before
 * its handler runs; an unexpected error of a handler ends just the link on which the message came.
 */
import {type Link} from './link.js';

/** Thrown for a message that is not of the expected form. */
export class MessageError extends Error {
	override readonly name = 'MessageError';
}

/** Error because of which a link was ended. */
export type LinkFailure = {
	/** Name of the peer. */
	readonly peer: string;
	readonly error: unknown;
};

/** What receives the messages of a link. */
export type MessageReceiver<Message> = {
	/** Checks the form of a message, and returns it. Throws an error if it is malformed. */
	check(message: unknown): Message;
	/** Handles a message that was checked. */
	handle(message: Message): Promise<void> | void;
	/** Called when the link is closed. */
	onClose?(): void;
	/** Called after the link was ended because of an error. */
	onFailure(failure: LinkFailure): void;
};

/**
 * Passes the messages of a link to a receiver, until the link is closed or one of them fails.
 * @param link - Open link.
 * @param receiver - Check and handler of its messages.
 */
export function receiveMessages<Message>(link: Link<unknown>, receiver: MessageReceiver<Message>): void {
	let hasFailed = false;

	function fail(error: unknown): void {
		hasFailed = true;
		link.close();
		receiver.onFailure({peer: link.peer, error});
	}

	async function handle(message: unknown): Promise<void> {
		try {
			await receiver.handle(receiver.check(message));
		} catch (error) {
			fail(error);
		}
	}

	function close(): void {
		try {
			receiver.onClose?.();
		} catch (error) {
			fail(error);
		}
	}

	link.messages.subscribe({
		next(message) {
			// Messages that arrived together with one that failed are lost with the link.
			if (!hasFailed) {
				void handle(message);
			}
		},
		error(error) {
			if (!hasFailed) {
				fail(error);
			}

			close();
		},
		complete: close,
	});
}
