/**
 * The members of the replicated log as one control host deals with them: it asks to join
 * while it has no vote, links to whoever takes part, tells everybody who is linked of
 * changes, and while it leads, changes the membership one step at a time.
 */
import {performance} from 'node:perf_hooks';
import {getNextMembership, type Membership} from '../consensus/index.js';
import {type ControlClient} from '../control-client/index.js';
import {getHostName} from '../storage/index.js';
import {type Log} from '../telemetry/index.js';
import {type Link} from '../wire/index.js';
import {type Driver} from './driver.js';
import {type ControlInbound, type Directory} from './message.js';
import {type HostDiscovery} from './host-discovery.js';

/** Membership as one control host deals with it. */
export type MembershipManager = {
	/** Asks every host that is linked for a part in the log, while this one has no vote. */
	requestToJoin(): void;
	/** Takes a replica's wish to take part. */
	addJoiningReplica(replica: string): void;
	/** Takes the hosts that another one knows, while this one has no vote. */
	addDiscoveredHosts(directory: Directory): void;
	/** Links to every host that takes part or asks to. */
	updateLinks(): void;
	/** Tells a process that has just linked of the members. */
	sendDirectory(link: Link<ControlInbound>): void;
	/** Tells everybody who is linked, if the members have changed. */
	announceChanges(): void;
	/** Changes the membership by one step, if this host leads and a step is due. */
	proposeNextChange(): void;
};

/** Options of `createMembers`. */
export type MembershipManagerOptions = {
	readonly self: string;
	readonly driver: Driver;
	readonly discovery: HostDiscovery;
	readonly client: ControlClient;
	/** Links of processes that dialed this host. */
	readonly links: ReadonlySet<Link<ControlInbound>>;
	readonly log: Log;
};

/**
 * Creates the dealing of one control host with the members.
 * @param options - Replica, neighbourhood and links.
 */
export function createMembershipManager(options: MembershipManagerOptions): MembershipManager {
	const {
		self, driver, discovery, client, log,
	} = options;
	const {replica} = driver;
	const joiningReplicas: string[] = [];
	const discoveredHosts = new Set<string>();
	let announcedHosts = '';

	function hasVote(): boolean {
		return replica.getMembership().voters.includes(self);
	}

	function updateLinks(): void {
		const discoveredReplicas = [...discoveredHosts].map(host => `${host}:learned`);
		client.setHosts(discovery.getOtherHosts(replica.getMembership(), [...joiningReplicas, ...discoveredReplicas]));
	}

	/** Forgets the wish of members that a change drops; one that is still there asks again. */
	function removeDroppedMembers(before: Membership, after: Membership): void {
		const kept = new Set([...after.voters, ...after.learners]);
		for (const member of [...before.voters, ...before.learners]) {
			if (!kept.has(member) && joiningReplicas.includes(member)) {
				joiningReplicas.splice(joiningReplicas.indexOf(member), 1);
			}
		}
	}

	function getDirectory(): Directory {
		const {voters, learners} = replica.getMembership();
		const leader = replica.getLeader();
		return {
			kind: 'directory', hosts: [...voters, ...learners].map(member => getHostName(member)), index: replica.getLog().getMembershipIndex(), leader: leader === undefined ? undefined : getHostName(leader),
		};
	}

	return {
		requestToJoin() {
			if (!hasVote()) {
				client.broadcast({kind: 'join', replica: self});
			}
		},
		addJoiningReplica(joiner) {
			if (discovery.isAllowedMember(getHostName(joiner)) && !joiningReplicas.includes(joiner)) {
				joiningReplicas.push(joiner);
				log.info({replica: joiner}, 'replica asks to join');
				updateLinks();
			}
		},
		addDiscoveredHosts(directory) {
			if (hasVote()) {
				return;
			}

			for (const host of directory.hosts) {
				discoveredHosts.add(host);
			}

			updateLinks();
		},
		updateLinks,
		sendDirectory(opened) {
			if (discovery.maximumVoters !== undefined) {
				opened.send(getDirectory());
			}
		},
		announceChanges() {
			const directory = getDirectory();
			const key = directory.hosts.join(' ');
			if (discovery.maximumVoters === undefined || key === announcedHosts) {
				return;
			}

			announcedHosts = key;
			updateLinks();
			for (const linked of options.links) {
				linked.send(directory);
			}
		},
		proposeNextChange() {
			if (replica.getRole() !== 'leader' || !replica.isMembershipSettled()) {
				return;
			}

			const next = getNextMembership({
				self,
				membership: replica.getMembership(),
				lastIndex: replica.getLog().getLastIndex(),
				joining: joiningReplicas,
				getMatchIndex: replica.getMatchIndex,
				getHost: getHostName,
				maximumVoters: discovery.maximumVoters,
				getSilenceMilliseconds: member => performance.now() - (replica.getLastResponseAt(member) ?? performance.now()),
			});
			if (next !== undefined) {
				log.info({membership: next}, 'membership changes');
				removeDroppedMembers(replica.getMembership(), next);
				driver.proposeMembership(next);
			}
		},
	};
}
