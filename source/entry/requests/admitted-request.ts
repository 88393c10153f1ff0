/** A request that has been admitted: its content, service and route, and how it ends. */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type Service} from '../../configuration/index.js';
import {type LinkUse} from '../../link/index.js';
import {type QuotaToken} from '../../quota/index.js';
import {type Verdict} from '../../verdict/index.js';
import {type Access, type RequestRank} from '../../workspace/index.js';
import {type Exchange} from '../callers/index.js';
import {type ServiceState} from '../fleet/index.js';
import {type Decision} from '../reporting/index.js';
import {type RoutePolicy} from '../routing/index.js';
import {type Claim} from './claims.js';
import {type RequestContext} from './request-context.js';

/** Content of a caller's request. */
export type RequestContent = {
	readonly method: string;
	readonly target: string;
	readonly key: string | undefined;
	readonly isIdempotent: boolean;
	readonly body: Buffer | undefined;
	readonly stream: IncomingMessage | undefined;
};

/** Request that has been admitted, with its service and route. */
export type AdmittedRequest = {
	readonly context: RequestContext;
	readonly state: ServiceState;
	readonly service: Service;
	readonly route: RoutePolicy;
	readonly access: Access;
	readonly rank: RequestRank;
	readonly request: RequestContent;
	readonly exchange: Exchange;
	readonly requestId: string;
	readonly deadlineAt: number;
	/** Whether the request is unlikely to meet its target latency. */
	readonly isLate: boolean;
	readonly claim: Claim | undefined;
	/** Token of the quota of its workspace; undefined if it has no quota. */
	readonly token: QuotaToken | undefined;
	/** Use of the link of the entry by a response that is expected to be large. */
	readonly linkUse: LinkUse | undefined;
	/** Responds with a verdict of the entry. */
	refuse(verdict: Verdict): void;
	/** Ends the request after an unexpected error. */
	fail(error: unknown): void;
	/** Called when the request has ended. */
	onEnd(verdict: Verdict): void;
	/** Records a decision for the log. */
	recordDecision(decision: Decision): void;
	computeFingerprint(): string;
};
