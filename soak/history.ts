/**
 * Records what the operators, callers and upstreams of a run saw on their sockets, and which faults were injected. All times are
 * milliseconds since the start of the run. The checks use nothing else.
 */
import {createHash} from 'node:crypto';
import {performance} from 'node:perf_hooks';

/** Order of an operator to take a zone out of service or to put it back. */
export type Order = {
	readonly zone: string;
	readonly isOut: boolean;
	readonly sentAt: number;
	acknowledgedAt: number | undefined;
	/** Time at which the order was acknowledged or given up; undefined before. */
	endedAt: number | undefined;
	/** Attempts in order, in words. */
	readonly attempts: string[];
};

/** Version of the configuration that an operator put. Each version allows the paths of `getMarkerPath` for itself and all earlier ones. */
export type Version = {
	readonly number: number;
	readonly sentAt: number;
	acknowledgedAt: number | undefined;
	/** Status with which the version was refused, if it was. */
	refusal: number | undefined;
};

/** Configuration that an operator read at a control host. */
export type Reading = {readonly control: string; readonly sentAt: number; readonly endedAt: number; readonly number: number};

/** Fault that was injected: `core` on a control host, `entry` on an entry, `path` between the entries and an upstream, `operator` between the operators and a control host, `statement` what an upstream states about itself, `settings` a signal to read the settings again. */
export type Disturbance = {
	readonly scope: 'core' | 'entry' | 'path' | 'operator' | 'statement' | 'settings';
	/** Name of the machine or upstream. */
	readonly name: string;
	readonly kind: string;
	/** Whether it is planned work, which must cut no one off. */
	readonly isPlanned?: boolean;
	readonly from: number;
	/** Undefined while the fault is not over. */
	to: number | undefined;
};

/** Request that reached an upstream. */
export type Arrival = {readonly id: string; readonly upstream: string; readonly instance: string; readonly zone: string; readonly at: number; isRun: boolean};

/** Response that an upstream made. */
export type Answer = {
	/** Instance that states in this response that it leaves, if it does. */
	readonly leavingInstance?: string;
	readonly id: string;
	readonly upstream: string;
	readonly signature: string;
	readonly status: number;
	readonly digest: string;
	readonly manner: string;
};

/** Refusal of a request with which an instance of an upstream asked for a pause. */
export type PauseRefusal = {readonly id: string; readonly upstream: string; readonly instance: string; readonly at: number; readonly milliseconds: number};

/** Complete response that a caller received. */
export type CallerResponse = {readonly status: number; readonly signature: string | undefined; readonly digest: string; readonly size: number};

/** Request of a caller to an entry, with the response if a complete one arrived. */
export type Exchange = {
	readonly id: string;
	readonly entry: string;
	readonly method: string;
	readonly isUnsafe: boolean;
	/** Version from which on the path is allowed; undefined for the paths of all versions. */
	readonly marker?: number;
	readonly sentAt: number;
	readonly endedAt: number;
	/** Response, or a description of why there was none. */
	readonly outcome: CallerResponse | string;
};

/** History of a run. */
export type History = {
	readonly orders: Order[];
	readonly versions: Version[];
	readonly readings: Reading[];
	readonly disturbances: Disturbance[];
	readonly arrivals: Arrival[];
	readonly answers: Answer[];
	readonly pauses: PauseRefusal[];
	readonly exchanges: Exchange[];
	/** Time at which the last faults were over and the zones were ordered for the last time; undefined before. */
	steadyFrom: number | undefined;
	/** Gets the milliseconds since the start of the run. */
	now(): number;
};

/** Creates an empty history, whose time starts now. */
export function createHistory(): History {
	const startedAt = performance.now();
	return {
		orders: [],
		versions: [],
		readings: [],
		disturbances: [],
		arrivals: [],
		answers: [],
		pauses: [],
		exchanges: [],
		steadyFrom: undefined,
		now: () => performance.now() - startedAt,
	};
}

/**
 * Computes a digest of a body, so that the history need not hold the body itself.
 * @param body - Body in latin1.
 */
export function digestBody(body: string): string {
	return createHash('sha1').update(body, 'latin1').digest('hex');
}
