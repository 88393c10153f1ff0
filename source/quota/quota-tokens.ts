/**
 * The entry's tokens of all workspaces with a quota. Renewals report the changes since the last one that a leader is known to have received;
 * grants and answers to questions lend tokens. All end with the lease and with a suspension of the host.
 */
import {type Workspace} from '../configuration/index.js';
import {type Grant, type QuotaReport} from '../lease/index.js';
import {type Quota} from './quota-limits.js';
import {toQuotaReport} from './quota-message.js';
import {type HolderGrant, type SentReport} from './quota-token.js';
import {createTokenHolder, type TokenHolder} from './token-holder.js';

/** Question for tokens of a workspace. */
export type TokenQuestion = {
	/** Newest consensus term that the entry knows. */
	readonly epoch: number;
	readonly report: QuotaReport;
	readonly sent: SentReport;
};

/** What an entry needs to know to apply a grant. */
export type GrantCircumstances = {
	readonly now: number;
	/** Time at which the renewal was sent. */
	readonly renewedAt: number;
	/** Time at which the lease ends, with the grant. */
	readonly leaseEndsAt: number;
	/** Whether tokens of the grant may be used; not if the host was suspended since the renewal was sent. */
	readonly mayUse: boolean;
};

/** Tokens of an entry. */
export type QuotaTokens = {
	/** Applies the workspaces of a document. Where a quota has changed, free tokens are given back. */
	setWorkspaces(workspaces: readonly Workspace[]): void;
	/** Checks whether a workspace has a quota. */
	hasQuota(workspace: string): boolean;
	getHolder(workspace: string): TokenHolder;
	/** Gets the reports for a renewal, or undefined if the document has no quotas. */
	getReports(renewal: {readonly sequence: number; readonly isFinal: boolean}, now: number): readonly QuotaReport[] | undefined;
	applyGrant(grant: Pick<Grant, 'sequence' | 'epoch' | 'quota'>, circumstances: GrantCircumstances): void;
	/** Checks whether a new leader has to learn of tokens that the entry holds. */
	isReportOwed(): boolean;
	/** Checks whether the leader of the last grant lends tokens; those of earlier releases do not know of them. */
	mayAsk(): boolean;
	createQuestion(workspace: string, waiting: number, now: number): TokenQuestion;
	/** Applies the answer to a question. */
	applyAnswer(workspace: string, sent: SentReport, grant: HolderGrant, circumstances: Pick<GrantCircumstances, 'now' | 'mayUse'>): void;
	/** Ends all tokens. */
	revoke(): void;
	getHeld(): number;
};

/** Reports that were sent with the last renewal. */
type SentReports = {readonly sequence: number; readonly byWorkspace: ReadonlyMap<string, SentReport>};

/** Creates the tokens of an entry without a document. */
export function createQuotaTokens(): QuotaTokens {
	/** Holders by workspace. They outlive their workspace, since their numbers must never start again. */
	const holders = new Map<string, TokenHolder>();
	let quotas: ReadonlyMap<string, Quota> = new Map();
	let sentReports: SentReports | undefined;
	let epoch = 0;
	let leaseEndsAt = Number.NEGATIVE_INFINITY;
	let isOwed = false;
	let doesLeaderLend = true;

	function getHolder(workspace: string): TokenHolder {
		const holder = holders.get(workspace) ?? createTokenHolder();
		holders.set(workspace, holder);
		return holder;
	}

	function revoke(): void {
		for (const holder of holders.values()) {
			holder.revoke();
		}
	}

	function getHeld(): number {
		let held = 0;
		for (const holder of holders.values()) {
			held += Math.max(0, holder.getHeld());
		}

		return held;
	}

	function beginEpoch(next: number): void {
		for (const holder of holders.values()) {
			holder.beginEpoch(next, leaseEndsAt);
		}

		epoch = next;
		isOwed = holders.size > 0;
	}

	function applyTold({sequence, epoch: leaderEpoch, quota = []}: Pick<Grant, 'sequence' | 'epoch' | 'quota'>, {now, renewedAt}: GrantCircumstances): void {
		for (const [workspace, granted, total, held, retryMilliseconds = 0] of quota) {
			getHolder(workspace).apply({
				epoch: leaderEpoch, granted, totals: {total, held}, askedAt: renewedAt, retryMilliseconds,
			}, now);
		}

		if (sentReports?.sequence === sequence) {
			for (const [workspace, sent] of sentReports.byWorkspace) {
				getHolder(workspace).acknowledge(leaderEpoch, sent);
			}
		}
	}

	return {
		setWorkspaces(workspaces) {
			const next = new Map(workspaces.flatMap(({name, quota}) => quota === undefined ? [] : [[name, quota] as const]));
			for (const [name, quota] of quotas) {
				if (!isSameQuota(quota, next.get(name))) {
					getHolder(name).giveBack();
				}
			}

			quotas = next;
			for (const [name, {requestsPerSecond}] of quotas) {
				getHolder(name).setRate(requestsPerSecond);
			}
		},
		hasQuota: workspace => quotas.has(workspace),
		getHolder,
		getReports({sequence, isFinal}, now) {
			if (quotas.size === 0 && holders.size === 0) {
				sentReports = undefined;
				return undefined;
			}

			const reports: QuotaReport[] = [];
			const byWorkspace = new Map<string, SentReport>();
			for (const [workspace, holder] of holders) {
				if (isFinal || !quotas.has(workspace)) {
					holder.giveBack();
				}

				const report = holder.getReport(now, 0);
				if (holder.isReportDue(report)) {
					reports.push(toQuotaReport(workspace, report));
					byWorkspace.set(workspace, holder.recordSent(report));
				}
			}

			sentReports = {sequence, byWorkspace};
			isOwed = false;
			return reports;
		},
		applyGrant(grant, circumstances) {
			if (grant.epoch > epoch) {
				beginEpoch(grant.epoch);
			}

			leaseEndsAt = circumstances.leaseEndsAt;
			if (grant.quota !== undefined) {
				applyTold(grant, circumstances);
			}

			// A renewal without reports is answered without tokens by any leader.
			doesLeaderLend = grant.quota !== undefined || sentReports?.sequence !== grant.sequence;

			if (!circumstances.mayUse) {
				revoke();
			}
		},
		isReportOwed: () => isOwed,
		mayAsk: () => doesLeaderLend,
		createQuestion(workspace, waiting, now) {
			const holder = getHolder(workspace);
			const report = holder.getReport(now, waiting);
			return {epoch: Math.max(epoch, holder.getEpoch()), report: toQuotaReport(workspace, report), sent: holder.recordSent(report)};
		},
		applyAnswer(workspace, sent, grant, {now, mayUse}) {
			const holder = getHolder(workspace);
			holder.apply(grant, now);
			holder.acknowledge(grant.epoch, sent);
			if (!mayUse) {
				holder.revoke();
			}
		},
		revoke,
		getHeld,
	};
}

function isSameQuota(quota: Quota, other: Quota | undefined): boolean {
	return quota.requestsPerSecond === other?.requestsPerSecond && quota.burst === other.burst;
}
