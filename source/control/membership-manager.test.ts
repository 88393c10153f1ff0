import {describe, test} from 'node:test';
import {expect} from 'earl';
import {
	createReplica, type Action, type Membership, type Replica, type ReplicaEvent, type ReplicaMessage,
} from '../consensus/index.js';
import {type ControlAddress} from '../control-client/index.js';
import {createRandom} from '../randomness/index.js';
import {type ControlSettings} from '../settings/index.js';
import {getHostName} from '../storage/index.js';
import {createRecordedLog} from '../../stand-in/recorded-log.js';
import {createHostDiscovery} from './host-discovery.js';
import {createMembershipManager, type MembershipManager, type MembershipManagerOptions} from './membership-manager.js';
import {type Directory} from './message.js';

const names = ['10.0.0.1:7', '10.0.0.2:7', '10.0.0.3:7', '10.0.0.4:7'] as const;
const [first, second, removed, spare] = names;
const founders: Membership = {voters: [first, second, removed].map(name => getReplica(name)), learners: []};
const withoutRemoved: Membership = {voters: [first, second, spare].map(name => getReplica(name)), learners: []};
const stepMilliseconds = 10;
const settleSteps = 400;

function getReplica(name: string): string {
	return `${name}:r`;
}

type Host = {
	readonly name: string;
	readonly replica: Replica;
	readonly manager: MembershipManager;
	/** Hosts that this one dials. */
	dialed: readonly string[];
	readonly joins: string[];
	handle(event: ReplicaEvent): void;
};

type Cluster = {
	readonly hosts: ReadonlyMap<string, Host>;
	/** Lets time pass; a host that is cut off has no links. */
	run(cutOff: string | undefined): void;
	getLeader(): Host;
};

/** Creates hosts with the product's replicas and membership managers, of which the first is the only seed. */
function createCluster(): Cluster {
	const hosts = new Map<string, Host>();
	let now = performance.now();
	let messages: ReadonlyArray<{readonly from: string; readonly to: string; readonly message: ReplicaMessage}> = [];
	let links: ReadonlySet<string> = new Set();

	function perform(host: Host, actions: readonly Action[]): void {
		for (const action of actions) {
			if (action.kind === 'send') {
				messages = [...messages, {from: host.name, to: getHostName(action.to), message: action.message}];
			}
		}

		if (actions.some(({kind}) => kind === 'persistState' || kind === 'persistEntries' || kind === 'persistSnapshot')) {
			const log = host.replica.getLog();
			host.handle({kind: 'persisted', lastIndex: log.getLastIndex(), lastTerm: log.getLastTerm()});
		}
	}

	function createHost(name: string): Host {
		const replica = createReplica({
			id: getReplica(name), founders, state: {term: 0, votedFor: undefined}, entries: [], snapshot: undefined, electionMilliseconds: 100, heartbeatMilliseconds: 20, random: createRandom(names.indexOf(name as typeof first)), now,
		});
		const client = {
			broadcast() {
				host.joins.push(name);
				for (const other of host.dialed.filter(other => isLinked(name, other))) {
					hosts.get(other)!.manager.addJoiningReplica(getReplica(name));
				}
			},
			setHosts(addresses: readonly ControlAddress[]) {
				host.dialed = addresses.map(address => address.name);
			},
		};
		const settings = {seeds: [{host: '10.0.0.1', port: 7}], links: {host: name.split(':')[0], port: 7}, toleratedLosses: 1} as unknown as ControlSettings;
		const driver = {
			replica,
			proposeMembership(membership: Membership) {
				host.handle({kind: 'propose', payload: {kind: 'membership', membership}});
			},
		};
		const manager = createMembershipManager({
			self: getReplica(name), driver, discovery: createHostDiscovery(settings, false), client, links: new Set(), log: createRecordedLog(),
		} as unknown as MembershipManagerOptions);
		const host: Host = {
			name, replica, manager, dialed: [], joins: [], handle(event) {
				perform(host, replica.handle(event, now));
			},
		};
		return host;
	}

	function isLinked(from: string, to: string): boolean {
		return links.has(`${from} ${to}`);
	}

	function connect(cutOff: string | undefined): void {
		const next = [...hosts.values()].flatMap(({name, dialed}) => dialed.filter(other => ![name, other].includes(cutOff ?? '')).map(other => `${name} ${other}`));
		const added = next.filter(link => !links.has(link));
		links = new Set(next);
		for (const link of added) {
			const [from = '', to = ''] = link.split(' ');
			hosts.get(to)!.manager.sendDirectory({
				send(directory: Directory) {
					hosts.get(from)!.manager.addDiscoveredHosts(directory);
				},
			} as unknown as Parameters<MembershipManager['sendDirectory']>[0]);
		}
	}

	function step(cutOff: string | undefined): void {
		now += stepMilliseconds;
		connect(cutOff);
		const sent = messages.filter(({from, to}) => isLinked(from, to));
		messages = [];
		for (const {from, to, message} of sent) {
			hosts.get(to)!.handle({kind: 'received', from: getReplica(from), message});
		}

		for (const host of hosts.values()) {
			host.handle({kind: 'tick'});
			host.manager.updateLinks();
			host.manager.requestToJoin();
			host.manager.proposeNextChange();
		}
	}

	for (const name of names) {
		hosts.set(name, createHost(name));
	}

	return {
		hosts,
		run(cutOff) {
			for (let count = 0; count < settleSteps; count++) {
				step(cutOff);
			}
		},
		getLeader: () => [...hosts.values()].find(({replica}) => replica.getRole() === 'leader')!,
	};
}

// A spare host has taken the place of a voter that was cut off.
describe('createMembershipManager: a host that was removed from the voters while it was cut off', () => {
	function doTest(prepare: (cluster: Cluster) => void): void {
		const cluster = createCluster();
		cluster.run(undefined);
		cluster.run(removed);
		const {voters} = founders;
		for (const membership of [{voters: [...voters, getReplica(spare)], learners: []}, withoutRemoved]) {
			cluster.getLeader().handle({kind: 'propose', payload: {kind: 'membership', membership}});
			cluster.run(removed);
		}

		prepare(cluster);
		const host = cluster.hosts.get(removed)!;
		expect([cluster.getLeader().replica.getMembership(), host.replica.getMembership().voters.includes(getReplica(removed))]).toEqual([withoutRemoved, true]);
		expect(cluster.getLeader().replica.getLog().getMembershipIndex() > 0).toEqual(true);
		cluster.run(undefined);
		const expected = {...withoutRemoved, learners: [getReplica(removed)]};
		expect([cluster.getLeader().replica.getMembership(), host.replica.getMembership()]).toEqual([expected, expected]);
	}

	test('joins as a learner when it is linked again', () => {
		doTest(() => undefined);
	});
	test('joins as a learner where the others have compacted their logs since', () => {
		doTest(cluster => {
			for (const {replica, handle} of cluster.hosts.values()) {
				handle({kind: 'compact', index: replica.getCommitIndex(), data: 0});
			}
		});
	});
	test('does not request to join while it has a vote', () => {
		const cluster = createCluster();
		cluster.run(undefined);
		cluster.run(removed);
		cluster.run(undefined);
		expect([...cluster.hosts.values()].map(({joins}) => joins.length > 0)).toEqual([false, false, false, true]);
	});
});
