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
	askToJoin(): void;
	/** Takes a replica's wish to take part. */
	join(replica: string): void;
	/** Takes the hosts that another one knows, while this one has no vote. */
	learn(directory: Directory): void;
	/** Links to every host that takes part or asks to. */
	link(): void;
	/** Tells a process that has just linked of the members. */
	greet(link: Link<ControlInbound>): void;
	/** Tells everybody who is linked, if the members have changed. */
	announce(): void;
	/** Changes the membership by one step, if this host leads and a step is due. */
	change(): void;
};

/** Options of `createMembers`. */
export type MembershipManagerOptions = {
	readonly self: string;
	readonly driver: Driver;
	readonly neighbourhood: HostDiscovery;
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
		self, driver, neighbourhood, client, log,
	} = options;
	const {replica} = driver;
	const joining: string[] = [];
	const learned = new Set<string>();
	let announced = '';

	function hasVote(): boolean {
		return replica.getMembership().voters.includes(self);
	}

	function link(): void {
		const learnedReplicas = [...learned].map(host => `${host}:learned`);
		client.setHosts(neighbourhood.getOthers(replica.getMembership(), [...joining, ...learnedReplicas]));
	}

	/** Forgets the wish of members that a change drops; one that is still there asks again. */
	function forgetDropped(before: Membership, after: Membership): void {
		const kept = new Set([...after.voters, ...after.learners]);
		for (const member of [...before.voters, ...before.learners]) {
			if (!kept.has(member) && joining.includes(member)) {
				joining.splice(joining.indexOf(member), 1);
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
		askToJoin() {
			if (!hasVote()) {
				client.broadcast({kind: 'join', replica: self});
			}
		},
		join(joiner) {
			if (neighbourhood.isKnown(getHostName(joiner)) && !joining.includes(joiner)) {
				joining.push(joiner);
				log.info({replica: joiner}, 'replica asks to join');
				link();
			}
		},
		learn(directory) {
			if (hasVote()) {
				return;
			}

			for (const host of directory.hosts) {
				learned.add(host);
			}

			link();
		},
		link,
		greet(opened) {
			if (neighbourhood.voters !== undefined) {
				opened.send(getDirectory());
			}
		},
		announce() {
			const directory = getDirectory();
			const key = directory.hosts.join(' ');
			if (neighbourhood.voters === undefined || key === announced) {
				return;
			}

			announced = key;
			link();
			for (const linked of options.links) {
				linked.send(directory);
			}
		},
		change() {
			if (replica.getRole() !== 'leader' || !replica.isMembershipSettled()) {
				return;
			}

			const next = getNextMembership({
				self,
				membership: replica.getMembership(),
				lastIndex: replica.getLog().getLastIndex(),
				joining,
				getMatchIndex: replica.getMatchIndex,
				getHost: getHostName,
				maximumVoters: neighbourhood.voters,
				getSilenceMilliseconds: member => performance.now() - (replica.getLastResponseAt(member) ?? performance.now()),
			});
			if (next !== undefined) {
				log.info({membership: next}, 'membership changes');
				forgetDropped(replica.getMembership(), next);
				driver.proposeMembership(next);
			}
		},
	};
}
