/** Checks the messages that control hosts receive. */
import * as z from 'zod';
import {
	createKindsSchema, createMessageCheck, numberField, numbersField, textsField, type MessageReceiver,
} from '../wire/index.js';
import {type ControlInbound} from './message.js';
import {
	environmentField, peerField, permitField, quotaReportField,
} from './message-fields.js';
import {installSchema, replicaMessageSchema} from './replica-message-schema.js';
import {requestSchema} from './request-schema.js';

const observation = z.looseObject({
	server: numberField, inFlight: numberField, successes: numberField, sheds: numberField, isCold: z.boolean(), unansweredShedReports: numberField.optional(),
});

const earlierState = z.looseObject({absent: numbersField, quarantined: textsField, entries: numberField});

const slackReport = z.looseObject({
	total: numberField, part: numberField, used: numberField, wanted: numberField,
});

const renewal = z.looseObject({
	entry: z.string(),
	process: z.string().optional(),
	environment: environmentField,
	sequence: numberField,
	acknowledged: numberField,
	version: numberField,
	epoch: numberField,
	revision: numberField,
	logIndex: numberField.optional(),
	observations: z.array(observation),
	held: z.array(permitField).optional(),
	earlier: earlierState.optional(),
	slack: slackReport.optional(),
	quota: z.array(quotaReportField).optional(),
	failedProbes: numbersField,
	heard: numbersField,
	crashes: z.array(z.looseObject({fingerprint: z.string()})),
	peer: peerField.optional(),
	isFinal: z.boolean(),
});

const serviceCount = z.looseObject({
	service: z.string(), total: numberField, failed: numberField, slow: numberField, histogram: z.string(),
});

const addressed = {from: z.string(), to: z.string()};

/** Checks a message to a control host. */
export const checkInbound: MessageReceiver<ControlInbound>['check'] = createMessageCheck<ControlInbound>(createKindsSchema({
	consensus: z.looseObject({...addressed, message: replicaMessageSchema}),
	snapshotPart: z.looseObject({
		...addressed, transfer: numberField, number: numberField, install: installSchema.optional(),
	}),
	join: z.looseObject({replica: z.string()}),
	availability: z.looseObject({replica: z.string(), availability: z.string()}),
	renewal,
	request: z.looseObject({id: numberField, request: requestSchema}),
	burnReport: z.looseObject({environment: z.string(), startedAt: numberField, services: z.array(serviceCount)}),
}));
