/** Runs three replicas in virtual time while the syncs of all disks take longer than election timeouts and leases. */
import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createRandom} from '../randomness/index.js';
import {
	createReplica, type Action, type Replica, type ReplicaEvent,
} from './index.js';

const ids = ['a', 'b', 'c'];
const electionMilliseconds = 100;
const heartbeatMilliseconds = 20;
const tickMilliseconds = 5;
const fastPhaseMilliseconds = 1000;
const slowPhaseMilliseconds = 5000;
const requestIntervalMilliseconds = 50;

type Host = {readonly id: string; readonly replica: Replica; pending: Action[]; isWriting: boolean};
type ScheduledEvent = {readonly at: number; readonly run: () => void};

/** Terms, confirmations and commits of the hosts while their disks were slow. */
type Observation = {readonly terms: ReadonlySet<number>; readonly longestConfirmation: number; readonly confirmed: number; readonly requested: number; readonly committed: boolean};

function observe(seed: number, syncMilliseconds: number): Observation {
	const random = createRandom(seed);
	const hosts = new Map<string, Host>(ids.map(id => [id, {
		id, replica: createReplica({
			id, state: {term: 0, votedFor: undefined}, snapshot: undefined, entries: [], founders: {voters: ids, learners: []}, electionMilliseconds, heartbeatMilliseconds, random, now: 0,
		}), pending: [], isWriting: false,
	}]));
	const requestedAt = new Map<number, number>();
	const terms = new Set<number>();
	let scheduledEvents: ScheduledEvent[] = [];
	let now = 0;
	let longestConfirmation = 0;
	let confirmed = 0;

	function schedule(milliseconds: number, run: () => void): void {
		scheduledEvents.push({at: now + milliseconds, run});
	}

	function getSyncTime(): number {
		return now > fastPhaseMilliseconds && now < fastPhaseMilliseconds + slowPhaseMilliseconds ? syncMilliseconds : 1;
	}

	function handle(host: Host, event: ReplicaEvent): void {
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
				confirmed++;
				longestConfirmation = Math.max(longestConfirmation, now - requestedAt.get(action.token)!);
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
		schedule(batch.some(action => action.kind !== 'send') ? getSyncTime() : 0, () => {
			host.isWriting = false;
			for (const action of batch) {
				if (action.kind === 'send') {
					transmit(host, action);
				}
			}

			handle(host, {kind: 'persisted', lastIndex, lastTerm});
		});
	}

	function getLeader(): Host | undefined {
		return [...hosts.values()].find(host => host.replica.getRole() === 'leader');
	}

	function runUntil(end: number, everyTick: () => void): void {
		while (now < end) {
			now += tickMilliseconds;
			for (;;) {
				const due = scheduledEvents.filter(event => event.at <= now);
				if (due.length === 0) {
					break;
				}

				scheduledEvents = scheduledEvents.filter(event => event.at > now);
				for (const event of due) {
					event.run();
				}
			}

			for (const host of hosts.values()) {
				handle(host, {kind: 'tick'});
			}

			everyTick();
		}
	}

	function requestConfirmation(): void {
		const leader = getLeader();
		terms.add(leader?.replica.getTerm() ?? 0);
		if (leader !== undefined && now % requestIntervalMilliseconds === 0) {
			requestedAt.set(now, now);
			handle(leader, {kind: 'confirm', token: now, isUrgent: false});
			handle(leader, {kind: 'propose', payload: {kind: 'command', command: now}});
		}
	}

	runUntil(fastPhaseMilliseconds, () => undefined);
	runUntil(fastPhaseMilliseconds + slowPhaseMilliseconds, requestConfirmation);
	runUntil(fastPhaseMilliseconds + slowPhaseMilliseconds + (syncMilliseconds * 2) + fastPhaseMilliseconds, () => undefined);
	const commits = [...hosts.values()].map(host => host.replica.getCommitIndex());
	return {
		terms, longestConfirmation, confirmed, requested: requestedAt.size, committed: commits.every(index => index > slowPhaseMilliseconds / requestIntervalMilliseconds && index === commits[0]),
	};
}

describe('createReplica: disk syncs that take longer than an election', () => {
	function doTest(seed: number, syncMilliseconds: number): void {
		const {terms, longestConfirmation, confirmed, requested, committed} = observe(seed, syncMilliseconds);
		expect([terms.size, confirmed, committed]).toEqual([1, slowPhaseMilliseconds / requestIntervalMilliseconds, true]);
		expect(requested).toEqual(confirmed);
		expect(longestConfirmation <= heartbeatMilliseconds * 3).toEqual(true);
	}

	test('cause no change of leader and do not delay lease confirmations', () => {
		doTest(61, electionMilliseconds * 3);
	});
	test('cause no change of leader when one sync takes as long as a lease', () => {
		doTest(62, 3000);
	});
	test('have no effect when they are fast', () => {
		doTest(63, 1);
	});
});
