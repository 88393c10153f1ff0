/**
 * Lends the tokens of the quotas of all workspaces to the entries, with their grants and on question. An earlier leader can have lent some only if
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

/** Number of renewals of which one lends tokens of the workspaces for which it reports no change. */
const otherGrantsInterval = 4;

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
type Told = {readonly granted: number; readonly sequence: number; readonly isRefused: boolean};

type Holder = {
	expiresAt: number;
	/** Accounts that have a record of the process, by workspace. */
	readonly told: Map<string, Told>;
};

/** What a process has been lent of a workspace, and what it reported to have been lent, if its renewal did. */
type Telling = QuotaLoan & {readonly workspace: string; readonly reported: number | undefined};

type Account = {readonly account: QuotaAccount; quota: Quota};

/** Accounts of one environment. */
type Book = {
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
	const books: Readonly<Record<Environment, Book>> = {trial: createBook('trial'), production: createBook('production')};
	let confirmedAt = startedAt;
	let forgottenAt = startedAt;

	function getDocument(environment: Environment): EnvironmentDocument | undefined {
		const current = machine.register.getCurrent(environment);
		return current.isJust ? current.value.document : undefined;
	}

	function createBook(environment: Environment): Book {
		return {
			hasPredecessor: getDocument(environment) !== undefined, accounts: new Map(), use: createQuotaUse(), document: undefined, quotas: new Map(),
		};
	}

	/** Gets the accounts of an environment, with the quotas of its present document. */
	function getBook(environment: Environment): Book {
		const book = books[environment];
		const document = getDocument(environment);
		if (document !== book.document) {
			book.document = document;
			book.quotas = new Map(document?.workspaces?.flatMap(({name, quota}) => quota === undefined ? [] : [[name, quota] as const]));
			for (const [workspace, account] of book.accounts) {
				updateQuota(account, book.quotas.get(workspace));
			}
		}

		return book;
	}

	function updateQuota(account: Account, quota: Quota | undefined): void {
		if (quota !== undefined && (quota.requestsPerSecond !== account.quota.requestsPerSecond || quota.burst !== account.quota.burst)) {
			account.quota = quota;
			account.account.configure(getQuotaLimits(quota, tolerance));
		}
	}

	/** Gets the account of a workspace, or undefined if it never had a quota under this leader. */
	function getAccount({accounts, quotas, hasPredecessor}: Book, workspace: string): QuotaAccount | undefined {
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
		const holder = holders.get(process) ?? {expiresAt: Number.NEGATIVE_INFINITY, told: new Map<string, Told>()};
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
	function tell(holder: Holder, {sequence, acknowledged}: Renewal, {workspace, granted, totals, retryMilliseconds, reported}: Telling): readonly QuotaGrant[] {
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

	function getReportedGrants(book: Book, holder: Holder, renewal: Renewal, now: number): readonly QuotaGrant[] {
		const {process = '', quota = [], isFinal} = renewal;
		return quota.flatMap(report => {
			const [workspace, reported] = report;
			const loan = getAccount(book, workspace)?.exchange({
				holder: process, report: toHolderReport(report), isEnding: isFinal || !book.quotas.has(workspace) || !isConfirmed(now), now, confirmedAt,
			});
			return loan === undefined ? [] : tell(holder, renewal, {workspace, ...loan, reported});
		});
	}

	/** Lends to a process what it wants of the workspaces for which its renewal reports no change: now and then, and at once where it was refused. */
	function getOtherGrants(book: Book, holder: Holder, renewal: Renewal, now: number): readonly QuotaGrant[] {
		const {process = '', quota = [], acknowledged} = renewal;
		const reported = new Set(quota.map(([workspace]) => workspace));
		const isDue = renewal.sequence % otherGrantsInterval === 0;
		const others = [...holder.told].filter(([workspace, {sequence, isRefused}]) => (isDue || isRefused) && !reported.has(workspace) && book.quotas.has(workspace)
			&& (acknowledged < sequence || book.accounts.get(workspace)?.account.isWanting(process) === true));
		return others.flatMap(([workspace]) => {
			const loan = book.accounts.get(workspace)?.account.exchange({
				holder: process, report: undefined, isEnding: !isConfirmed(now), now, confirmedAt,
			});
			return loan === undefined ? [] : tell(holder, renewal, {workspace, ...loan, reported: undefined});
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
			const book = getBook(environment);
			const holder = getHolder(process);
			holder.expiresAt = isFinal ? receivedAt : Math.max(holder.expiresAt, receivedAt + termMilliseconds);
			return {
				quota: [...getReportedGrants(book, holder, renewal, now), ...isFinal ? [] : getOtherGrants(book, holder, renewal, now)],
				...book.use.getChange(renewal, () => [...book.accounts].map(([workspace, {account, quota: {requestsPerSecond}}]) => ({
					workspace, use: account.getUse(now), requestsPerSecond,
				})), now),
			};
		},
		answer({environment, process, epoch: knownEpoch, report, waiting, refused}, now) {
			const book = getBook(environment);
			const [workspace] = report;
			const account = book.quotas.has(workspace) ? getAccount(book, workspace) : undefined;
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
			const accounts = Object.values(books).flatMap(({accounts}) => [...accounts.values()]);
			return accounts.reduce((sum, {account}) => sum + account.getOutstanding(), 0);
		},
	};
}
