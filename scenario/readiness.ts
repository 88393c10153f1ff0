/** Watches which entries of a scenario serve, as the platform's balancer would. */
import {type Cluster, type Member} from '../stand-in/cluster.js';
import {type EntryAddress} from './caller.js';
import {type VersionSample} from './history.js';

const pollMilliseconds = 100;
const answerMilliseconds = 500;

/** An entry that serves, and the number of servers that it knows. */
export type ReadyEntry = EntryAddress & {readonly servers: number};

/** The entries that serve. */
export type Readiness = {
	start(cluster: Cluster): void;
	stop(): void;
	getAll(): readonly ReadyEntry[];
	has(entry: string): boolean;
	/** Forgets an entry that has ended until it is seen again. */
	forget(entry: string): void;
};

/**
 * Creates a watch that sees no entries yet.
 * @param record - Takes each version that an entry had in force.
 */
export function createReadiness(record: (reading: VersionSample) => void): Readiness {
	const ready = new Map<string, ReadyEntry>();
	const asked = new Set<string>();
	let timer: NodeJS.Timeout | undefined;

	async function read(member: Member): Promise<void> {
		try {
			const response = await fetch(`http://127.0.0.1:${member.adminPort}/ready`, {signal: AbortSignal.timeout(answerMilliseconds)});
			const {version, servers} = await response.json() as {readonly version: number; readonly servers: number};
			if (response.status !== 200) {
				ready.delete(member.name);
				return;
			}

			ready.set(member.name, {name: member.name, port: member.port, servers});
			record({
				entry: member.name, at: Date.now(), version, incarnation: member.incarnation,
			});
		} catch {
			ready.delete(member.name);
		}
	}

	/** Asks one entry, unless its last answer is still to come: answers that overtake each other would look like a version that reverts. */
	async function poll(member: Member): Promise<void> {
		if (asked.has(member.name)) {
			return;
		}

		asked.add(member.name);
		await read(member);
		asked.delete(member.name);
	}

	return {
		start(cluster) {
			timer = setInterval(() => {
				for (const member of cluster.entries) {
					void poll(member);
				}
			}, pollMilliseconds);
		},
		stop() {
			clearInterval(timer);
		},
		getAll: () => [...ready.values()],
		has: entry => ready.has(entry),
		forget(entry) {
			ready.delete(entry);
		},
	};
}
