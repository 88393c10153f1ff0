/**
 * Policies that choose a server for a request. Two random choices follow
 * Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing" (2001).
 */
import {type Service} from '../configuration/index.js';
import {type Random} from '../randomness/index.js';
import {type Candidate} from './candidate.js';

/** Name of a policy. */
export type Policy = Service['policy'];

/** Random draws before all candidates are scanned. */
const draws = 6;

/** Candidates that are compared for the least in flight; in larger services as many are drawn. */
const comparedCandidates = 32;

/** Constraints of one choice. */
export type ChoiceOptions = {
	readonly candidates: readonly Candidate[];
	/** Servers that already took an attempt of the request. */
	readonly excluded: ReadonlySet<number>;
	/** Zone to prefer among equals. */
	readonly zone: string;
	/** Zones to avoid if another one is open, after a failure there. */
	readonly avoidedZones: ReadonlySet<string>;
	readonly now: number;
};

/** Chooses servers under one policy. */
export type Chooser = {
	/** Gets an open server, or undefined when there is none. */
	choose(choice: ChoiceOptions): Candidate | undefined;
};

/**
 * Creates a chooser.
 * @param policy - Policy to follow.
 * @param random - Source of random numbers.
 */
export function createChooser(policy: Policy, random: Random): Chooser {
	let turn = Math.floor(random() * 1_000_000);

	function isEligible(candidate: Candidate, choice: ChoiceOptions): boolean {
		return candidate.isAvailable(choice.now) && !choice.excluded.has(candidate.id);
	}

	function scan(choice: ChoiceOptions, from: number): Candidate | undefined {
		const {candidates} = choice;
		for (let step = 0; step < candidates.length; step++) {
			const candidate = candidates[(from + step) % candidates.length]!;
			if (isEligible(candidate, choice)) {
				return candidate;
			}
		}

		return undefined;
	}

	function draw(choice: ChoiceOptions): Candidate | undefined {
		const {candidates} = choice;
		for (let attempt = 0; attempt < draws; attempt++) {
			const candidate = candidates[Math.floor(random() * candidates.length)]!;
			if (isEligible(candidate, choice)) {
				return candidate;
			}
		}

		return scan(choice, Math.floor(random() * candidates.length));
	}

	function getScore(candidate: Candidate, choice: ChoiceOptions): number {
		switch (policy) {
			case 'stale-report': {
				return candidate.getReportedLoad() / candidate.getAnnouncement().slots;
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
		const first = draw(choice);
		const second = first === undefined ? undefined : draw(choice);
		return first === undefined || second === undefined ? first : pickBetter(first, second, choice);
	}

	/** Gets the best of at most so many candidates, which are spread over all of them from a random one on. */
	function chooseBest(choice: ChoiceOptions, compared: number): Candidate | undefined {
		const {candidates} = choice;
		const from = Math.floor(random() * candidates.length);
		const stride = candidates.length > compared ? 1 + Math.floor(random() * (candidates.length - 1)) : 1;
		const steps = Math.min(candidates.length, compared);
		let best: Candidate | undefined;
		for (let step = 0; step < steps; step++) {
			const candidate = candidates[(from + (step * stride)) % candidates.length]!;
			if (isEligible(candidate, choice)) {
				best = best === undefined ? candidate : pickBetter(best, candidate, choice);
			}
		}

		return best ?? scan(choice, from);
	}

	return {
		choose(choice) {
			if (choice.candidates.length === 0) {
				return undefined;
			}

			switch (policy) {
				case 'round-robin': {
					turn++;
					return scan(choice, turn);
				}

				case 'central-queue': {
					return chooseBest(choice, Number.POSITIVE_INFINITY);
				}

				case 'least-in-flight': {
					return chooseBest(choice, comparedCandidates);
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
