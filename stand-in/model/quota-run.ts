/** A run of entries and leaders that share quotas: what it consists of, and what it shows. */
import {type Workspace} from '../../source/configuration/index.js';
import {type QuotaTolerance} from '../../source/quota/index.js';
import {type QuotaModelOutcome} from './quota-entry.js';

/** Ways in which a leader or an entry may be wrong. */
export type QuotaMistake = 'none' | 'new-leader-is-first' | 'confirms-without-quorum' | 'restarts-as-same-process';

/** What happens at a time. */
export type QuotaFault = {readonly at: number} & (
	| {readonly kind: 'replaceLeader'; readonly gapMilliseconds: number; readonly isNoticed: boolean}
	| {readonly kind: 'kill' | 'restart'; readonly entry: number}
	| {readonly kind: 'freeze'; readonly entry: number; readonly milliseconds: number}
	/** The entry reaches no control host, or only the present leader, which is then cut off with it if it is replaced. */
	| {readonly kind: 'cut'; readonly entry: number; readonly milliseconds: number; readonly keepsLeader: boolean}
	| {readonly kind: 'lower'; readonly workspace: number; readonly factor: number}
);

/** Links of a run. */
export type QuotaLinks = {
	readonly lossShare: number;
	/** Whether a lost message is sent again, as TCP does, or never arrives. */
	readonly isRepeating: boolean;
	readonly doubledShare: number;
	readonly lateShare: number;
	readonly lateMilliseconds: number;
	readonly latencyMilliseconds: number;
};

/** Options of `playQuotas`. */
export type QuotaRunOptions = {
	readonly seed: number;
	readonly milliseconds: number;
	readonly entryCount: number;
	readonly workspaces: ReadonlyArray<Workspace & {readonly quota: NonNullable<Workspace['quota']>}>;
	/** Entries that the callers of a workspace reach. */
	readonly entriesByWorkspace: ReadonlyArray<readonly number[]>;
	readonly tolerance: QuotaTolerance;
	readonly links: QuotaLinks;
	readonly faults: readonly QuotaFault[];
	readonly mistake: QuotaMistake;
	readonly isDisturbed: boolean;
	/** Gets the requests per second of a workspace. */
	getLoad(workspace: number, now: number): number;
};

/** Request of a run. */
export type QuotaRequest = QuotaModelOutcome & {readonly at: number};

/** What a run showed. */
export type QuotaRun = {
	/** Most that ran in any window, as a share of what may run in it, for the workspace where it was most. */
	readonly largestShare: number;
	readonly requests: readonly QuotaRequest[];
	readonly questions: number;
	/** Bytes of reports, grants and questions about quotas, in both directions. */
	readonly bytes: number;
};
