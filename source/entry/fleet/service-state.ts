/** What an entry keeps for one service: its settings, candidates, wait queue, and budgets of retries and hedges. */
import {
	createCandidatePools, createChooser, createZoneRoom, type Candidate, type CandidatePools, type Chooser, type ZoneRoom,
} from '../../choice/index.js';
import {type Service} from '../../configuration/index.js';
import {
	createAdmissionThrottle, createShortageEstimate, createWaitQueue, createWorkspaceService, type AdmissionThrottle, type ShortageEstimate, type WaitQueue, type WorkspaceService,
} from '../../limits/index.js';
import {type Random} from '../../randomness/index.js';
import {
	createAttemptBudget, createHedgeDelay, defaultHedgeDelayMilliseconds, type AttemptBudget, type HedgeDelay, type SlackPart,
} from '../../retry/index.js';
import {createServiceHedging, type HedgingOptions, type ServiceHedging} from './service-hedging.js';

const initialRetryBalance = 10;
const initialHedgeDelayMilliseconds = 50;
const hedgeQuantile = 0.95;

/** State that an entry keeps for one service. */
export type ServiceState = {
	getService(): Service;
	readonly queue: WaitQueue;
	readonly shortageEstimate: ShortageEstimate;
	/** How often the requests of each workspace were placed lately. */
	readonly workspaceService: WorkspaceService;
	/** Throttle of the requests of workspaces that use more than their share. */
	readonly aboveShareThrottle: AdmissionThrottle;
	/** Throttle of the requests of workspaces that do not have the most urgent priority. */
	readonly lowPriorityThrottle: AdmissionThrottle;
	readonly retries: AttemptBudget;
	readonly hedges: AttemptBudget;
	readonly hedgeDelay: HedgeDelay;
	/** State for hedges by recent latencies and stated slowness; undefined if the settings do not ask for them. */
	readonly hedging: ServiceHedging | undefined;
	getChooser(): Chooser;
	getCandidates(): readonly Candidate[];
	/** Gets the candidates by zone, with the servers that the entry prefers to query. */
	getPools(): CandidatePools;
	/** Estimated room in each zone. */
	readonly zoneRoom: ZoneRoom;
};

/** State of a service with the methods by which the fleet changes it. */
export type MutableServiceState = ServiceState & {
	setService(service: Service): void;
	setCandidates(candidates: readonly Candidate[], subset: ReadonlySet<number> | undefined): void;
};

/** Limits of extra attempts that do not come from the document. */
export type ExtraAttemptOptions = {
	/** Budgets that all entries share; by default, retries and hedges of a service each have a budget of the entry's own. */
	readonly shared?: Pick<SlackPart, 'getBudget' | 'getHedgeBudget'> | undefined;
	/** Limits of hedges by recent latencies and stated slowness; by default, hedges start at a fixed share of the target. */
	readonly hedging?: HedgingOptions | undefined;
};

/**
 * Creates the state of a service without candidates.
 * @param initial - Service of the document.
 * @param random - Source of random numbers.
 * @param extraAttempts - Limits of retries and hedges that do not come from the document.
 */
export function createServiceState(initial: Service, random: Random, extraAttempts: ExtraAttemptOptions | undefined): MutableServiceState {
	let service = initial;
	let candidates: readonly Candidate[] = [];
	let pools = createCandidatePools({candidates, subset: undefined});
	let chooser = createChooser(service.policy, random);
	const {shared, hedging} = extraAttempts ?? {};
	const sharedBudget = shared?.getBudget(initial.name);
	return {
		getService: () => service,
		queue: createWaitQueue(() => service.queueLength),
		shortageEstimate: createShortageEstimate(),
		workspaceService: createWorkspaceService(),
		aboveShareThrottle: createAdmissionThrottle(),
		lowPriorityThrottle: createAdmissionThrottle(),
		retries: sharedBudget ?? createAttemptBudget(() => service.retryRatio, initialRetryBalance),
		// If retries and hedges share a budget, each request deposits to it only once, through `retries`.
		hedges: sharedBudget === undefined ? createAttemptBudget(() => service.hedgeRatio, 0) : {...sharedBudget, deposit: doNothing},
		hedgeDelay: createHedgeDelay(hedgeQuantile, initialHedgeDelayMilliseconds, () => service.hedgeDelayMilliseconds ?? defaultHedgeDelayMilliseconds),
		hedging: hedging === undefined ? undefined : createServiceHedging(hedging, () => service, shared?.getHedgeBudget(initial.name)),
		getChooser: () => chooser,
		getCandidates: () => candidates,
		getPools: () => pools,
		zoneRoom: createZoneRoom(),
		setService(next) {
			if (next.policy !== service.policy) {
				chooser = createChooser(next.policy, random);
			}

			service = next;
		},
		setCandidates(next, nextSubset) {
			candidates = next;
			pools = createCandidatePools({candidates, subset: nextSubset});
		},
	};
}

function doNothing(): void {
	// The shared budget already has the deposit.
}
