/**
 * Policies that choose a server for a request. Two random choices follow
 * Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing" (2001).
 */
import {type Service} from '../configuration/index.js';
import {type Random} from '../randomness/index.js';
import {type Candidate} from './candidate.js';

/** Name of a policy. */
export type Policy = Service['policy'];

/** Load of a server that has reported none. */
const unreportedLoad = {running: 0, waiting: 0};

/** Maximum random draws for an available candidate before all candidates are scanned. */
const maximumDraws = 6;

/** Maximum candidates that are compared for the least in flight; larger services are sampled. */
const maximumComparedCandidates = 32;

/** Options of one choice. */
export type ChoiceOptions = {
	readonly candidates: readonly Candidate[];
	/** Servers that already took an attempt of the request. */
	readonly excluded: ReadonlySet<number>;
	/** Zone that breaks ties. */
	readonly zone: string;
	/** Zones to avoid after a failure there, as long as a server elsewhere is available. */
	readonly avoidedZones: ReadonlySet<string>;
	readonly now: number;
};

/** Chooses servers by one policy. */
export type Chooser = {
	/** Gets an available server, or undefined if there is none. */
	choose(choice: ChoiceOptions): Candidate | undefined;
};

/**
 * Creates a chooser.
 * @param policy - Policy to apply.
 * @param random - Source of random numbers.
 */
export function createChooser(policy: Policy, random: Random): Chooser {
	let position = Math.floor(random() * 1_000_000);

	function isEligible(candidate: Candidate, choice: ChoiceOptions): boolean {
		return candidate.isAvailable(choice.now) && !choice.excluded.has(candidate.id);
	}

	function findAvailable(choice: ChoiceOptions, from: number): Candidate | undefined {
		const {candidates} = choice;
		for (let step = 0; step < candidates.length; step++) {
			const candidate = candidates[(from + step) % candidates.length]!;
			if (isEligible(candidate, choice)) {
				return candidate;
			}
		}

		return undefined;
	}

	function drawAvailable(choice: ChoiceOptions): Candidate | undefined {
		const {candidates} = choice;
		for (let attempt = 0; attempt < maximumDraws; attempt++) {
			const candidate = candidates[Math.floor(random() * candidates.length)]!;
			if (isEligible(candidate, choice)) {
				return candidate;
			}
		}

		return findAvailable(choice, Math.floor(random() * candidates.length));
	}

	function getScore(candidate: Candidate, choice: ChoiceOptions): number {
		switch (policy) {
			case 'stale-report': {
				const {running, waiting} = candidate.getLastReading()?.reading ?? unreportedLoad;
				return (running + waiting) / candidate.getAnnouncement().slots;
			}

			case 'two-joint-choices': {
				return candidate.getLoad(choice.now, true);
			}

			case 'central-queue':
			case 'round-robin':
			case 'least-in-flight':
			case 'two-choices': {
				return candidate.getLoad(choice.now, false);
			}
		}
	}

	function pickBetter(first: Candidate, second: Candidate, choice: ChoiceOptions): Candidate {
		const firstZone = first.getAnnouncement().zone;
		const secondZone = second.getAnnouncement().zone;
		if (choice.avoidedZones.size > 0 && choice.avoidedZones.has(firstZone) !== choice.avoidedZones.has(secondZone)) {
			return choice.avoidedZones.has(firstZone) ? second : first;
		}

		const difference = getScore(first, choice) - getScore(second, choice);
		if (difference === 0) {
			return secondZone === choice.zone ? second : first;
		}

		return difference < 0 ? first : second;
	}

	function chooseOfTwo(choice: ChoiceOptions): Candidate | undefined {
		const first = drawAvailable(choice);
		const second = first === undefined ? undefined : drawAvailable(choice);
		return first === undefined || second === undefined ? first : pickBetter(first, second, choice);
	}

	/** Gets the best of a sample that starts at a random candidate and is spread evenly over all of them. */
	function chooseBest(choice: ChoiceOptions, maximumCompared: number): Candidate | undefined {
		const {candidates} = choice;
		const from = Math.floor(random() * candidates.length);
		const stride = candidates.length > maximumCompared ? 1 + Math.floor(random() * (candidates.length - 1)) : 1;
		const steps = Math.min(candidates.length, maximumCompared);
		let best: Candidate | undefined;
		for (let step = 0; step < steps; step++) {
			const candidate = candidates[(from + (step * stride)) % candidates.length]!;
			if (isEligible(candidate, choice)) {
				best = best === undefined ? candidate : pickBetter(best, candidate, choice);
			}
		}

		return best ?? findAvailable(choice, from);
	}

	return {
		choose(choice) {
			if (choice.candidates.length === 0) {
				return undefined;
			}

			switch (policy) {
				case 'round-robin': {
					position++;
					return findAvailable(choice, position);
				}

				case 'central-queue': {
					return chooseBest(choice, Number.POSITIVE_INFINITY);
				}

				case 'least-in-flight': {
					return chooseBest(choice, maximumComparedCandidates);
				}

				case 'two-choices':
				case 'two-joint-choices':
				case 'stale-report': {
					return chooseOfTwo(choice);
				}
			}
		},
	};
}
