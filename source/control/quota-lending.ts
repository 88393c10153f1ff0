/**
 * Lends the tokens of the quotas of all workspaces to the entries, with their grants and in answer to their questions. An earlier leader can have lent some only if
 * a document was committed then, since an entry without a document runs no request.
 */
import {type Environment, type EnvironmentDocument} from '../configuration/index.js';
import {type Grant, type QuotaGrant, type Renewal} from '../lease/index.js';
import {
	createQuotaAccount, getQuotaLimits, lendingMilliseconds, toHolderReport, type Quota, type QuotaAccount, type QuotaLoan, type QuotaTolerance,
} from '../quota/index.js';
import {type ControlResponse, type QuotaQuestion} from './message.js';
import {createQuotaUse, type QuotaUse} from './quota-use.js';
import {type StateMachine} from './state-machine.js';

/** Time in milliseconds without a live lease after which a process is forgotten. */
const forgetMilliseconds = 10_000;

/** Number of renewals among which one lends tokens of the workspaces for which it reports no change. */
const otherGrantsRenewals = 4;

/** Tokens that one leader lends during one term. */
export type QuotaLending = {
	/** Applies the reports of a renewal and lends tokens. The leadership was confirmed after the renewal was received. */
	grant(renewal: Renewal, receivedAt: number, now: number): Pick<Grant, 'quota' | 'aboveShare'>;
	/** Checks whether the leadership was confirmed so recently that questions may be answered. */
	isConfirmed(now: number): boolean;
	/** Records that the leadership has lasted until a time. */
	confirm(at: number): void;
	/** Answers a question. Lends nothing if the leadership was not confirmed recently. */
	answer(question: QuotaQuestion, now: number): ControlResponse;
	/** Gets the number of tokens that entries hold, as far as they have reported. */
	getOutstanding(): number;
};

/** Options of `createQuotaLending`. */
export type QuotaLendingOptions = {
	readonly epoch: number;
	readonly startedAt: number;
	readonly termMilliseconds: number;
	readonly machine: StateMachine;
	readonly tolerance: QuotaTolerance;
};

/** What a process was told of its tokens of a workspace, the first grant that told it, and whether it got none although it wanted some. */
type LastGrant = {readonly granted: number; readonly sequence: number; readonly isRefused: boolean};

type Holder = {
	expiresAt: number;
	/** What it was told last, by workspace. Its accounts of these workspaces have a record of it. */
	readonly told: Map<string, LastGrant>;
};

/** What a process has been lent of a workspace, and what it reported to have been lent, if its renewal did. */
type HolderLoan = QuotaLoan & {readonly workspace: string; readonly reported: number | undefined};

type Account = {readonly account: QuotaAccount; quota: Quota};

/** Quotas and accounts of one environment. */
type EnvironmentQuotas = {
	readonly hasPredecessor: boolean;
	readonly accounts: Map<string, Account>;
	readonly use: QuotaUse;
	document: EnvironmentDocument | undefined;
	quotas: ReadonlyMap<string, Quota>;
};

/**
 * Creates the lending of a new leader, which has applied all that was committed before.
 * @param options - Term, state machine and tolerance.
 */
export function createQuotaLending(options: QuotaLendingOptions): QuotaLending {
	const {
		epoch, startedAt, termMilliseconds, machine, tolerance,
	} = options;
	const holders = new Map<string, Holder>();
	const quotasByEnvironment: Readonly<Record<Environment, EnvironmentQuotas>> = {trial: createEnvironmentQuotas('trial'), production: createEnvironmentQuotas('production')};
	let confirmedAt = startedAt;
	let forgottenAt = startedAt;

	function getDocument(environment: Environment): EnvironmentDocument | undefined {
		const current = machine.register.getCurrent(environment);
		return current.isJust ? current.value.document : undefined;
	}

	function createEnvironmentQuotas(environment: Environment): EnvironmentQuotas {
		return {
			hasPredecessor: getDocument(environment) !== undefined, accounts: new Map(), use: createQuotaUse(), document: undefined, quotas: new Map(),
		};
	}

	/** Gets the accounts of an environment, with the quotas of its present document. */
	function getEnvironmentQuotas(environment: Environment): EnvironmentQuotas {
		const environmentQuotas = quotasByEnvironment[environment];
		const document = getDocument(environment);
		if (document !== environmentQuotas.document) {
			environmentQuotas.document = document;
			environmentQuotas.quotas = new Map(document?.workspaces?.flatMap(({name, quota}) => quota === undefined ? [] : [[name, quota] as const]));
			for (const [workspace, account] of environmentQuotas.accounts) {
				updateQuota(account, environmentQuotas.quotas.get(workspace));
			}
		}

		return environmentQuotas;
	}

	function updateQuota(account: Account, quota: Quota | undefined): void {
		if (quota !== undefined && (quota.requestsPerSecond !== account.quota.requestsPerSecond || quota.burst !== account.quota.burst)) {
			account.quota = quota;
			account.account.configure(getQuotaLimits(quota, tolerance));
		}
	}

	/** Gets the account of a workspace, or undefined if it never had a quota under this leader. */
	function getAccount({accounts, quotas, hasPredecessor}: EnvironmentQuotas, workspace: string): QuotaAccount | undefined {
		const existing = accounts.get(workspace);
		const quota = quotas.get(workspace);
		if (existing !== undefined || quota === undefined) {
			return existing?.account;
		}

		const account = createQuotaAccount({
			limits: getQuotaLimits(quota, tolerance), startedAt, termMilliseconds, hasPredecessor, getExpiry: holder => holders.get(holder)?.expiresAt ?? Number.NEGATIVE_INFINITY,
		});
		accounts.set(workspace, {account, quota});
		return account;
	}

	function getHolder(process: string): Holder {
		const holder = holders.get(process) ?? {expiresAt: Number.NEGATIVE_INFINITY, told: new Map<string, LastGrant>()};
		holders.set(process, holder);
		return holder;
	}

	/** Forgets the processes whose leases ended long ago. */
	function forgetLost(now: number): void {
		if (now < forgottenAt + forgetMilliseconds) {
			return;
		}

		forgottenAt = now;
		for (const [process, {expiresAt}] of holders) {
			if (expiresAt + forgetMilliseconds < now) {
				holders.delete(process);
			}
		}
	}

	/** Gets what a grant tells of a workspace: what the process may not know, as far as it has reported or acknowledged. */
	function getQuotaGrants(holder: Holder, {sequence, acknowledged}: Renewal, {workspace, granted, totals, retryMilliseconds, reported}: HolderLoan): readonly QuotaGrant[] {
		const told = holder.told.get(workspace);
		const isTold = reported === undefined ? told?.granted === granted && acknowledged >= told.sequence : reported === granted;
		const isRepeated = !isTold && reported === undefined && told?.granted === granted;
		holder.told.set(workspace, {granted, sequence: isTold ? 0 : (isRepeated ? told.sequence : sequence), isRefused: retryMilliseconds > 0});

		const {total, held} = totals;
		if (retryMilliseconds > 0) {
			return [[workspace, granted, total, held, retryMilliseconds]];
		}

		return isTold ? [] : [[workspace, granted, total, held]];
	}

	function getReportedGrants(environmentQuotas: EnvironmentQuotas, holder: Holder, renewal: Renewal, now: number): readonly QuotaGrant[] {
		const {process = '', quota = [], isFinal} = renewal;
		return quota.flatMap(report => {
			const [workspace, reported] = report;
			const loan = getAccount(environmentQuotas, workspace)?.exchange({
				holder: process, report: toHolderReport(report), isEnding: isFinal || !environmentQuotas.quotas.has(workspace) || !isConfirmed(now), now, confirmedAt,
			});
			return loan === undefined ? [] : getQuotaGrants(holder, renewal, {workspace, ...loan, reported});
		});
	}

	/** Lends to a process what it wants of the workspaces for which its renewal reports no change: with one of several renewals, or with the next one where it was refused. */
	function getOtherGrants(environmentQuotas: EnvironmentQuotas, holder: Holder, renewal: Renewal, now: number): readonly QuotaGrant[] {
		const {process = '', quota = [], acknowledged} = renewal;
		const reported = new Set(quota.map(([workspace]) => workspace));
		const isDue = renewal.sequence % otherGrantsRenewals === 0;
		const others = [...holder.told].filter(([workspace, {sequence, isRefused}]) => (isDue || isRefused) && !reported.has(workspace) && environmentQuotas.quotas.has(workspace)
			&& (acknowledged < sequence || environmentQuotas.accounts.get(workspace)?.account.isWanting(process) === true));
		return others.flatMap(([workspace]) => {
			const loan = environmentQuotas.accounts.get(workspace)?.account.exchange({
				holder: process, report: undefined, isEnding: !isConfirmed(now), now, confirmedAt,
			});
			return loan === undefined ? [] : getQuotaGrants(holder, renewal, {workspace, ...loan, reported: undefined});
		});
	}

	function isConfirmed(now: number): boolean {
		return now < confirmedAt + lendingMilliseconds;
	}

	function confirm(at: number): void {
		confirmedAt = Math.max(confirmedAt, at);
	}

	return {
		isConfirmed,
		confirm,
		grant(renewal, receivedAt, now) {
			const {process, environment, quota, isFinal} = renewal;
			confirm(receivedAt);
			if (process === undefined || quota === undefined) {
				return {};
			}

			forgetLost(now);
			const environmentQuotas = getEnvironmentQuotas(environment);
			const holder = getHolder(process);
			holder.expiresAt = isFinal ? receivedAt : Math.max(holder.expiresAt, receivedAt + termMilliseconds);
			return {
				quota: [...getReportedGrants(environmentQuotas, holder, renewal, now), ...isFinal ? [] : getOtherGrants(environmentQuotas, holder, renewal, now)],
				...environmentQuotas.use.getChange(renewal, () => [...environmentQuotas.accounts].map(([workspace, {account, quota: {requestsPerSecond}}]) => ({
					workspace, use: account.getUse(now), requestsPerSecond,
				})), now),
			};
		},
		answer({environment, process, epoch: knownEpoch, report, waiting, refused}, now) {
			const environmentQuotas = getEnvironmentQuotas(environment);
			const [workspace] = report;
			const account = environmentQuotas.quotas.has(workspace) ? getAccount(environmentQuotas, workspace) : undefined;
			if (account === undefined || knownEpoch > epoch || !isConfirmed(now)) {
				return {kind: 'unknown'};
			}

			const holder = getHolder(process);
			holder.expiresAt = Math.max(holder.expiresAt, now + termMilliseconds);
			const loan = account.exchange({
				holder: process, report: toHolderReport(report), waiting, refused, now, confirmedAt,
			});
			if (loan === undefined) {
				return {kind: 'unknown'};
			}

			if (!holder.told.has(workspace)) {
				// The next grant tells it once more, since the answer may be lost.
				holder.told.set(workspace, {granted: loan.granted, sequence: Number.POSITIVE_INFINITY, isRefused: false});
			}

			const {granted, totals, retryMilliseconds} = loan;
			return {
				kind: 'quota', epoch, granted, ...totals, retryMilliseconds,
			};
		},
		getOutstanding() {
			const accounts = Object.values(quotasByEnvironment).flatMap(({accounts}) => [...accounts.values()]);
			return accounts.reduce((sum, {account}) => sum + account.getOutstanding(), 0);
		},
	};
}
