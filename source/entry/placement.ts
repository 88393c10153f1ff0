/**
 * Chooses the server of one attempt. Where a service wants it, a few candidates are asked
 * for their load first, and others when none of them has room; a request that nobody has
 * room for gets no server, so that it can be refused at once.
 */
import {performance} from 'node:perf_hooks';
import {getAskedCandidates, hasRoom, type Candidate} from '../choice/index.js';
import {type AskedCandidate} from './asker.js';
import {type CallContext} from './call.js';
import {type ServiceState} from './fleet.js';
import {type RoutePolicy} from './router.js';
import {type Decision} from './story.js';

/** Time in which servers that are asked answer, where the document does not say, in milliseconds. */
const ordinaryAskMilliseconds = 10;

/** Rounds of questions before a request is refused: the nearest candidates, then others. */
const askingRounds = 2;

/** One round of questions. */
type AskingRound = {
	readonly count: number;
	/** Candidates that take no part, which each round adds to. */
	readonly alreadyAsked: Set<number>;
	readonly roundsLeft: number;
	/** Answers that came in the rounds before. */
	readonly answers: number;
};

/** Takes the chosen server, or undefined when none has room. */
export type PlaceTaker = (candidate: Candidate | undefined) => void;

/** Chooses the servers of one request. */
export type Placement = {
	/** Chooses by what is known without questions. */
	choose(now: number): Candidate | undefined;
	/** Chooses, after questions where the service wants them. */
	place(take: PlaceTaker): void;
	/** Forgets the question that is under way. */
	forget(): void;
};

/** Options of a placement. */
export type PlacementOptions = {
	readonly context: CallContext;
	readonly state: ServiceState;
	readonly route: RoutePolicy;
	/** Servers that already took an attempt. */
	readonly excluded: ReadonlySet<number>;
	/** Zones in which an attempt has failed. */
	readonly avoidedZones: ReadonlySet<string>;
	/** Notes a decision for the log. */
	note(decision: Decision): void;
};

/**
 * Creates the placement of one request.
 * @param options - Service, route and what the request has met so far.
 */
export function createPlacement(options: PlacementOptions): Placement {
	const {
		context, state, route, excluded, avoidedZones,
	} = options;
	const {zone} = context;
	let forgetQuestion: (() => void) | undefined;
	let isForgotten = false;

	function choose(now: number): Candidate | undefined {
		return state.getChooser().choose({
			candidates: state.getCandidates(), excluded, zone, avoidedZones, now,
		});
	}

	function getCandidatesToAsk(round: AskingRound): readonly Candidate[] {
		const now = performance.now();
		return getAskedCandidates({
			candidates: state.getCandidates(), excluded: round.alreadyAsked, zone, avoidedZones, count: context.questions.take(round.count, now), now,
		}, context.random);
	}

	/** Asks some candidates, and others when none of the first has room. */
	function ask(round: AskingRound, take: PlaceTaker): void {
		const asked = getCandidatesToAsk(round);
		if (asked.length === 0) {
			take(getUnasked(round.answers));
			return;
		}

		forgetQuestion = context.asker.ask({
			candidates: asked, waitMilliseconds: state.getService().askMilliseconds ?? ordinaryAskMilliseconds, answered(readings) {
				forgetQuestion = undefined;
				if (!isForgotten) {
					takeReadings(round, asked, readings, take);
				}
			},
		});
	}

	function takeReadings(round: AskingRound, asked: readonly Candidate[], readings: readonly AskedCandidate[], take: PlaceTaker): void {
		const candidate = getRoomiest(readings, asked.length);
		const answers = round.answers + readings.length;
		if (candidate !== undefined || round.roundsLeft <= 1) {
			take(candidate ?? getUnasked(answers));
			return;
		}

		for (const other of asked) {
			round.alreadyAsked.add(other.id);
		}

		ask({...round, roundsLeft: round.roundsLeft - 1, answers}, take);
	}

	/** Where nobody answered anything, what is known without questions has to do. */
	function getUnasked(answers: number): Candidate | undefined {
		return answers === 0 ? choose(performance.now()) : undefined;
	}

	/** Gets the best of the servers that answered and have room. */
	function getRoomiest(readings: readonly AskedCandidate[], asked: number): Candidate | undefined {
		const now = performance.now();
		const best = readings.find(({candidate, reading}) => candidate.isOpen(now) && hasRoom(reading, route.isUrgent));
		if (best !== undefined) {
			const {running, waiting, slots, slowness} = best.reading;
			options.note({
				kind: 'place', server: best.candidate.getAnnouncement().name, reading: `${running},${waiting},${slots},${slowness}`, asked, answered: readings.length,
			});
		}

		return best?.candidate;
	}

	return {
		choose,
		place(take) {
			const {askedCandidates = 0} = state.getService();
			if (askedCandidates === 0) {
				take(choose(performance.now()));
				return;
			}

			ask({
				count: askedCandidates, alreadyAsked: new Set(excluded), roundsLeft: askingRounds, answers: 0,
			}, take);
		},
		forget() {
			isForgotten = true;
			forgetQuestion?.();
		},
	};
}
