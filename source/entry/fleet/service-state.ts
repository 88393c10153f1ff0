/** What an entry keeps for one service: its settings, candidates, wait queue, and budgets of retries and hedges. */
import {createChooser, type Candidate, type Chooser} from '../../choice/index.js';
import {type Service} from '../../configuration/index.js';
import {
	createShortageEstimate, createWaitQueue, type ShortageEstimate, type WaitQueue,
} from '../../limits/index.js';
import {type Random} from '../../randomness/index.js';
import {
	createAttemptBudget, createHedgeDelay, defaultHedgeDelayMilliseconds, type AttemptBudget, type HedgeDelay,
} from '../../retry/index.js';

const initialRetryBalance = 10;
const initialHedgeDelayMilliseconds = 50;
const hedgeQuantile = 0.95;

/** Share of the permitted extra attempts that an entry uses; the margin is needed because each entry counts its windows independently. */
const usedBudgetShare = 0.85;

/** State that an entry keeps for one service. */
export type ServiceState = {
	getService(): Service;
	readonly queue: WaitQueue;
	readonly shortageEstimate: ShortageEstimate;
	readonly retries: AttemptBudget;
	readonly hedges: AttemptBudget;
	readonly hedgeDelay: HedgeDelay;
	getChooser(): Chooser;
	getCandidates(): readonly Candidate[];
	/** Gets the ids of the servers in the own zone that the entry prefers to query; undefined if it prefers none. */
	getSubset(): ReadonlySet<number> | undefined;
};

/** State of a service with the methods by which the fleet changes it. */
export type MutableServiceState = ServiceState & {
	setService(service: Service): void;
	setCandidates(candidates: readonly Candidate[], subset: ReadonlySet<number> | undefined): void;
};

/** Budget of extra attempts that this entry may make for each service: a ratio of its requests, and its part of a slack that all entries share. */
export type SharedBudgetOptions = {readonly ratio: number; getSlack(): number};

/**
 * Creates the state of a service without candidates.
 * @param initial - Service of the document.
 * @param random - Source of random numbers.
 * @param budgetOptions - Budget that retries and hedges share; by default each has a budget of its own.
 */
export function createServiceState(initial: Service, random: Random, budgetOptions: SharedBudgetOptions | undefined): MutableServiceState {
	let service = initial;
	let candidates: readonly Candidate[] = [];
	let subset: ReadonlySet<number> | undefined;
	let chooser = createChooser(service.policy, random);
	const sharedBudget = budgetOptions === undefined ? undefined : createSharedBudget(budgetOptions);
	return {
		getService: () => service,
		queue: createWaitQueue(() => service.queueLength),
		shortageEstimate: createShortageEstimate(),
		retries: sharedBudget ?? createAttemptBudget(() => service.retryRatio, initialRetryBalance),
		// If retries and hedges share a budget, each request deposits to it only once, through `retries`.
		hedges: sharedBudget === undefined ? createAttemptBudget(() => service.hedgeRatio, 0) : {...sharedBudget, deposit: doNothing},
		hedgeDelay: createHedgeDelay(hedgeQuantile, initialHedgeDelayMilliseconds, () => service.hedgeDelayMilliseconds ?? defaultHedgeDelayMilliseconds),
		getChooser: () => chooser,
		getCandidates: () => candidates,
		getSubset: () => subset,
		setService(next) {
			if (next.policy !== service.policy) {
				chooser = createChooser(next.policy, random);
			}

			service = next;
		},
		setCandidates(next, nextSubset) {
			candidates = next;
			subset = nextSubset;
		},
	};
}

function createSharedBudget(budgetOptions: SharedBudgetOptions): AttemptBudget {
	return createAttemptBudget(() => budgetOptions.ratio * usedBudgetShare, 1, () => Math.max(1, budgetOptions.getSlack() * usedBudgetShare));
}

function doNothing(): void {
	// The shared budget already has the deposit.
}
