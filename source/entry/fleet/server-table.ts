/** The servers that an entry knows, by id, key and service, with their connections. */
import {type Socket} from 'node:net';
import {getServerKey, type ServerKey} from '../../announcement/index.js';
import {createCandidate, type Candidate} from '../../choice/index.js';
import {type ServerView} from '../../lease/index.js';
import {type ConnectionHistory, createPool, type Pool} from '../servers/index.js';
import {createRecentSet} from './recent-set.js';

/** Number of boots that are remembered as leaving; a list of servers may name them again. */
const maximumLeavingBoots = 10_000;

/** Interval at which a removed server is checked for requests in flight. */
const idleCheckMilliseconds = 100;

/** A server with its connection pool. */
export type FleetServer = {readonly candidate: Candidate; readonly pool: Pool};

/** Servers by id, key and service. */
export type ServerTable = {
	get(id: number): FleetServer | undefined;
	/** Gets a server by its name in its service. */
	getByKey(key: ServerKey): Candidate | undefined;
	getOfService(service: string): Iterable<Candidate>;
	getAll(): Iterable<FleetServer>;
	getSize(): number;
	addOrUpdate(view: ServerView): void;
	remove(id: number): void;
	/** Removes the servers that are not listed, and returns their services. */
	removeUnlisted(ids: readonly number[]): readonly string[];
	/** Sets the number of entries that share each server's connections. */
	setConnectionShare(entryCount: number): void;
	/** Marks a server as leaving for the rest of its boot. Returns whether this is new. */
	markLeaving(candidate: Candidate): boolean;
	close(): void;
};

/** Callbacks for the connections to servers. */
export type ConnectionEvents = {
	/** Called when a server sends data on an idle connection, with its history. */
	onUnsolicitedData?(candidate: Candidate, history: ConnectionHistory): void;
	/** Called with each new connection for requests. */
	onConnect?(candidate: Candidate, socket: Socket): void;
};

/**
 * Creates a table without servers.
 * @param events - Callbacks for the connections to servers.
 */
export function createServerTable(events: ConnectionEvents = {}): ServerTable {
	const servers = new Map<number, FleetServer>();
	const byKey = new Map<ServerKey, Candidate>();
	const byService = new Map<string, Set<Candidate>>();
	const leavingBoots = createRecentSet(maximumLeavingBoots);
	let entryCount = 1;

	function addToService(candidate: Candidate): void {
		const {service} = candidate.getAnnouncement();
		const candidates = byService.get(service) ?? new Set();
		candidates.add(candidate);
		byService.set(service, candidates);
	}

	function removeFromService(candidate: Candidate): void {
		const {service} = candidate.getAnnouncement();
		const candidates = byService.get(service);
		candidates?.delete(candidate);
		if (candidates?.size === 0) {
			byService.delete(service);
		}
	}

	function remove(id: number): void {
		const server = servers.get(id);
		if (server !== undefined) {
			servers.delete(id);
			removeKey(server.candidate);
			removeFromService(server.candidate);
			closeWhenIdle(server);
		}
	}

	/** Removes the key of a server's boot, unless a newer boot of the server uses the key. */
	function removeKey(candidate: Candidate): void {
		const key = getServerKey(candidate.getAnnouncement());
		if (byKey.get(key) === candidate) {
			byKey.delete(key);
		}
	}

	function add({
		id, announcement, state, isAbsent,
	}: ServerView): void {
		const candidate = createCandidate(id, announcement, state);
		candidate.update(announcement, state, isAbsent);
		candidate.setConnectionShare(getConnectionShare(announcement.connections));
		if (leavingBoots.has(getBootKey(candidate))) {
			candidate.markLeaving();
		}

		byKey.set(getServerKey(announcement), candidate);
		addToService(candidate);
		const pool = createPool(announcement.host, announcement.port, announcement.connections, {
			onUnsolicitedData(history) {
				events.onUnsolicitedData?.(candidate, history);
			},
			onConnect(socket) {
				events.onConnect?.(candidate, socket);
			},
		});
		servers.set(id, {candidate, pool});
	}

	function getConnectionShare(connections: number): number {
		return Math.max(1, Math.floor(connections / entryCount));
	}

	return {
		get: id => servers.get(id),
		getByKey: key => byKey.get(key),
		getOfService: service => byService.get(service) ?? [],
		getAll: () => servers.values(),
		getSize: () => servers.size,
		addOrUpdate(view) {
			const existing = servers.get(view.id);
			if (existing === undefined) {
				add(view);
			} else {
				existing.candidate.update(view.announcement, view.state, view.isAbsent);
			}
		},
		remove,
		removeUnlisted(ids) {
			const present = new Set(ids);
			const removed = [...servers.values()].filter(({candidate}) => !present.has(candidate.id));
			for (const {candidate} of removed) {
				remove(candidate.id);
			}

			return removed.map(({candidate}) => candidate.getAnnouncement().service);
		},
		setConnectionShare(next) {
			if (next === entryCount) {
				return;
			}

			entryCount = next;
			for (const {candidate} of servers.values()) {
				candidate.setConnectionShare(getConnectionShare(candidate.getAnnouncement().connections));
			}
		},
		markLeaving(candidate) {
			leavingBoots.add(getBootKey(candidate));
			return candidate.markLeaving();
		},
		close() {
			for (const {pool} of servers.values()) {
				pool.close();
			}
		},
	};
}

function getBootKey(candidate: Candidate): string {
	const {name, boot} = candidate.getAnnouncement();
	return `${name} ${boot}`;
}

/** Closes the connections of a removed server once no request is in flight on them. */
function closeWhenIdle(server: FleetServer): void {
	if (server.candidate.getInFlight() === 0) {
		server.pool.close();
		return;
	}

	setTimeout(closeWhenIdle, idleCheckMilliseconds, server).unref();
}
