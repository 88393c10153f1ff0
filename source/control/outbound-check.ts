/** Checks the messages that control hosts send to those who are linked to them. */
import * as z from 'zod';
import {
	createKindsSchema, createMessageCheck, numberField, numbersField, textsField, type MessageReceiver,
} from '../wire/index.js';
import {type ControlOutbound} from './message.js';
import {
	announcementField, peerField, permitField, quotaGrantField, updateField,
} from './message-fields.js';

const server = z.looseObject({
	id: numberField, announcement: announcementField, state: z.string(), isAbsent: z.boolean(), isRemoved: z.boolean(),
});

const grant = z.looseObject({
	sequence: numberField,
	termMilliseconds: numberField,
	epoch: numberField,
	revision: numberField,
	isWhole: z.boolean(),
	servers: z.array(server),
	logIndex: numberField.optional(),
	listed: numbersField.optional(),
	version: numberField,
	document: updateField.optional(),
	permits: z.array(permitField),
	duties: numbersField,
	probeMilliseconds: numberField,
	quarantined: textsField,
	zonesOut: textsField,
	zonesRevision: numberField.optional(),
	entries: numberField,
	keepsEarlier: z.boolean().optional(),
	slack: z.looseObject({part: numberField}).optional(),
	quota: z.array(quotaGrantField).optional(),
	aboveShare: textsField.optional(),
	peers: z.array(peerField).optional(),
});

/** Checks a message of a control host. */
export const checkOutbound: MessageReceiver<ControlOutbound>['check'] = createMessageCheck<ControlOutbound>(createKindsSchema({
	reply: z.looseObject({id: numberField, answer: z.looseObject({kind: z.string()})}),
	grant,
	refusal: z.looseObject({sequence: numberField, leader: z.string().optional()}),
	quarantined: z.looseObject({fingerprints: textsField}),
	directory: z.looseObject({hosts: textsField, index: numberField, leader: z.string().optional()}),
}));
