/** Requests of callers, drawn at random. */
import {type Random} from '../source/randomness/index.js';
import {type History} from './history.js';
import {chooseRecentVersion, getMarkerPath} from './versions.js';

const leavingProbability = 0.04;
const longestStayMilliseconds = 25;
const newConnectionProbability = 0.2;
const markerProbability = 0.15;
const shortestDeadlineMilliseconds = 400;
const deadlineRangeMilliseconds = 1200;

/** Request of a caller. */
export type CallerRequest = {
	readonly id: string;
	readonly method: 'GET' | 'HEAD' | 'POST';
	readonly path: string;
	/** Version whose path it is; undefined for the paths of all versions. */
	readonly marker?: number;
	readonly deadlineMilliseconds: number;
	readonly isChunked: boolean;
	/** Time after which the caller leaves; infinite if it stays. */
	readonly stayMilliseconds: number;
	readonly isOnNewConnection: boolean;
};

/** Options of `createRequestSource`. */
export type RequestSourceOptions = {
	/** Beginning of the ids. */
	readonly prefix: string;
	readonly history: History;
	readonly random: Random;
};

function createTarget(kind: number, id: string): Pick<CallerRequest, 'method' | 'path'> {
	if (kind < 0.25) {
		return {method: 'POST', path: `/order/${id}`};
	}

	return {method: kind < 0.3 ? 'HEAD' : 'GET', path: kind > 0.95 ? `/look/empty/${id}` : `/look/${id}`};
}

/**
 * Creates a source of requests.
 * @param options - Beginning of the ids, history and random numbers.
 */
export function createRequestSource({prefix, history, random}: RequestSourceOptions): () => CallerRequest {
	let nextNumber = 1;
	return () => {
		const kind = random();
		const id = `${prefix}.${nextNumber++}`;
		const marker = random() < markerProbability ? chooseRecentVersion(history, random) : undefined;
		return {
			id,
			...(marker === undefined ? createTarget(kind, id) : {method: 'GET', path: `${getMarkerPath(marker)}${id}`, marker}),
			deadlineMilliseconds: Math.round(shortestDeadlineMilliseconds + (random() * deadlineRangeMilliseconds)),
			isChunked: random() < 0.5,
			stayMilliseconds: random() < leavingProbability ? random() * longestStayMilliseconds : Infinity,
			isOnNewConnection: random() < newConnectionProbability,
		};
	};
}
