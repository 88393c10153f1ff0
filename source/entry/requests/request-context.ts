/** What all requests of an entry share. */
import {type ByteBudget} from '../../bytes/index.js';
import {type Candidate} from '../../choice/index.js';
import {type Service} from '../../configuration/index.js';
import {type Link} from '../../link/index.js';
import {type LatenessEstimate} from '../../limits/index.js';
import {type LoadQueryBudget} from '../../measuring/index.js';
import {type Random} from '../../randomness/index.js';
import {type Verdict} from '../../verdict/index.js';
import {type WorkspaceIndex} from '../../workspace/index.js';
import {type CrashTracker} from '../crashes/index.js';
import {type Dialect, type ServerReport} from '../dialect.js';
import {type DiscardedAnswers, type LoadQuerier, type startAttempt} from '../servers/index.js';
import {type Fleet} from '../fleet/index.js';
import {type EntryMetrics, type RequestTrace, type RequestTraceHead} from '../reporting/index.js';
import {type Claims} from './claims.js';
import {type QuotaGate} from './quota-gate.js';

/** Dependencies that all requests of an entry share. */
export type RequestContext = {
	readonly zone: string;
	readonly dialect: Dialect;
	readonly loadQuerier: LoadQuerier;
	readonly queryBudget: LoadQueryBudget;
	readonly random: Random;
	/** Lateness of the entry's event loop. */
	readonly lateness: LatenessEstimate;
	readonly fleet: Fleet;
	readonly claims: Claims;
	readonly quotaGate: Pick<QuotaGate, 'enter'>;
	readonly crashTracker: CrashTracker;
	readonly metrics: EntryMetrics;
	readonly discardedAnswers: DiscardedAnswers;
	readonly maximumBodyBytes: number;
	readonly maximumHeldBodyBytes: number;
	readonly heldBodies: ByteBudget;
	readonly maximumBufferedBytes: number;
	readonly bufferedResponses: ByteBudget;
	readonly maximumResponseBytes: number;
	/** Link of the entry, if the settings state its rate. */
	readonly link: Link | undefined;
	readonly maximumStoredBytes: number;
	/** Starts an attempt on a server. */
	readonly startAttempt: typeof startAttempt;
	/** Gets the workspaces of the document in force, or undefined if it has none. */
	getWorkspaces(): WorkspaceIndex | undefined;
	/** Checks whether a workspace uses more than its share of the capacity, according to the control hosts. */
	isAboveShare(workspace: string): boolean;
	/** Checks whether the entry may accept and dispatch new requests. */
	mayDispatch(now: number): boolean;
	/** Called with the report that a server attaches to a response. */
	onReport(candidate: Candidate, report: ServerReport): void;
	/** Reports a crash and resolves to whether the request is quarantined from now on. */
	reportCrash(fingerprint: string, server: number): Promise<boolean>;
	createRequestId(): string;
	/** Starts the trace of a request for the log. */
	startTrace(head: Omit<RequestTraceHead, 'version'>): RequestTrace;
	/** Called when an unexpected error ends a request. */
	onInternalError(error: unknown, requestId: string): void;
	/** Called when a request has ended. */
	onRequestEnd(service: Service, verdict: Verdict, milliseconds: number): void;
};
