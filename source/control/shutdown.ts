/** Prepares a planned stop of a control host: waits until the other voters form a quorum, then transfers leadership. */
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {isQuorum} from '../consensus/index.js';
import {type Log} from '../telemetry/index.js';
import {getSuccessor, isSafeToStop} from './planned-stop.js';
import {type Driver} from './driver.js';
import {getSilenceMilliseconds} from './replica-statuses.js';
import {type Availability, type AvailabilityMessage, type ClusterStatus} from './message.js';

const transferCheckIntervalMilliseconds = 10;
const stopCheckIntervalMilliseconds = 100;

/** Time after which a host that has not answered the announcement counts all the same; hosts of earlier releases do not answer. */
const answerTimeoutMilliseconds = 2000;

/** Planned stop of a control host. */
export type Shutdown = {
	/** Gets the message that announces the availability of this host. */
	getAvailability(): AvailabilityMessage;
	/** Records the availability that another host announced. */
	recordAvailability(message: AvailabilityMessage): void;
	/** Waits until this host can stop safely, for at most `patienceMilliseconds`, and transfers leadership. */
	prepare(): Promise<void>;
};

/** Options of `createShutdown`. */
export type ShutdownOptions = {
	readonly self: string;
	readonly driver: Driver;
	readonly log: Log;
	readonly electionMilliseconds: number;
	readonly patienceMilliseconds: number;
	/** Sends a message to all other control hosts. */
	broadcast(message: AvailabilityMessage): void;
	/** Sends a message to the host of another replica. */
	sendTo(replica: string, message: AvailabilityMessage): void;
	/** Reads the status from the leader, or returns undefined if no leader responds. */
	readStatus(): Promise<ClusterStatus | undefined>;
};

/**
 * Creates the shutdown of a running host.
 * @param options - Replica, timing and functions to communicate with other hosts.
 */
export function createShutdown(options: ShutdownOptions): Shutdown {
	const {self, driver, log, electionMilliseconds, patienceMilliseconds} = options;
	const {replica} = driver;
	const availabilities = new Map<string, Availability>();
	const answeringReplicas = new Set<string>();
	let availability: Availability = 'serving';
	let askedAt = Number.POSITIVE_INFINITY;

	function getAvailability(): AvailabilityMessage {
		return {kind: 'availability', replica: self, availability};
	}

	function setAvailability(next: Availability): void {
		availability = next;
		options.broadcast(getAvailability());
	}

	function hasAnswered(other: string): boolean {
		return answeringReplicas.has(other) || performance.now() - askedAt >= answerTimeoutMilliseconds;
	}

	async function isReadyToStop(): Promise<boolean> {
		const status = await options.readStatus();
		return status !== undefined && isSafeToStop({
			self, replicas: status.replicas, commitIndex: status.commitIndex, availabilities, hasAnswered, maximumSilenceMilliseconds: electionMilliseconds,
		});
	}

	async function waitUntilReadyToStop(): Promise<void> {
		const until = performance.now() + patienceMilliseconds;
		// Allows the others to answer.
		await delay(Math.min(stopCheckIntervalMilliseconds, patienceMilliseconds));
		while (!await isReadyToStop()) {
			if (performance.now() >= until) {
				log.warn({patienceMilliseconds}, 'stopping although the other voters form no quorum');
				return;
			}

			await delay(stopCheckIntervalMilliseconds);
		}
	}

	function getNextLeader(): string | undefined {
		const now = performance.now();
		const others = replica.getMembership().voters.filter(voter => voter !== self);
		return getSuccessor(others.map(voter => ({
			replica: voter, matchIndex: replica.getMatchIndex(voter), silentMilliseconds: getSilenceMilliseconds(replica, voter, now),
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
			if (message.isAnswer === true) {
				answeringReplicas.add(message.replica);
			} else if (message.availability === 'asking') {
				options.sendTo(message.replica, {...getAvailability(), isAnswer: true});
			}
		},
		async prepare() {
			const voters = replica.getMembership().voters.length;
			// Waiting is pointless if there are too few other voters to ever form a quorum.
			if (isQuorum(voters - 1, voters)) {
				askedAt = performance.now();
				setAvailability('asking');
				await waitUntilReadyToStop();
			}

			setAvailability('stopping');
			await transferLeadership();
		},
	};
}
