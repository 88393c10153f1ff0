/**
 * The registry of servers: the part that binds (joined, replaced, leaving, warmed,
 * cooled, removed) is a deterministic state machine inside the replicated log.
 */
import {Maybe} from 'true-myth';
import {type Announcement} from './announcement.js';

/** Name of a server, unique over all services: `service/name`. */
export type ServerKey = string;

/** State of a server as the control hosts decided it. */
export type ServerState = 'cold' | 'warm' | 'leaving';

/** A server that the registry knows. */
export type RegisteredServer = {
	/** Number that stands for this boot of the server in messages; never used again. */
	readonly id: number;
	readonly key: ServerKey;
	readonly announcement: Announcement;
	readonly state: ServerState;
	/** Wall-clock time of the last transition in milliseconds. */
	readonly since: number;
};

/** A command of the registry. */
export type RegistryCommand
	= | {readonly kind: 'announced'; readonly announcement: Announcement; readonly at: number}
	/** The server leaves for good: it gets no new work, and later words of this boot say nothing. */
		| {readonly kind: 'left'; readonly name: string; readonly bornAt: number | undefined; readonly at: number}
	/** All servers of a zone may be cold. */
		| {readonly kind: 'zoneCooled'; readonly zone: string; readonly at: number}
		| {readonly kind: 'warmed'; readonly id: number; readonly at: number}
		| {readonly kind: 'cooled'; readonly id: number; readonly at: number}
		| {readonly kind: 'drained'; readonly key: ServerKey; readonly at: number}
		| {readonly kind: 'removed'; readonly id: number; readonly at: number};

/** Contents of a registry, for snapshots. */
export type RegistryImage = {
	readonly nextId: number;
	readonly servers: readonly RegisteredServer[];
	/** Time of the newest boot that has left, by server, or by name where its service was not known. */
	readonly departed?: ReadonlyArray<readonly [string, number]>;
};

/** Departed boots that are remembered, newest kept. */
const rememberedDepartures = 2000;

/** The registry of servers. */
export type Registry = {
	/** Applies a committed command and returns the servers that it changed or removed. */
	apply(command: RegistryCommand): readonly RegisteredServer[];
	/** Checks whether an announcement comes from a boot that has left or was replaced, or is older than what is known. */
	isStale(announcement: Announcement): boolean;
	/** Gets the key of the server with a name, in whatever service. */
	getKeyByName(name: string): Maybe<ServerKey>;
	/** Checks whether an announcement changes anything that binds. */
	isTransition(announcement: Announcement): boolean;
	get(key: ServerKey): Maybe<RegisteredServer>;
	getById(id: number): Maybe<RegisteredServer>;
	getAll(): Iterable<RegisteredServer>;
	getSize(): number;
	getImage(): RegistryImage;
	restore(image: RegistryImage): void;
};

/**
 * Gets the key of a server.
 * @param announcement - Announcement of the server.
 */
export function getServerKey(announcement: Announcement): ServerKey {
	return `${announcement.service}/${announcement.name}`;
}

/**
 * Checks whether an announcement changes anything that binds.
 * @param known - What is known of the server.
 * @param announcement - What the server says now.
 */
export function isTransition(known: Pick<RegisteredServer, 'announcement' | 'state'>, announcement: Announcement): boolean {
	return known.announcement.boot !== announcement.boot
		|| (known.state === 'warm' && (announcement.coldMilliseconds ?? 0) > 0)
		|| (announcement.state === 'leaving' && known.state !== 'leaving')
		|| !isSamePlace(known.announcement, announcement);
}

/** Creates an empty registry. */
export function createRegistry(): Registry {
	let servers = new Map<ServerKey, RegisteredServer>();
	let byId = new Map<number, RegisteredServer>();
	const byAddress = new Map<string, ServerKey>();
	const byName = new Map<string, ServerKey>();
	let departed = new Map<string, number>();
	let nextId = 1;

	function getAt(announcement: Announcement): RegisteredServer | undefined {
		return servers.get(byAddress.get(getAddress(announcement)) ?? '');
	}

	/** Lets a server be found by its address and its name; the newest one wins. */
	function index(server: RegisteredServer): void {
		byAddress.set(getAddress(server.announcement), server.key);
		byName.set(server.announcement.name, server.key);
	}

	function unindex({key, announcement}: RegisteredServer): void {
		const address = getAddress(announcement);
		if (byAddress.get(address) === key) {
			byAddress.delete(address);
		}

		if (byName.get(announcement.name) === key) {
			byName.delete(announcement.name);
		}
	}

	/** Checks whether another server that started later has the address. */
	function isReplaced(announcement: Announcement): boolean {
		const other = getAt(announcement);
		return other !== undefined && other.key !== getServerKey(announcement) && (other.announcement.bornAt ?? 0) > (announcement.bornAt ?? 0);
	}

	function isStale(announcement: Announcement): boolean {
		const {bornAt} = announcement;
		if (bornAt === undefined) {
			return false;
		}

		const key = getServerKey(announcement);
		const known = servers.get(key)?.announcement;
		const isOlder = known?.bornAt !== undefined && (bornAt < known.bornAt || (bornAt === known.bornAt && (announcement.sequence ?? 0) < (known.sequence ?? 0)));
		return isOlder || bornAt <= getDepartedAt(announcement) || isReplaced(announcement);
	}

	/** Gets when the newest boot was born that has left under a name, whether its service was known then or not. */
	function getDepartedAt(announcement: Announcement): number {
		return Math.max(departed.get(getServerKey(announcement)) ?? Number.NEGATIVE_INFINITY, departed.get(announcement.name) ?? Number.NEGATIVE_INFINITY);
	}

	function depart(key: string, bornAt: number): void {
		const newest = Math.max(bornAt, departed.get(key) ?? bornAt);
		departed.delete(key);
		departed.set(key, newest);
		if (departed.size > rememberedDepartures) {
			const [oldest] = departed.keys();
			departed.delete(oldest!);
		}
	}

	/** Removes the server that had an address before, because a later one is there now. */
	function evict(announcement: Announcement): readonly RegisteredServer[] {
		const other = announcement.bornAt === undefined ? undefined : getAt(announcement);
		if (other === undefined || other.key === getServerKey(announcement)) {
			return [];
		}

		depart(other.key, other.announcement.bornAt ?? 0);
		return remove(other.id);
	}

	function leave(name: string, bornAt: number | undefined): readonly RegisteredServer[] {
		const server = servers.get(byName.get(name) ?? '');
		if (server === undefined) {
			// Its first words may still be on their way.
			if (bornAt !== undefined) {
				depart(name, bornAt);
			}

			return [];
		}

		if (bornAt !== undefined && bornAt < (server.announcement.bornAt ?? 0)) {
			return [];
		}

		depart(server.key, bornAt ?? server.announcement.bornAt ?? 0);
		return remove(server.id);
	}

	function coolZone(zone: string, at: number): readonly RegisteredServer[] {
		const warm = [...servers.values()].filter(server => server.announcement.zone === zone && server.state === 'warm');
		return warm.flatMap(server => put({...server, state: 'cold', since: at}));
	}

	function put(server: RegisteredServer): readonly RegisteredServer[] {
		const previous = servers.get(server.key);
		if (previous !== undefined && previous.id !== server.id) {
			byId.delete(previous.id);
		}

		if (previous !== undefined) {
			unindex(previous);
		}

		index(server);
		servers.set(server.key, server);
		byId.set(server.id, server);
		return previous === undefined || previous.id === server.id ? [server] : [previous, server];
	}

	function announce(announcement: Announcement, at: number): readonly RegisteredServer[] {
		return isStale(announcement) ? [] : [...evict(announcement), ...enter(announcement, at)];
	}

	function enter(announcement: Announcement, at: number): readonly RegisteredServer[] {
		const key = getServerKey(announcement);
		const known = servers.get(key);
		if (known?.announcement.boot !== announcement.boot) {
			// A server that tells how long it stays cold may say that it is not.
			const initial = announcement.coldMilliseconds === 0 ? 'warm' : 'cold';
			const state = announcement.state === 'leaving' ? 'leaving' : initial;
			return put({
				id: nextId++, key, announcement, state, since: at,
			});
		}

		const hasCooled = known.state === 'warm' && (announcement.coldMilliseconds ?? 0) > 0;
		const state = announcement.state === 'leaving' ? 'leaving' : (hasCooled ? 'cold' : known.state);
		return put({
			...known, announcement, state, since: state === known.state ? known.since : at,
		});
	}

	function move(id: number, from: ServerState, to: ServerState, at: number): readonly RegisteredServer[] {
		const server = byId.get(id);
		return server?.state === from ? put({...server, state: to, since: at}) : [];
	}

	function drain(key: ServerKey, at: number): readonly RegisteredServer[] {
		const server = servers.get(key);
		return server === undefined || server.state === 'leaving' ? [] : put({...server, state: 'leaving', since: at});
	}

	function remove(id: number): readonly RegisteredServer[] {
		const server = byId.get(id);
		if (server === undefined) {
			return [];
		}

		byId.delete(id);
		servers.delete(server.key);
		unindex(server);
		return [server];
	}

	return {
		apply(command) {
			switch (command.kind) {
				case 'announced': {
					return announce(command.announcement, command.at);
				}

				case 'left': {
					return leave(command.name, command.bornAt);
				}

				case 'zoneCooled': {
					return coolZone(command.zone, command.at);
				}

				case 'warmed': {
					return move(command.id, 'cold', 'warm', command.at);
				}

				case 'cooled': {
					return move(command.id, 'warm', 'cold', command.at);
				}

				case 'drained': {
					return drain(command.key, command.at);
				}

				case 'removed': {
					const server = byId.get(command.id);
					if (server?.state === 'leaving' && server.announcement.bornAt !== undefined) {
						depart(server.key, server.announcement.bornAt);
					}

					return remove(command.id);
				}
			}
		},
		isStale,
		getKeyByName: name => Maybe.of(byName.get(name)),
		isTransition(announcement) {
			if (isStale(announcement)) {
				return false;
			}

			const known = servers.get(getServerKey(announcement));
			return known === undefined || isTransition(known, announcement);
		},
		get: key => Maybe.of(servers.get(key)),
		getById: id => Maybe.of(byId.get(id)),
		getAll: () => servers.values(),
		getSize: () => servers.size,
		getImage: () => ({nextId, servers: [...servers.values()], ...(departed.size > 0 ? {departed: [...departed]} : {})}),
		restore(image) {
			nextId = image.nextId;
			servers = new Map(image.servers.map(server => [server.key, server]));
			departed = new Map(image.departed);
			byAddress.clear();
			byName.clear();
			for (const server of servers.values()) {
				index(server);
			}

			byId = new Map(image.servers.map(server => [server.id, server]));
		},
	};
}

function getAddress({host, port}: Announcement): string {
	return `${host} ${port}`;
}

function isSamePlace(left: Announcement, right: Announcement): boolean {
	return left.host === right.host
		&& left.port === right.port
		&& left.zone === right.zone
		&& left.slots === right.slots
		&& left.connections === right.connections
		&& left.probePath === right.probePath;
}
