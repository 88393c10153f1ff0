/** Explores plans of runs, and reports the first that fails with its trace and the command that plays it again. */
import {performance} from 'node:perf_hooks';
import {setImmediate as startNextTurn} from 'node:timers';
import fc from 'fast-check';
import {findFault} from './check.js';
import {
	createCoverage, fates, type Coverage, type Fate,
} from './coverage.js';
import {createPlans, type Plan} from './plan.js';
import {play, type PlayedRun, type PlayOptions} from './play.js';
import {replaceClocks} from './virtual-world.js';

/** Options of `explore`. */
export type ExplorationOptions = Pick<PlayOptions, 'createApi' | 'renderConfiguration'> & {
	readonly runs: number;
	readonly seed: number;
	/** Path of a run that failed, which is played first. */
	readonly path: string | undefined;
	/** Kinds of the faults; all by default. */
	readonly faultKinds: readonly string[] | undefined;
	/** Program that explores, for the command that plays a run again. */
	readonly program: string;
};

/** Result of an exploration. */
export type Exploration = {
	/** Number of schedules, their time, and the table of the messages that met faults. */
	readonly summary: string;
	/** Trace, plan, fault and command of the first run that failed, as simple as was found. */
	readonly failure: string | undefined;
	/** Messages that did not meet a fault that they should have met. */
	readonly missingCoverage: readonly string[];
};

/** Number of runs from which the coverage is required. */
const minimumRunsForCoverage = 1500;

/** Kinds of messages that are frequent enough to meet each of these fates. */
const requiredCoverage: ReadonlyArray<readonly [kinds: readonly string[], fates: readonly Fate[]]> = [
	[['append', 'appended', 'grant', 'nudge', 'renewal'], fates],
	[['request readZones', 'POST evacuations', 'DELETE evacuations'], ['delivered', 'lost', 'doubled', 'delayed', 'held', 'frozen']],
];

function getMissingCoverage(coverage: Coverage): readonly string[] {
	const required = requiredCoverage.flatMap(([kinds, wanted]) => kinds.flatMap(kind => wanted.map(fate => ({kind, fate}))));
	return required.filter(({kind, fate}) => coverage.getCount(kind, fate) === 0).map(({kind, fate}) => `${kind}: ${fate}`);
}

/** Lets the event loop turn; a run by itself never does. */
async function takeTurn(): Promise<void> {
	return new Promise(resolve => {
		startNextTurn(resolve);
	});
}

/**
 * Plays a plan with the clocks replaced.
 * @param plan - Plan to play.
 * @param options - API of the hosts, and what to record.
 */
export async function playAlone(plan: Plan, options: PlayOptions): Promise<PlayedRun> {
	const putClocksBack = replaceClocks();
	try {
		return await play(plan, options);
	} finally {
		putClocksBack();
	}
}

function renderCommand({seed, path, faultKinds, program}: ExplorationOptions): string {
	const faults = faultKinds === undefined ? '' : `EXPLORATION_FAULTS=${faultKinds.join(',')} `;
	return `${faults}EXPLORATION_SEED=${seed} EXPLORATION_PATH=${path} node --import tsx ${program}`;
}

async function renderFailure(plan: Plan, options: ExplorationOptions): Promise<string> {
	const lines: string[] = [];
	const run = await playAlone(plan, {
		...options, coverage: createCoverage(), trace(text) {
			lines.push(text);
		},
	});
	return [...lines, JSON.stringify(plan), findFault(run) ?? 'the run holds when it is played alone', `play again: ${renderCommand(options)}`].join('\n');
}

/**
 * Plays plans until one fails.
 * @param options - API of the hosts, number of runs and seed.
 */
export async function explore(options: ExplorationOptions): Promise<Exploration> {
	const {runs, seed, path, faultKinds} = options;
	const coverage = createCoverage();
	const startedAt = performance.now();
	let played = 0;

	async function check(plan: Plan): Promise<void> {
		const fault = findFault(await play(plan, {...options, coverage}));
		played++;
		await takeTurn();
		if (fault !== undefined) {
			throw new Error(fault);
		}
	}

	const putClocksBack = replaceClocks();
	const {counterexample, counterexamplePath, errorInstance} = await fc.check(fc.asyncProperty(createPlans(faultKinds), check), {seed, numRuns: runs, path});
	putClocksBack();
	const seconds = (performance.now() - startedAt) / 1000;
	const failure = counterexample === null ? undefined : `${String(errorInstance)}\n${await renderFailure(counterexample[0], {...options, path: counterexamplePath ?? ''})}`;
	return {
		summary: `${played} schedules from seed ${seed} in ${seconds.toFixed(1)} s\n${coverage.render()}`,
		failure,
		missingCoverage: runs < minimumRunsForCoverage || faultKinds !== undefined ? [] : getMissingCoverage(coverage),
	};
}
