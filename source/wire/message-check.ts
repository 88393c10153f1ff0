/**
 * Checks of the form of messages. They name what the handlers of this release rely on: unknown fields pass, and so do messages of
 * unknown kinds, which handlers ignore, since a newer release may send them.
 */
import * as z from 'zod';
import {MessageError, type MessageReceiver} from './message-boundary.js';

const anyMessage = z.looseObject({kind: z.string()});

/** Schema of a number; infinite ones are possible. */
export const numberField: z.ZodType<number> = z.custom<number>(value => typeof value === 'number' && !Number.isNaN(value), 'expected a number');

/** Schema of a list of numbers. */
export const numbersField: z.ZodType<readonly number[]> = z.array(numberField);

/** Schema of a list of texts. */
export const textsField: z.ZodType<readonly string[]> = z.array(z.string());

/**
 * Creates a schema for the kinds of a union. Unknown kinds pass.
 * @param kinds - Schemas by kind.
 */
export function createKindsSchema(kinds: Readonly<Record<string, z.ZodType>>): z.ZodType {
	return anyMessage.superRefine((message, context) => {
		const schema = Object.hasOwn(kinds, message.kind) ? kinds[message.kind] : undefined;
		const result = schema?.safeParse(message);
		for (const issue of result?.error?.issues ?? []) {
			context.addIssue({code: 'custom', message: issue.message, path: issue.path});
		}
	});
}

/**
 * Creates a check of messages.
 * @param schema - Schema of the messages.
 */
export function createMessageCheck<Message>(schema: z.ZodType): MessageReceiver<Message>['check'] {
	return message => {
		const {error} = schema.safeParse(message);
		if (error !== undefined) {
			const {kind} = (message ?? {}) as {readonly kind?: unknown};
			throw new MessageError(`malformed message of kind ${JSON.stringify(kind)}: ${z.prettifyError(error)}`);
		}

		return message as Message;
	};
}
