/** Schema of the requests to the leader. What it lets through can be put into the replicated log, from which no host can refuse it later. */
import * as z from 'zod';
import {createKindsSchema, numberField, textsField} from '../wire/index.js';
import {
	announcementField, documentField, environmentField, quotaReportField, updateField,
} from './message-fields.js';

const configurationCommand = z.discriminatedUnion('kind', [
	z.looseObject({
		kind: z.literal('apply'), environment: environmentField, base: numberField, change: z.string(), update: updateField, author: z.string(),
	}),
	z.looseObject({
		kind: z.literal('promote'), source: numberField, base: numberField, change: z.string(), author: z.string(),
	}),
	z.looseObject({
		kind: z.literal('declare'), environment: environmentField, version: numberField, document: documentField, source: z.string(), author: z.string(),
	}),
]);

const storedResponse = z.looseObject({status: numberField, headers: textsField, body: z.instanceof(Uint8Array)});

const ledgerCommand = z.discriminatedUnion('kind', [
	z.looseObject({
		kind: z.literal('claim'), key: z.string(), attempt: z.string(), digest: z.string(),
	}),
	z.looseObject({
		kind: z.literal('finish'), key: z.string(), attempt: z.string(), answer: storedResponse.optional(),
	}),
	z.looseObject({kind: z.literal('release'), key: z.string(), attempt: z.string()}),
]);

/** Schema of a request. */
export const requestSchema: z.ZodType = createKindsSchema({
	announce: z.looseObject({announcement: announcementField}),
	configure: z.looseObject({command: configurationCommand}),
	ledger: z.looseObject({command: ledgerCommand}),
	leave: z.looseObject({name: z.string(), bornAt: numberField.optional(), known: z.looseObject({boot: z.string().optional()}).optional()}),
	moveZone: z.looseObject({
		zone: z.string(), isOut: z.boolean(), revision: numberField.optional(), isConfirmed: z.boolean().optional(), order: z.string().optional(),
	}),
	drain: z.looseObject({key: z.string(), boot: z.string().optional()}),
	crash: z.looseObject({fingerprint: z.string()}),
	clearCrashes: z.looseObject({fingerprint: z.string()}),
	quota: z.looseObject({
		environment: environmentField, process: z.string(), epoch: numberField, report: quotaReportField, waiting: numberField, refused: numberField,
	}),
	readVersion: z.looseObject({environment: environmentField}),
	readHistory: z.looseObject({environment: environmentField}),
	readInForce: z.looseObject({environment: environmentField, version: numberField}),
});
