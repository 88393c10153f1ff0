/** Prepares the stop of a control host: waits until the others can spare it, and hands leadership over. */
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {isQuorum} from '../consensus/index.js';
import {type Log} from '../telemetry/index.js';
import {getSuccessor, isSafeToStop} from './planned-stop.js';
import {type Driver} from './driver.js';
import {type Availability, type AvailabilityMessage, type ClusterStatus} from './message.js';

const transferCheckIntervalMilliseconds = 10;
const stopCheckIntervalMilliseconds = 100;

/** The stop of a control host. */
export type Shutdown = {
	/** Gets the message that tells what this host is about to do. */
	getAvailability(): AvailabilityMessage;
	/** Takes what another host is about to do. */
	recordAvailability(message: AvailabilityMessage): void;
	/** Waits until the others can spare this host, for at most the patience, and hands leadership over. */
	prepare(): Promise<void>;
};

/** Options of a shutdown. */
export type ShutdownOptions = {
	readonly self: string;
	readonly driver: Driver;
	readonly log: Log;
	readonly electionMilliseconds: number;
	readonly patienceMilliseconds: number;
	/** Sends a message to all other control hosts. */
	broadcast(message: AvailabilityMessage): void;
	/** Reads the status from the leader, if one answers. */
	readStatus(): Promise<ClusterStatus | undefined>;
};

/**
 * Creates the shutdown of a host that serves.
 * @param options - Replica, timing and functions that reach other hosts.
 */
export function createShutdown(options: ShutdownOptions): Shutdown {
	const {self, driver, log, electionMilliseconds, patienceMilliseconds} = options;
	const {replica} = driver;
	const availabilities = new Map<string, Availability>();
	let availability: Availability = 'serving';

	function getAvailability(): AvailabilityMessage {
		return {kind: 'availability', replica: self, availability};
	}

	function setAvailability(next: Availability): void {
		availability = next;
		options.broadcast(getAvailability());
	}

	async function isReadyToStop(): Promise<boolean> {
		const status = await options.readStatus();
		return status !== undefined && isSafeToStop({
			self, replicas: status.replicas, commitIndex: status.commitIndex, availabilities, maximumSilenceMilliseconds: electionMilliseconds,
		});
	}

	async function waitUntilReadyToStop(): Promise<void> {
		const until = performance.now() + patienceMilliseconds;
		// Hosts that ask at the same moment hear of each other meanwhile.
		await delay(Math.min(stopCheckIntervalMilliseconds, patienceMilliseconds));
		while (!await isReadyToStop()) {
			if (performance.now() >= until) {
				log.warn({patienceMilliseconds}, 'stopping although the others are no quorum');
				return;
			}

			await delay(stopCheckIntervalMilliseconds);
		}
	}

	function getNextLeader(): string | undefined {
		const now = performance.now();
		const others = replica.getMembership().voters.filter(voter => voter !== self);
		return getSuccessor(others.map(voter => ({
			replica: voter, matchIndex: replica.getMatchIndex(voter), silentMilliseconds: now - (replica.getLastResponseAt(voter) ?? 0),
		})), electionMilliseconds);
	}

	async function transferLeadership(): Promise<void> {
		const successor = replica.getRole() === 'leader' ? getNextLeader() : undefined;
		if (successor === undefined) {
			return;
		}

		driver.transfer(successor);
		const until = performance.now() + (electionMilliseconds * 2);
		while (replica.getRole() === 'leader' && performance.now() < until) {
			await delay(transferCheckIntervalMilliseconds);
		}
	}

	return {
		getAvailability,
		recordAvailability(message) {
			availabilities.set(message.replica, message.availability);
		},
		async prepare() {
			const voters = replica.getMembership().voters.length;
			// Where the others can never be a quorum, nothing is waited for.
			if (isQuorum(voters - 1, voters)) {
				setAvailability('asking');
				await waitUntilReadyToStop();
			}

			setAvailability('stopping');
			await transferLeadership();
		},
	};
}
