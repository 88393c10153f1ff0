/**
 * Explores the replicated log at random with lost, reordered and duplicated messages, crashes between any two disk writes,
 * paused replicas and membership changes.
 */
import {describe, test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {createRandom, type Random} from '../randomness/index.js';
import {
	createReplica, type Action, type HardState, type LogEntry, type Membership, type Replica, type ReplicaMessage, type Snapshot,
} from './index.js';

const electionMilliseconds = 100;
const heartbeatMilliseconds = 20;

type Disk = {state: HardState; entries: LogEntry[]; snapshot: Snapshot | undefined};
type Persist = Extract<Action, {readonly kind: 'persistState' | 'persistEntries' | 'persistSnapshot'}>;
type Send = Extract<Action, {readonly kind: 'send'}>;
type Envelope = {readonly from: string; readonly to: string; readonly message: ReplicaMessage};

type Node = {
	readonly id: string;
	disk: Disk;
	replica: Replica | undefined;
	pending: Array<Persist | Send>;
	applied: number;
};

function write(disk: Disk, action: Persist): Disk {
	switch (action.kind) {
		case 'persistState': {
			return {...disk, state: action.state};
		}

		case 'persistEntries': {
			return {...disk, entries: [...disk.entries.filter(entry => entry.index < action.truncateFrom), ...action.entries]};
		}

		case 'persistSnapshot': {
			const {snapshot} = action;
			const covered = disk.entries.find(entry => entry.index === snapshot.index);
			const isContinuous = covered?.term === snapshot.term || disk.entries[0]?.index === snapshot.index + 1;
			return {...disk, snapshot, entries: isContinuous ? disk.entries.filter(entry => entry.index > snapshot.index) : []};
		}
	}
}

/** Runs replicas on simulated disks and a simulated network, and checks the invariants after every step. */
function createCluster(ids: readonly string[], founders: Membership, random: Random) {
	const nodes = new Map<string, Node>();
	const committed = new Map<number, string>();
	const leaders = new Map<number, string>();
	const committedAtRequest = new Map<string, number>();
	let network: Envelope[] = [];
	let now = 0;
	let nextValue = 1;
	let nextToken = 1;
	let confirmations = 0;

	for (const id of ids) {
		const node: Node = {
			id, disk: {state: {term: 0, votedFor: undefined}, entries: [], snapshot: undefined}, replica: undefined, pending: [], applied: 0,
		};
		nodes.set(id, node);
		start(node);
	}

	function start(node: Node): void {
		node.pending = [];
		node.applied = node.disk.snapshot?.index ?? 0;
		node.replica = createReplica({
			id: node.id, ...node.disk, founders, electionMilliseconds, heartbeatMilliseconds, random, now,
		});
	}

	function getHighestCommitted(): number {
		return Math.max(0, ...committed.keys());
	}

	function checkCommit(node: Node, entry: LogEntry): void {
		expect(entry.index).toEqual(node.applied + 1);
		node.applied = entry.index;
		const text = JSON.stringify([entry.term, entry.payload]);
		expect(committed.get(entry.index) ?? text).toEqual(text);
		committed.set(entry.index, text);
	}

	function checkLeader(node: Node): void {
		if (node.replica?.getRole() === 'leader') {
			const term = node.replica.getTerm();
			expect(leaders.get(term) ?? node.id).toEqual(node.id);
			leaders.set(term, node.id);
		}
	}

	function run(node: Node, actions: readonly Action[]): void {
		for (const action of actions) {
			switch (action.kind) {
				case 'persistState':
				case 'persistEntries':
				case 'persistSnapshot': {
					node.pending.push(action);
					break;
				}

				case 'send': {
					if (action.isAfterSync) {
						node.pending.push(action);
					} else {
						network.push({from: node.id, to: action.to, message: action.message});
					}

					break;
				}

				case 'commit': {
					checkCommit(node, action.entry);
					break;
				}

				case 'restore': {
					node.applied = action.snapshot.index;
					break;
				}

				case 'confirmed': {
					confirmations++;
					expect(action.index >= (committedAtRequest.get(`${node.id} ${action.token}`) ?? 0)).toEqual(true);
					break;
				}

				case 'unconfirmed':
				case 'roleChanged': {
					break;
				}
			}
		}

		checkLeader(node);
	}

	function handle(node: Node, event: Parameters<Replica['handle']>[0]): void {
		if (node.replica !== undefined) {
			run(node, node.replica.handle(event, now));
		}
	}

	function pick<Item>(items: readonly Item[], number: number): Item | undefined {
		return items[number % Math.max(1, items.length)];
	}

	function sync(node: Node): void {
		const batch = node.pending;
		const log = node.replica?.getLog();
		if (log === undefined || batch.length === 0) {
			return;
		}

		const lastIndex = log.getLastIndex();
		const lastTerm = log.getLastTerm();
		node.pending = [];
		for (const action of batch) {
			if (action.kind === 'send') {
				network.push({from: node.id, to: action.to, message: action.message});
			} else {
				node.disk = write(node.disk, action);
			}
		}

		handle(node, {kind: 'persisted', lastIndex, lastTerm});
	}

	function crash(node: Node, writes: number): void {
		const persists = node.pending.filter(action => action.kind !== 'send');
		for (const action of persists.slice(0, writes % (persists.length + 1))) {
			node.disk = write(node.disk, action);
		}

		node.replica = undefined;
	}

	function step(kind: number, number: number): void {
		const all = [...nodes.values()];
		const node = pick(all, number)!;
		if (kind < 40) {
			const envelope = pick(network, kind < 25 ? 0 : number);
			if (envelope !== undefined) {
				network = network.filter(other => other !== envelope);
				handle(nodes.get(envelope.to)!, {kind: 'received', from: envelope.from, message: envelope.message});
			}
		} else if (kind < 58) {
			now += number % 30;
			for (const other of kind < 48 ? all : [node]) {
				handle(other, {kind: 'tick'});
			}
		} else if (kind < 74) {
			for (const other of kind < 66 ? all : [node]) {
				sync(other);
			}
		} else if (kind < 82) {
			for (const other of all) {
				handle(other, {kind: 'propose', payload: {kind: 'command', command: nextValue++}});
			}
		} else if (kind < 86) {
			const envelope = pick(network, number);
			network = kind < 84 ? network.filter(other => other !== envelope) : [...network, ...envelope === undefined ? [] : [envelope]];
		} else if (kind < 88) {
			crash(node, number);
		} else if (kind < 92) {
			for (const other of all) {
				if (other.replica === undefined) {
					start(other);
				}
			}

			// The links to hosts that start open again.
			for (const other of all) {
				handle(other, {kind: 'connected'});
			}
		} else if (kind < 95) {
			const token = nextToken++;
			committedAtRequest.set(`${node.id} ${token}`, getHighestCommitted());
			handle(node, {kind: 'confirm', token, isUrgent: token % 2 === 0});
		} else if (kind < 97) {
			handle(node, {kind: 'compact', index: node.applied, data: node.applied});
		} else if (kind < 98) {
			handle(node, {kind: 'transfer', to: pick(ids, number + 1)!});
		} else {
			changeMembership(node, number);
		}
	}

	function changeMembership(node: Node, number: number): void {
		const {replica} = node;
		if (replica?.getRole() !== 'leader' || !replica.isMembershipSettled()) {
			return;
		}

		const {voters} = replica.getMembership();
		const member = pick(ids, number)!;
		const next = voters.includes(member) ? voters.filter(voter => voter !== member) : [...voters, member];
		if (next.length >= 2) {
			handle(node, {kind: 'propose', payload: {kind: 'membership', membership: {voters: next, learners: ids.filter(id => !next.includes(id))}}});
		}
	}

	function settle(): void {
		for (const node of nodes.values()) {
			if (node.replica === undefined) {
				start(node);
			}
		}

		for (let round = 0; round < 400; round++) {
			now += 5;
			for (const node of nodes.values()) {
				handle(node, {kind: 'tick'});
				sync(node);
			}

			const sent = network;
			network = [];
			for (const {from, to, message} of sent) {
				handle(nodes.get(to)!, {kind: 'received', from, message});
			}
		}
	}

	return {
		step,
		settle,
		getLeaders: () => [...nodes.values()].filter(node => node.replica?.getRole() === 'leader'),
		getNodes: () => [...nodes.values()],
		getHighestCommitted,
		getConfirmations: () => confirmations,
		handle,
	};
}

describe('createReplica', () => {
	function doTest(ids: readonly string[], voters: readonly string[], runs: number, seed: number): void {
		let highest = 0;
		let confirmations = 0;
		fc.assert(fc.property(fc.integer(), fc.array(fc.tuple(fc.nat(99), fc.nat(1000)), {minLength: 200, maxLength: 900, size: 'max'}), (randomSeed, steps) => {
			const cluster = createCluster(ids, {voters, learners: ids.filter(id => !voters.includes(id))}, createRandom(randomSeed));
			for (const [kind, number] of steps) {
				cluster.step(kind, number);
			}

			cluster.settle();
			const leaders = cluster.getLeaders();
			expect(leaders.length).toEqual(1);
			const [leader] = leaders;
			const before = cluster.getHighestCommitted();
			cluster.handle(leader!, {kind: 'propose', payload: {kind: 'command', command: 'last'}});
			cluster.settle();
			expect(cluster.getHighestCommitted() > before).toEqual(true);
			highest = Math.max(highest, cluster.getHighestCommitted());
			confirmations += cluster.getConfirmations();
		}), {seed, numRuns: runs, endOnFailure: true});
		expect(highest > 10).toEqual(true);
		expect(confirmations > 10).toEqual(true);
	}

	test('preserves the invariants with three voters', () => {
		doTest(['a', 'b', 'c'], ['a', 'b', 'c'], 150, 11);
	});

	test('preserves the invariants with five voters', () => {
		doTest(['a', 'b', 'c', 'd', 'e'], ['a', 'b', 'c', 'd', 'e'], 80, 12);
	});

	test('preserves the invariants while learners are promoted and voters are removed', () => {
		doTest(['a', 'b', 'c', 'd'], ['a', 'b', 'c'], 120, 13);
	});

	test('commits as the only voter', () => {
		const cluster = createCluster(['a'], {voters: ['a'], learners: []}, createRandom(1));
		cluster.settle();
		expect(cluster.getLeaders().length).toEqual(1);
		expect(cluster.getHighestCommitted()).toEqual(1);
	});
});
