/** Polls the entries of a scenario for their readiness, as the load balancer of the platform does. */
import {type Cluster, type Member} from '../stand-in/cluster.js';
import {type EntryAddress} from './caller.js';
import {type VersionSample} from './history.js';

const pollIntervalMilliseconds = 100;
const responseTimeoutMilliseconds = 500;

/** A ready entry, with the number of servers that it lists. */
export type ReadyEntry = EntryAddress & {readonly servers: number};

/** Monitors which entries are ready. */
export type ReadinessMonitor = {
	start(cluster: Cluster): void;
	stop(): void;
	getReadyEntries(): readonly ReadyEntry[];
	isReady(entry: string): boolean;
	/** Removes an entry whose process has exited. It is added again when a poll finds it ready. */
	remove(entry: string): void;
};

/**
 * Creates a monitor without entries.
 * @param record - Records the version that a ready entry reports to be in force.
 */
export function createReadinessMonitor(record: (sample: VersionSample) => void): ReadinessMonitor {
	const readyEntries = new Map<string, ReadyEntry>();
	const pendingPolls = new Set<string>();
	let timer: NodeJS.Timeout | undefined;

	async function updateEntry(member: Member): Promise<void> {
		try {
			const response = await fetch(`http://127.0.0.1:${member.adminPort}/ready`, {signal: AbortSignal.timeout(responseTimeoutMilliseconds)});
			const {version, servers} = await response.json() as {readonly version: number; readonly servers: number};
			if (response.status !== 200) {
				readyEntries.delete(member.name);
				return;
			}

			readyEntries.set(member.name, {name: member.name, port: member.port, servers});
			record({
				entry: member.name, at: Date.now(), version, incarnation: member.incarnation,
			});
		} catch {
			readyEntries.delete(member.name);
		}
	}

	/** Polls an entry, unless its previous poll is still pending: responses that arrive out of order would look like a reverted version. */
	async function poll(member: Member): Promise<void> {
		if (pendingPolls.has(member.name)) {
			return;
		}

		pendingPolls.add(member.name);
		await updateEntry(member);
		pendingPolls.delete(member.name);
	}

	return {
		start(cluster) {
			timer = setInterval(() => {
				for (const member of cluster.entries) {
					void poll(member);
				}
			}, pollIntervalMilliseconds);
		},
		stop() {
			clearInterval(timer);
		},
		getReadyEntries: () => [...readyEntries.values()],
		isReady: entry => readyEntries.has(entry),
		remove(entry) {
			readyEntries.delete(entry);
		},
	};
}
