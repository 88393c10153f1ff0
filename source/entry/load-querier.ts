/**
 * Asks servers for their load just before a request is sent, on connections that are
 * kept for it. An answer that does not come in time costs the server the request, and
 * after a while its connection.
 */
import {Agent, request as startRequest} from 'node:http';
import {getExpectedSlowdown, type Candidate, type LoadReading} from '../choice/index.js';
import {type Dialect, type ServerReport} from './dialect.js';

/** Time after which a question counts as lost and its connection ends, in milliseconds. */
const lostMilliseconds = 400;

/** Connections for questions to one server at most. */
const questionConnections = 2;

/** Factor for the load of a server that says that it is unwell: others go first, but its word may be false. */
const unwellFactor = 4;

function getReading({load}: ServerReport, isWell: boolean): LoadReading | undefined {
	return load === undefined || isWell ? load : {...load, slowness: load.slowness * unwellFactor};
}

/** A candidate with what it said of itself. */
export type CandidateReading = {readonly candidate: Candidate; readonly reading: LoadReading};

/** Options of a question to some candidates. */
export type LoadQuery = {
	readonly candidates: readonly Candidate[];
	readonly waitMilliseconds: number;
	/** Checks whether an answer is worth no further wait. */
	isSufficient(candidate: Candidate, reading: LoadReading): boolean;
	/** Takes the answers: at once when one is enough, else when all have come or the wait is over. */
	onReadings(readings: readonly CandidateReading[]): void;
};

/** Asks servers for their load. */
export type LoadQuerier = {
	/** Asks; the returned function forgets the question. */
	query(question: LoadQuery): () => void;
	close(): void;
};

/** Options of an asker. */
export type LoadQuerierOptions = {
	readonly dialect: Dialect;
	/** Gets the path at which a service's servers tell their load. */
	getPath(service: string): string;
	/** Takes what a server says beside its load. */
	onReport(candidate: Candidate, hints: ServerReport): void;
	/** Takes a candidate whose answer did not come. */
	onMiss(candidate: Candidate): void;
	onResult(isAnswered: boolean): void;
};

/**
 * Creates an asker.
 * @param options - Dialect, servers and functions that take answers.
 */
export function createLoadQuerier(options: LoadQuerierOptions): LoadQuerier {
	const agent = new Agent({
		keepAlive: true, maxSockets: questionConnections, maxFreeSockets: questionConnections, scheduling: 'lifo',
	});

	function askOne(candidate: Candidate, answered: (reading: LoadReading | undefined) => void): void {
		const {host, port, service, name} = candidate.getAnnouncement();
		let isEnded = false;
		function end(reading: LoadReading | undefined): void {
			if (!isEnded) {
				isEnded = true;
				clearTimeout(timer);
				options.onResult(reading !== undefined);
				answered(reading);
			}
		}

		const headers = options.dialect.serverHeader === undefined ? {} : {[options.dialect.serverHeader]: name};
		const request = startRequest({
			host, port, path: options.getPath(service), method: 'GET', agent, headers,
		});
		const timer = setTimeout(() => {
			request.destroy();
		}, lostMilliseconds);
		request.once('response', answer => {
			answer.resume();
			const hints = options.dialect.getReport(answer.headers);
			if (hints.server !== undefined && hints.server !== name) {
				// Another server has the address now; what it says of itself is not about the candidate.
				end(undefined);
				return;
			}

			options.onReport(candidate, hints);
			end(getReading(hints, answer.statusCode === 200));
		});
		request.once('error', () => {
			end(undefined);
		});
		request.once('close', () => {
			end(undefined);
		});
		request.end();
	}

	return {
		query(question) {
			const readings: CandidateReading[] = [];
			let left = question.candidates.length;
			let isAnswered = false;
			function finish(): void {
				if (!isAnswered) {
					isAnswered = true;
					clearTimeout(timer);
					question.onReadings(readings.toSorted((one, other) => getExpectedSlowdown(one.reading) - getExpectedSlowdown(other.reading)));
				}
			}

			const timer = setTimeout(finish, question.waitMilliseconds);
			for (const candidate of question.candidates) {
				askOne(candidate, reading => {
					left--;
					if (reading === undefined) {
						options.onMiss(candidate);
					}

					if (reading !== undefined) {
						readings.push({candidate, reading});
					}

					if (left === 0 || (reading !== undefined && question.isSufficient(candidate, reading))) {
						finish();
					}
				});
			}

			return () => {
				isAnswered = true;
				clearTimeout(timer);
			};
		},
		close() {
			agent.destroy();
		},
	};
}
