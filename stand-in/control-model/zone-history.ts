/**
 * Checks whether what was read of a zone agrees with the orders for it. An order may take effect any number of times while its sender sends it, and must
 * do so before it is acknowledged. One that was given up may do so later. None may do so after an acknowledged order that started after it
 * had ended took effect. Each read shows the state at some moment between its start and its end. As with the check of Wing and Gong for
 * linearizability, all states that the order of the moments allows are followed; the history is wrong if none is left.
 */
import {type ZoneOrderRecord, type ZoneRead} from './history.js';

/** History of one zone. */
export type ZoneHistory = {readonly orders: readonly ZoneOrderRecord[]; readonly reads: readonly ZoneRead[]};

/** Numbers of orders or reads, in order. */
type Numbers = readonly number[];

/** State that is possible at a moment. */
type State = {
	readonly isOut: boolean;
	/** Orders that took effect. */
	readonly effective: Numbers;
	/** Orders that can no longer take effect. */
	readonly closed: Numbers;
	/** Reads in progress that have found their value. */
	readonly satisfied: Numbers;
};

type Event = {readonly at: number; readonly apply: () => void};

function add(numbers: Numbers, added: Numbers): Numbers {
	const missing = added.filter(number => !numbers.includes(number));
	return missing.length === 0 ? numbers : [...numbers, ...missing].toSorted((one, other) => one - other);
}

function getNumbers<Item>(items: readonly Item[], predicate: (item: Item) => boolean): Numbers {
	return [...items.keys()].filter(index => predicate(items[index]!));
}

/**
 * Finds the first thing in a history of a zone that no order of effects explains; undefined if there is none.
 * @param history - Orders and reads of a zone that is in service at first.
 */
export function findZoneFault({orders, reads}: ZoneHistory): string | undefined {
	const overtaken = orders.map(order => order.isAcknowledged ? getNumbers(orders, other => other.endedAt < order.startedAt) : []);
	const previousReads = reads.map(({reader, endedAt}) => reads.findLastIndex(other => other.reader === reader && other.endedAt < endedAt));
	const live = new Set<number>();
	const liveReads = new Map<number, ZoneRead>();
	let states: readonly State[] = [{
		isOut: false, effective: [], closed: [], satisfied: [],
	}];
	let fault: string | undefined;

	/** Lets the reads in progress find the value of a state, each after the one before it by the same reader. */
	function satisfy(state: State): State {
		const found: number[] = [];
		for (const index of [...liveReads.keys()].toSorted((one, other) => reads[one]!.endedAt - reads[other]!.endedAt)) {
			const previous = previousReads[index]!;
			const isNext = !liveReads.has(previous) || state.satisfied.includes(previous) || found.includes(previous);
			if (isNext && reads[index]!.isOut === state.isOut) {
				found.push(index);
			}
		}

		return {...state, satisfied: add(state.satisfied, found)};
	}

	function getSuccessors(state: State): readonly State[] {
		return [...live].filter(index => !state.closed.includes(index)).map(index => satisfy({
			...state, isOut: orders[index]!.isOut, effective: add(state.effective, [index]), closed: add(state.closed, overtaken[index]!),
		}));
	}

	/** Adds the states that can be reached without a further start or end. */
	function expand(): void {
		if (live.size === 0) {
			states = states.map(state => satisfy(state));
			return;
		}

		const known = new Map<string, State>();
		const open = states.map(state => satisfy(state));
		for (let state = open.pop(); state !== undefined; state = open.pop()) {
			const key = JSON.stringify(state);
			if (!known.has(key)) {
				known.set(key, state);
				open.push(...getSuccessors(state));
			}
		}

		states = [...known.values()];
	}

	function keep(predicate: (state: State) => boolean, describe: () => string): void {
		states = states.filter(state => predicate(state));
		fault ??= states.length === 0 ? describe() : undefined;
	}

	const events: Event[] = [
		...orders.map((order, index): Event => ({
			at: order.startedAt, apply() {
				live.add(index);
			},
		})),
		...getNumbers(orders, order => order.isAcknowledged).map((index): Event => ({
			at: orders[index]!.endedAt, apply() {
				live.delete(index);
				keep(state => state.effective.includes(index), () => `${describeOrder(orders[index]!)} was acknowledged without an effect`);
			},
		})),
		...reads.map((read, index): Event => ({
			at: read.startedAt, apply() {
				liveReads.set(index, read);
			},
		})),
		...reads.map((read, index): Event => ({
			at: read.endedAt, apply() {
				liveReads.delete(index);
				keep(state => state.satisfied.includes(index), () => describeRead(read));
				states = states.map(state => ({...state, satisfied: state.satisfied.filter(number => number !== index)}));
			},
		})),
	];

	for (const {apply} of events.toSorted((one, other) => one.at - other.at)) {
		apply();
		expand();
		if (fault !== undefined) {
			return fault;
		}
	}

	return undefined;
}

function describeOrder({zone, isOut, startedAt}: ZoneOrderRecord): string {
	return `the order of moment ${startedAt} to ${isOut ? 'take' : 'put'} ${zone} ${isOut ? 'out of service' : 'back'}`;
}

function describeRead({reader, zone, isOut, startedAt, endedAt}: ZoneRead): string {
	return `${reader} was told between the moments ${startedAt} and ${endedAt} that ${zone} is ${isOut ? 'out of' : 'in'} service`;
}
