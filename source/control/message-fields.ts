/** Schemas of the parts that several messages between our own processes have. */
import * as z from 'zod';
import {numberField, numbersField, textsField} from '../wire/index.js';

const count = numberField.optional();

/** Schema of the name of an environment. */
export const environmentField = z.enum(['trial', 'production']);

/** Schema of an announcement. */
export const announcementField = z.looseObject({
	service: z.string(),
	name: z.string(),
	host: z.string(),
	port: numberField,
	zone: z.string(),
	slots: numberField,
	boot: z.string(),
	state: z.string(),
	connections: count,
	load: count,
	bornAt: count,
	sequence: count,
	coldMilliseconds: count,
	probePath: z.string().optional(),
});

const service = z.looseObject({
	name: z.string(),
	host: z.string().optional(),
	path: z.string().optional(),
	idempotentMethods: textsField.optional(),
	keyHeader: z.string().optional(),
	deadlineMilliseconds: count,
	queueLength: count,
	retryRatio: count,
	hedgeRatio: count,
});

const zones = z.array(z.looseObject({name: z.string()}));

const routes = z.array(z.looseObject({
	name: z.string(),
	host: z.string().optional(),
	path: z.string(),
	parts: z.array(z.looseObject({service: z.string(), weight: numberField})),
	timeoutMilliseconds: numberField,
	attempts: numberField,
}));

const group = z.looseObject({}).optional();

/** Schema of an environment document. */
export const documentField = z.looseObject({
	zones, services: z.array(service), routes: routes.optional(), measuring: group, outliers: group, clientLimits: group,
});

/** Schema of an update of a document. */
export const updateField = z.union([
	z.looseObject({kind: z.literal('whole'), document: documentField}),
	z.looseObject({
		kind: z.literal('delta'),
		delta: z.looseObject({
			zones: zones.optional(), services: z.array(service), routes: routes.optional(), measuring: group,
			outliers: group, clientLimits: group, removed: textsField, order: textsField.optional(), digest: z.string(),
		}),
	}),
]);

/** Schema of the members of the replicated log. */
export const membershipField = z.looseObject({voters: textsField, learners: textsField});

/** Schema of the address of an entry. */
export const peerField = z.looseObject({name: z.string(), host: z.string(), port: numberField});

const capacity = z.looseObject({
	epoch: numberField, grant: numberField, slots: numberField, held: numberField,
});

/** Schema of a permit. */
export const permitField = z.looseObject({
	server: numberField, slots: numberField, requestsPerSecond: count, capacity: capacity.optional(),
});

const earlierTokens = z.looseObject({
	held: numberField,
	recent: numbersField,
	told: z.looseObject({
		total: numberField, held: numberField, age: numberField, requestsPerSecond: numberField,
	}).optional(),
});

/** Schema of the report on the tokens of one workspace. */
export const quotaReportField = z.tuple([z.string(), numberField, numberField, numberField, numberField, earlierTokens.optional()], z.unknown());

/** Schema of the tokens of one workspace that were lent. */
export const quotaGrantField = z.tuple([z.string(), numberField, numberField, numberField, numberField.optional()], z.unknown());
