/** Checks the messages with which entries exchange their counts. */
import * as z from 'zod';
import {type CountsMessage} from '../../choice/index.js';
import {
	createKindsSchema, createMessageCheck, numbersField, type MessageReceiver,
} from '../../wire/index.js';

/** Checks a message of another entry. */
export const checkCounts: MessageReceiver<CountsMessage>['check'] = createMessageCheck<CountsMessage>(createKindsSchema({
	counts: z.looseObject({isWhole: z.boolean(), servers: numbersField, inFlight: numbersField}),
}));
