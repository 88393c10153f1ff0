/** Links between virtual processes: they deliver in order after a few milliseconds, unless a fault loses, doubles, delays or holds messages. */
import {type Random} from '../../source/randomness/index.js';
import {type Coverage} from './coverage.js';
import {type VirtualProcess, type VirtualWorld} from './virtual-world.js';

/** Message on its way. */
export type Envelope = {
	readonly from: string;
	readonly to: string;
	readonly kind: string;
	/** Delivers the message; a copy is one that a link delivers once more. */
	deliver(isCopy: boolean): void;
};

/** What becomes of the closes of callers' connections that a link held. */
export type HeldCloses = 'delivered' | 'late' | 'lost';

/** Links between processes. */
export type Network = {
	send(envelope: Envelope): void;
	/** Loses all messages between two processes until `heal`. */
	cut(one: string, other: string): void;
	heal(one: string, other: string): void;
	/** Holds the messages from one process to another until `release`. */
	hold(from: string, to: string): void;
	release(from: string, to: string, closes: HeldCloses): void;
	/** Sets whether closes of callers' connections to a host are lost. */
	setLosesCloses(host: string, losesCloses: boolean): void;
	/** Sets whether messages are lost, doubled and delayed at random. */
	setStorm(isStormy: boolean): void;
};

/** Options of `createNetwork`. */
export type NetworkOptions = {
	readonly world: VirtualWorld;
	readonly random: Random;
	readonly coverage: Coverage;
	/** Gets the running process of a name, or undefined if there is none. */
	getProcess(name: string): VirtualProcess | undefined;
};

const maximumLatencyMilliseconds = 4;
const maximumDelayMilliseconds = 400;

/** Delay after which a copy of a message may still arrive; longer than the patience of operators. */
const maximumCopyDelayMilliseconds = 1500;

const maximumCloseDelayMilliseconds = 60;
const lostShare = 0.08;
const doubledShare = 0.08;
const delayedShare = 0.1;

/** Kind of the message by which a host learns that a caller closed its connection. */
export const closeKind = 'close';

/**
 * Creates links without faults.
 * @param options - World, random numbers and processes.
 */
export function createNetwork(options: NetworkOptions): Network {
	const {world, random, coverage, getProcess} = options;
	const cuts = new Set<string>();
	const held = new Map<string, Envelope[]>();
	const lastDeliveryAt = new Map<string, number>();
	const losesClosesTo = new Set<string>();
	let isStormy = false;

	function getPair(one: string, other: string): string {
		return [one, other].toSorted().join(' ');
	}

	function pick(maximumMilliseconds: number): number {
		return 1 + Math.floor(random() * maximumMilliseconds);
	}

	/** Delivers after a delay; a process that does not run then reads the message when it runs again, or never. */
	function deliverAfter(envelope: Envelope, milliseconds: number, isCopy = false): void {
		const process = getProcess(envelope.to);
		if (process === undefined) {
			coverage.record(envelope.kind, 'ended');
			return;
		}

		world.schedule(milliseconds, {
			process,
			run() {
				coverage.record(envelope.kind, 'delivered');
				envelope.deliver(isCopy);
			},
			onMiss(reason) {
				coverage.record(envelope.kind, reason);
			},
		});
	}

	/** Delivers behind the earlier messages of the same link. */
	function deliverInOrder(envelope: Envelope, milliseconds: number): void {
		const link = `${envelope.from} ${envelope.to}`;
		const at = Math.max(world.getTime() + milliseconds, lastDeliveryAt.get(link) ?? 0);
		lastDeliveryAt.set(link, at);
		deliverAfter(envelope, at - world.getTime());
	}

	/** Sends over a link that loses, doubles and delays; a delayed message is overtaken by others, except the close of a connection. */
	function sendInStorm(envelope: Envelope): void {
		const share = random();
		if (share < lostShare) {
			coverage.record(envelope.kind, 'lost');
		} else if (share < lostShare + doubledShare) {
			coverage.record(envelope.kind, 'doubled');
			deliverInOrder(envelope, pick(maximumLatencyMilliseconds));
			deliverAfter(envelope, pick(maximumCopyDelayMilliseconds), true);
		} else if (share < lostShare + doubledShare + delayedShare) {
			coverage.record(envelope.kind, 'delayed');
			deliverAfter(envelope, pick(maximumDelayMilliseconds));
		} else {
			deliverInOrder(envelope, pick(maximumLatencyMilliseconds));
		}
	}

	function releaseOne(envelope: Envelope, closes: HeldCloses): void {
		if (envelope.kind !== closeKind || closes === 'delivered') {
			deliverInOrder(envelope, 1);
		} else if (closes === 'late') {
			deliverAfter(envelope, 1 + pick(maximumCloseDelayMilliseconds));
		} else {
			coverage.record(envelope.kind, 'lost');
		}
	}

	return {
		send(envelope) {
			const {from, to, kind} = envelope;
			const queue = held.get(`${from} ${to}`);
			const isLost = (cuts.size > 0 && cuts.has(getPair(from, to))) || (kind === closeKind && losesClosesTo.has(to));
			if (isLost) {
				coverage.record(kind, 'lost');
			} else if (queue !== undefined) {
				coverage.record(kind, 'held');
				queue.push(envelope);
			} else if (isStormy) {
				sendInStorm(envelope);
			} else {
				deliverInOrder(envelope, pick(maximumLatencyMilliseconds));
			}
		},
		cut(one, other) {
			cuts.add(getPair(one, other));
		},
		heal(one, other) {
			cuts.delete(getPair(one, other));
		},
		hold(from, to) {
			held.set(`${from} ${to}`, held.get(`${from} ${to}`) ?? []);
		},
		release(from, to, closes) {
			const queue = held.get(`${from} ${to}`) ?? [];
			held.delete(`${from} ${to}`);
			for (const envelope of queue) {
				releaseOne(envelope, closes);
			}
		},
		setLosesCloses(host, losesCloses) {
			if (losesCloses) {
				losesClosesTo.add(host);
			} else {
				losesClosesTo.delete(host);
			}
		},
		setStorm(nextIsStormy) {
			isStormy = nextIsStormy;
		},
	};
}
