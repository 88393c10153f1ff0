/** Schema of the messages between replicas. They are refused as a whole, since a replica must not stop half way through one. */
import * as z from 'zod';
import {createKindsSchema, numberField} from '../wire/index.js';
import {membershipField} from './message-fields.js';

const payload = createKindsSchema({
	membership: z.looseObject({membership: membershipField}),
	command: z.looseObject({command: z.looseObject({})}),
});

const entry = z.looseObject({index: numberField, term: numberField, payload});

const snapshot = z.looseObject({index: numberField, term: numberField, membership: membershipField});

/** Schema of an install message, without the contents of its snapshot. */
export const installSchema = z.looseObject({term: numberField, snapshot});

/** Schema of a message between replicas. */
export const replicaMessageSchema: z.ZodType = createKindsSchema({
	voteRequest: z.looseObject({term: numberField, lastIndex: numberField, lastTerm: numberField}),
	vote: z.looseObject({term: numberField, isGranted: z.boolean()}),
	append: z.looseObject({
		term: numberField, previousIndex: numberField, previousTerm: numberField, entries: z.array(entry), commitIndex: numberField,
	}),
	appended: z.looseObject({term: numberField, isSuccess: z.boolean(), index: numberField}),
	install: installSchema,
	timeoutNow: z.looseObject({term: numberField}),
});
