/**
 * Registry of servers: a deterministic state machine that the replicated log drives. Only transitions
 * (joined, replaced, leaving, warmed, cooled, removed) are replicated; other announcements are not.
 */
import {Maybe} from 'true-myth';
import {type Announcement} from './announcement.js';
import {createDepartures, type DeparturesSnapshot} from './departures.js';
import {type RegisteredServer, type ServerState} from './registered-server.js';
import {createServerIndex} from './server-index.js';
import {getServerKey, type ServerKey} from './server-key.js';

/** A command of the registry. */
export type RegistryCommand
	= | {readonly kind: 'announced'; readonly announcement: Announcement; readonly at: number}
	/** The server leaves permanently: it receives no new requests, and later announcements of this boot are ignored. */
		| {readonly kind: 'left'; readonly name: string; readonly bornAt: number | undefined; readonly at: number}
	/** Marks all warm servers of a zone as cold, because they may have cooled down while the zone was out of service. */
		| {readonly kind: 'zoneCooled'; readonly zone: string; readonly at: number}
		| {readonly kind: 'warmed'; readonly id: number; readonly at: number}
		| {readonly kind: 'cooled'; readonly id: number; readonly at: number}
	/** Drains a server if it still has the given boot; the log of earlier releases contains commands without a boot. */
		| {readonly kind: 'drained'; readonly key: ServerKey; readonly boot?: string; readonly at: number}
		| {readonly kind: 'removed'; readonly id: number; readonly at: number};

/** Serializable snapshot of a registry. */
export type RegistrySnapshot = {
	readonly nextId: number;
	readonly servers: readonly RegisteredServer[];
	readonly departed?: DeparturesSnapshot;
};

/** Registry of servers. */
export type Registry = {
	/**
	 * Applies a committed command and returns the servers that it changed or removed.
	 * @param command - Committed command.
	 * @param index - Index of the command in the replicated log.
	 */
	apply(command: RegistryCommand, index?: number): readonly RegisteredServer[];
	/** Checks whether an announcement is older than the registered one, or comes from a boot that has left or was replaced. */
	isStale(announcement: Announcement): boolean;
	/** Gets the server with a name, regardless of its service. */
	getByName(name: string): Maybe<RegisteredServer>;
	/** Checks whether an announcement must be replicated because it changes the registry. */
	isTransition(announcement: Announcement): boolean;
	get(key: ServerKey): Maybe<RegisteredServer>;
	getById(id: number): Maybe<RegisteredServer>;
	getAll(): Iterable<RegisteredServer>;
	getSize(): number;
	takeSnapshot(): RegistrySnapshot;
	restore(snapshot: RegistrySnapshot): void;
};

/**
 * Checks whether an announcement changes the replicated state of a server.
 * @param registered - Registered server.
 * @param announcement - New announcement of the server.
 */
export function isTransition(registered: Pick<RegisteredServer, 'announcement' | 'state'>, announcement: Announcement): boolean {
	return registered.announcement.boot !== announcement.boot
		|| (registered.state === 'warm' && (announcement.coldMilliseconds ?? 0) > 0)
		|| (announcement.state === 'leaving' && registered.state !== 'leaving')
		|| !hasSameRegistration(registered.announcement, announcement);
}

/** Creates an empty registry. */
export function createRegistry(): Registry {
	const servers = createServerIndex();
	const departures = createDepartures();
	let nextId = 1;
	let currentIndex: number | undefined;

	function getByName(name: string): RegisteredServer | undefined {
		const key = servers.getKeyByName(name);
		return key === undefined ? undefined : servers.get(key);
	}

	/** Checks whether the address belongs to another server that started later. */
	function isReplaced(announcement: Announcement): boolean {
		const current = servers.getByAddress(announcement);
		return current !== undefined && current.key !== getServerKey(announcement) && (current.announcement.bornAt ?? 0) > (announcement.bornAt ?? 0);
	}

	function isStale(announcement: Announcement): boolean {
		const {bornAt} = announcement;
		if (bornAt === undefined) {
			return false;
		}

		const key = getServerKey(announcement);
		const registered = servers.get(key)?.announcement;
		const isOlder = registered?.bornAt !== undefined && (bornAt < registered.bornAt || (bornAt === registered.bornAt && (announcement.sequence ?? 0) < (registered.sequence ?? 0)));
		return isOlder || bornAt <= departures.getLatestBoot(announcement) || isReplaced(announcement);
	}

	/** Removes the server whose address is now used by a later boot of another server. */
	function removeReplaced(announcement: Announcement): readonly RegisteredServer[] {
		const current = announcement.bornAt === undefined ? undefined : servers.getByAddress(announcement);
		if (current === undefined || current.key === getServerKey(announcement)) {
			return [];
		}

		departures.record(current.key, current.announcement.bornAt ?? 0);
		return remove(current.id);
	}

	/** Removes a server that has left, and records its departure so that late announcements of the boot are ignored. */
	function removeDeparted(name: string, bornAt: number | undefined): readonly RegisteredServer[] {
		const server = getByName(name);
		if (server === undefined) {
			// The first announcement of the server may still be in transit.
			if (bornAt !== undefined) {
				departures.record(name, bornAt);
			}

			return [];
		}

		if (bornAt !== undefined && bornAt < (server.announcement.bornAt ?? 0)) {
			return [];
		}

		departures.record(server.key, bornAt ?? server.announcement.bornAt ?? 0);
		return remove(server.id);
	}

	function markZoneCold(zone: string, at: number): readonly RegisteredServer[] {
		const warm = [...servers.getAll()].filter(server => server.announcement.zone === zone && server.state === 'warm');
		return warm.flatMap(server => setServer({...server, state: 'cold', since: at}));
	}

	function setServer(changed: RegisteredServer): readonly RegisteredServer[] {
		const {changedAt: _, ...rest} = changed;
		const server: RegisteredServer = currentIndex === undefined ? rest : {...rest, changedAt: currentIndex};
		const previous = servers.set(server);
		return previous === undefined || previous.id === server.id ? [server] : [previous, server];
	}

	function announce(announcement: Announcement, at: number): readonly RegisteredServer[] {
		return isStale(announcement) ? [] : [...removeReplaced(announcement), ...upsert(announcement, at)];
	}

	function upsert(announcement: Announcement, at: number): readonly RegisteredServer[] {
		const key = getServerKey(announcement);
		const registered = servers.get(key);
		if (registered?.announcement.boot !== announcement.boot) {
			// A server that reports its remaining cold time may start warm.
			const initialState = announcement.coldMilliseconds === 0 ? 'warm' : 'cold';
			const state = announcement.state === 'leaving' ? 'leaving' : initialState;
			return setServer({
				id: nextId++, key, announcement, state, since: at,
			});
		}

		const isColdAgain = registered.state === 'warm' && (announcement.coldMilliseconds ?? 0) > 0;
		const state = announcement.state === 'leaving' ? 'leaving' : (isColdAgain ? 'cold' : registered.state);
		return setServer({
			...registered, announcement, state, since: state === registered.state ? registered.since : at,
		});
	}

	function transition(id: number, from: ServerState, to: ServerState, at: number): readonly RegisteredServer[] {
		const server = servers.getById(id);
		return server?.state === from ? setServer({...server, state: to, since: at}) : [];
	}

	function drain(key: ServerKey, boot: string | undefined, at: number): readonly RegisteredServer[] {
		const server = servers.get(key);
		const isOther = boot !== undefined && server?.announcement.boot !== boot;
		return server === undefined || isOther || server.state === 'leaving' ? [] : setServer({...server, state: 'leaving', since: at});
	}

	function remove(id: number): readonly RegisteredServer[] {
		const server = servers.getById(id);
		if (server === undefined) {
			return [];
		}

		servers.remove(server);
		return [server];
	}

	return {
		apply(command, index) {
			currentIndex = index;
			switch (command.kind) {
				case 'announced': {
					return announce(command.announcement, command.at);
				}

				case 'left': {
					return removeDeparted(command.name, command.bornAt);
				}

				case 'zoneCooled': {
					return markZoneCold(command.zone, command.at);
				}

				case 'warmed': {
					return transition(command.id, 'cold', 'warm', command.at);
				}

				case 'cooled': {
					return transition(command.id, 'warm', 'cold', command.at);
				}

				case 'drained': {
					return drain(command.key, command.boot, command.at);
				}

				case 'removed': {
					const server = servers.getById(command.id);
					if (server?.state === 'leaving' && server.announcement.bornAt !== undefined) {
						departures.record(server.key, server.announcement.bornAt);
					}

					return remove(command.id);
				}
			}
		},
		isStale,
		getByName: name => Maybe.of(getByName(name)),
		isTransition(announcement) {
			if (isStale(announcement)) {
				return false;
			}

			const registered = servers.get(getServerKey(announcement));
			return registered === undefined || isTransition(registered, announcement);
		},
		get: key => Maybe.of(servers.get(key)),
		getById: id => Maybe.of(servers.getById(id)),
		getAll: servers.getAll,
		getSize: servers.getSize,
		takeSnapshot() {
			const departed = departures.takeSnapshot();
			return {nextId, servers: [...servers.getAll()], ...(departed.length > 0 ? {departed} : {})};
		},
		restore(snapshot) {
			nextId = snapshot.nextId;
			servers.restore(snapshot.servers);
			departures.restore(snapshot.departed ?? []);
		},
	};
}

function hasSameRegistration(left: Announcement, right: Announcement): boolean {
	return left.host === right.host
		&& left.port === right.port
		&& left.zone === right.zone
		&& left.slots === right.slots
		&& left.connections === right.connections
		&& left.probePath === right.probePath;
}
