/**
 * Manages the membership of the replicated log on one control host. The host requests to
 * join while it has no vote, or the others have removed it while it was cut off. It keeps
 * links to all members, announces membership changes to linked processes and, while it
 * leads, changes the membership one step at a time.
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

/** Membership management of one control host. */
export type MembershipManager = {
	/** Sends a join request to all linked hosts if this host is not a voter. */
	requestToJoin(): void;
	/** Records that a replica requests to join. */
	addJoiningReplica(replica: string): void;
	/** Records a received directory, and links to its hosts if this host is not a voter. */
	addDiscoveredHosts(directory: Directory): void;
	/** Updates the links to all members and hosts that request to join. */
	updateLinks(): void;
	/** Sends the directory to a newly linked process. */
	sendDirectory(link: Link<ControlInbound>): void;
	/** Sends the directory to all linked processes if the members have changed. */
	announceChanges(): void;
	/** Proposes the next membership change if this host leads and one is due. */
	proposeNextChange(): void;
};

/** Options of `createMembershipManager`. */
export type MembershipManagerOptions = {
	readonly self: string;
	readonly driver: Driver;
	readonly discovery: HostDiscovery;
	readonly client: ControlClient;
	/** Links that this host accepted. */
	readonly links: ReadonlySet<Link<ControlInbound>>;
	readonly log: Log;
};

/**
 * Creates the membership management of one control host.
 * @param options - Replica, host discovery and links.
 */
export function createMembershipManager(options: MembershipManagerOptions): MembershipManager {
	const {
		self, driver, discovery, client, log,
	} = options;
	const {replica} = driver;
	const joiningReplicas: string[] = [];
	const discoveredHosts = new Set<string>();
	let announcedHosts = '';
	/** Index of the newest membership without this host that another host told. */
	let removalIndex = 0;

	/** Checks whether this host was removed and does not know it by its log. The leader sends nothing to a host that is not a member. */
	function isRemoved(): boolean {
		return replica.getLeader() === undefined && removalIndex > replica.getLog().getMembershipIndex();
	}

	function isVoter(): boolean {
		return replica.getMembership().voters.includes(self) && !isRemoved();
	}

	function updateLinks(): void {
		const discoveredReplicas = [...discoveredHosts].map(host => `${host}:learned`);
		client.setHosts(discovery.getOtherHosts(replica.getMembership(), [...joiningReplicas, ...discoveredReplicas]));
	}

	/** Discards the join requests of members that a change removes; a replica that still runs sends a new one. */
	function removeStaleJoinRequests(before: Membership, after: Membership): void {
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
			if (!isVoter()) {
				client.broadcast({kind: 'join', replica: self});
			}
		},
		addJoiningReplica(joiner) {
			if (discovery.isAllowedMember(getHostName(joiner)) && !joiningReplicas.includes(joiner)) {
				joiningReplicas.push(joiner);
				log.info({replica: joiner}, 'replica requests to join');
				updateLinks();
			}
		},
		addDiscoveredHosts(directory) {
			if (!directory.hosts.includes(getHostName(self))) {
				removalIndex = Math.max(removalIndex, directory.index);
			}

			if (isVoter()) {
				return;
			}

			for (const host of directory.hosts) {
				discoveredHosts.add(host);
			}

			updateLinks();
		},
		updateLinks,
		sendDirectory(link) {
			if (discovery.maximumVoters !== undefined) {
				link.send(getDirectory());
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
			for (const link of options.links) {
				link.send(directory);
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
				removeStaleJoinRequests(replica.getMembership(), next);
				driver.proposeMembership(next);
			}
		},
	};
}
