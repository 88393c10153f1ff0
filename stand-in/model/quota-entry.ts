/** Models an entry of which only the lease and the quotas matter, in virtual time. */
import {performance} from 'node:perf_hooks';
import {type Workspace} from '../../source/configuration/index.js';
import {type ControlResponse, type QuotaQuestion} from '../../source/control/index.js';
import {createQuotaGate} from '../../source/entry/requests/quota-gate.js';
import {createLeaseHolder, type Grant, type Renewal} from '../../source/lease/index.js';
import {createQuotaTokens} from '../../source/quota/index.js';
import {type Random} from '../../source/randomness/index.js';
import {type Log} from '../../source/telemetry/index.js';
import {type Access} from '../../source/workspace/index.js';

const renewMilliseconds = 500;
const answerTimeoutMilliseconds = 800;
const deadlineMilliseconds = 2000;
const serviceMilliseconds = 110;
const maximumQueueMilliseconds = 1000;

/** Share of requests that wait in the entry, and that servers decline. */
const queueShare = 0.1;
const declinedShare = 0.05;

/** Renewal, as far as quotas are concerned. */
export type QuotaRenewal = Pick<Renewal, 'process' | 'environment' | 'sequence' | 'acknowledged' | 'quota' | 'isFinal'>;

/** Grant, as far as quotas are concerned, with the workspaces of the document. */
export type QuotaModelGrant = Pick<Grant, 'sequence' | 'epoch' | 'termMilliseconds' | 'version' | 'quota' | 'aboveShare'> & {readonly workspaces: readonly Workspace[]};

/** What became of a request. */
export type QuotaModelOutcome = {readonly workspace: string; readonly kind: 'passed' | 'quota' | 'quota-unavailable'; readonly waitedMilliseconds: number};

/** A modelled entry. */
export type QuotaEntryModel = {
	handle(workspace: string): void;
	/** Applies a grant, once the entry runs. */
	receive(grant: QuotaModelGrant): void;
	/** Renews at once. */
	nudge(): void;
	freeze(milliseconds: number): void;
	kill(): void;
	isAlive(): boolean;
	getVersion(): number;
};

/** Options of `createQuotaEntryModel`. */
export type QuotaEntryModelOptions = {
	readonly process: string;
	readonly random: Random;
	/** Whether requests wait in the entry, and servers decline some. */
	readonly isDisturbed: boolean;
	/** Sends a renewal to the leader, or to all control hosts if that has not answered. */
	renew(renewal: QuotaRenewal, isUnanswered: boolean): void;
	ask(question: QuotaQuestion, timeoutMilliseconds: number): Promise<ControlResponse>;
	onRun(workspace: string): void;
	onOutcome(outcome: QuotaModelOutcome): void;
};

function ignore(): void {
	// Nothing is counted or logged in the model.
}

/**
 * Starts an entry without a lease.
 * @param options - Identity, links and observers.
 */
export function createQuotaEntryModel(options: QuotaEntryModelOptions): QuotaEntryModel {
	const {process, random} = options;
	const lease = createLeaseHolder();
	const tokens = createQuotaTokens();
	let isAlive = true;
	let frozenUntil = 0;
	let answeredAt = performance.now();
	let version = 0;

	function revokeIfNeeded(now: number): void {
		if (!lease.isValid(now)) {
			tokens.revoke();
		}
	}

	/** Runs a step after a time, when the entry does not stand still. */
	function runLater(milliseconds: number, step: () => void): void {
		setTimeout(() => {
			if (!isAlive) {
				return;
			}

			const frozenMilliseconds = frozenUntil - performance.now();
			if (frozenMilliseconds > 0) {
				runLater(frozenMilliseconds, step);
			} else {
				step();
			}
		}, milliseconds);
	}

	const gate = createQuotaGate({
		environment: 'production',
		process,
		tokens,
		metrics: {countQuotaToken: ignore, countQuotaQuestion: ignore},
		log: {info: ignore} as unknown as Log,
		getClient: () => ({
			submit: async (question, timeoutMilliseconds) => options.ask(question as QuotaQuestion, timeoutMilliseconds),
		}),
		mayHoldTokens(now) {
			revokeIfNeeded(now);
			return lease.isValid(now);
		},
		mayUseAnswer: () => true,
	});

	function renew(): void {
		const now = performance.now();
		revokeIfNeeded(now);
		const sequence = lease.startRenewal(now);
		options.renew({
			process, environment: 'production', sequence, acknowledged: lease.getAcknowledged(), quota: tokens.getReports({sequence, isFinal: false}, now), isFinal: false,
		}, now > answeredAt + answerTimeoutMilliseconds);
	}

	function renewRegularly(): void {
		renew();
		runLater(renewMilliseconds, renewRegularly);
	}

	function applyGrant(grant: QuotaModelGrant): void {
		const now = performance.now();
		revokeIfNeeded(now);
		if (!lease.accept({...grant, revision: 0, peersRevision: 0} as unknown as Grant, now)) {
			return;
		}

		answeredAt = now;
		if (grant.version > version) {
			version = grant.version;
			tokens.setWorkspaces(grant.workspaces);
			runLater(1, renew);
		}

		tokens.applyGrant(grant, {
			now, renewedAt: lease.getRenewedAt(), leaseEndsAt: lease.getExpiresAt(), mayUse: true,
		});
		if (tokens.isReportOwed()) {
			runLater(1, renew);
		}

		gate.serveWaiting();
	}

	/** Runs a request at a server if it gets a token. */
	async function run(workspace: string): Promise<void> {
		if (!isAlive || performance.now() < frozenUntil) {
			return;
		}

		const arrivedAt = performance.now();
		const access: Access = {kind: 'granted', workspace: {name: workspace, keyDigests: []}, digest: ''};
		const outcome = await gate.enter(access, arrivedAt + deadlineMilliseconds);
		if (!isAlive) {
			return;
		}

		options.onOutcome({workspace, kind: outcome.kind === 'refused' ? outcome.reason : 'passed', waitedMilliseconds: performance.now() - arrivedAt});
		if (outcome.kind !== 'taken') {
			return;
		}

		const {token} = outcome;
		const queueMilliseconds = options.isDisturbed && random() < queueShare ? random() * maximumQueueMilliseconds : 0;
		runLater(queueMilliseconds, () => {
			const now = performance.now();
			revokeIfNeeded(now);
			const mayRun = token.tryUse(now) && !(options.isDisturbed && random() < declinedShare);
			if (mayRun) {
				options.onRun(workspace);
			}

			runLater(mayRun ? serviceMilliseconds : 1, () => {
				token.end(mayRun, performance.now());
			});
		});
	}

	runLater(random() * renewMilliseconds, renewRegularly);
	return {
		handle(workspace) {
			void run(workspace);
		},
		receive(grant) {
			runLater(0, () => {
				applyGrant(grant);
			});
		},
		nudge() {
			runLater(0, renew);
		},
		freeze(milliseconds) {
			frozenUntil = performance.now() + milliseconds;
		},
		kill() {
			isAlive = false;
		},
		isAlive: () => isAlive,
		getVersion: () => version,
	};
}
