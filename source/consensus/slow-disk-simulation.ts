/** Simulation of three replicas in virtual time, whose disks take a time for each sync. */
import {createRandom} from '../randomness/index.js';
import {
	createReplica, type Action, type Replica, type ReplicaEvent,
} from './index.js';

const ids = ['a', 'b', 'c'];
const tickMilliseconds = 5;

/** Election timeout of the simulated replicas, in milliseconds. */
export const electionMilliseconds = 100;

/** Time between the heartbeats of the simulated replicas, in milliseconds. */
export const heartbeatMilliseconds = 20;

/** A simulated replica with its disk. */
export type Host = {readonly id: string; readonly replica: Replica; pending: Action[]; isWriting: boolean; isLost: boolean};

type ScheduledEvent = {readonly at: number; readonly run: () => void};

/** Three simulated replicas. */
export type SlowDiskSimulation = {
	readonly hosts: readonly Host[];
	getNow(): number;
	/** Has a replica handle an event at the current time. */
	handle(host: Host, event: ReplicaEvent): void;
	/** Gets the leader, or undefined if none of the replicas that run is one. */
	getLeader(): Host | undefined;
	/** Advances the time to its end, or until a function that runs after every tick returns true. */
	runUntil(end: number, isDone: () => boolean): void;
};

/** Options of `simulateSlowDisks`. */
export type SlowDiskOptions = {
	readonly seed: number;
	/** Gets the time that a sync of a host takes that begins at a time, in milliseconds. */
	getSyncMilliseconds(now: number, host: string): number;
	onConfirmed(token: number, now: number): void;
};

/**
 * Creates the simulation at time 0.
 * @param options - Seed, and the time that syncs take.
 */
export function simulateSlowDisks(options: SlowDiskOptions): SlowDiskSimulation {
	const random = createRandom(options.seed);
	const hosts = new Map<string, Host>(ids.map(id => [id, {
		id, replica: createReplica({
			id, state: {term: 0, votedFor: undefined}, snapshot: undefined, entries: [], founders: {voters: ids, learners: []}, electionMilliseconds, heartbeatMilliseconds, random, now: 0,
		}), pending: [], isWriting: false, isLost: false,
	}]));
	let scheduledEvents: ScheduledEvent[] = [];
	let now = 0;

	function schedule(milliseconds: number, run: () => void): void {
		scheduledEvents.push({at: now + milliseconds, run});
	}

	function handle(host: Host, event: ReplicaEvent): void {
		if (host.isLost) {
			return;
		}

		for (const action of host.replica.handle(event, now)) {
			run(host, action);
		}

		flush(host);
	}

	function run(host: Host, action: Action): void {
		switch (action.kind) {
			case 'send': {
				if (action.isAfterSync) {
					host.pending.push(action);
				} else {
					transmit(host, action);
				}

				return;
			}

			case 'persistState':
			case 'persistEntries':
			case 'persistSnapshot': {
				host.pending.push(action);
				return;
			}

			case 'confirmed': {
				options.onConfirmed(action.token, now);
				break;
			}

			case 'unconfirmed':
			case 'restore':
			case 'commit':
			case 'roleChanged':
				// The commit index and the leader are read from the replicas; rejected requests are missing from the count of confirmed ones.
		}
	}

	function transmit(host: Host, {to, message}: Extract<Action, {readonly kind: 'send'}>): void {
		schedule(1, () => {
			handle(hosts.get(to)!, {kind: 'received', from: host.id, message});
		});
	}

	/** Writes all pending actions in one batch, as the driver does. */
	function flush(host: Host): void {
		const batch = host.pending;
		if (host.isWriting || batch.length === 0) {
			return;
		}

		host.isWriting = true;
		host.pending = [];
		const lastIndex = host.replica.getLog().getLastIndex();
		const lastTerm = host.replica.getLog().getLastTerm();
		const stateVersion = host.replica.getStateVersion();
		schedule(batch.some(action => action.kind !== 'send') ? options.getSyncMilliseconds(now, host.id) : 0, () => {
			host.isWriting = false;
			for (const action of batch) {
				if (action.kind === 'send' && !host.isLost) {
					transmit(host, action);
				}
			}

			handle(host, {
				kind: 'persisted', lastIndex, lastTerm, stateVersion,
			});
		});
	}

	function runDueEvents(): void {
		for (;;) {
			const due = scheduledEvents.filter(event => event.at <= now);
			if (due.length === 0) {
				return;
			}

			scheduledEvents = scheduledEvents.filter(event => event.at > now);
			for (const event of due) {
				event.run();
			}
		}
	}

	return {
		hosts: [...hosts.values()],
		getNow: () => now,
		handle,
		getLeader: () => [...hosts.values()].find(host => !host.isLost && host.replica.getRole() === 'leader'),
		runUntil(end, isDone) {
			while (now < end) {
				now += tickMilliseconds;
				runDueEvents();
				for (const host of hosts.values()) {
					handle(host, {kind: 'tick'});
				}

				if (isDone()) {
					return;
				}
			}
		},
	};
}
