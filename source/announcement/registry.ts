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
		| {readonly kind: 'warmed'; readonly id: number; readonly at: number}
		| {readonly kind: 'cooled'; readonly id: number; readonly at: number}
		| {readonly kind: 'drained'; readonly key: ServerKey; readonly at: number}
		| {readonly kind: 'removed'; readonly id: number; readonly at: number};

/** Contents of a registry, for snapshots. */
export type RegistryImage = {readonly nextId: number; readonly servers: readonly RegisteredServer[]};

/** The registry of servers. */
export type Registry = {
	/** Applies a committed command and returns the servers that it changed or removed. */
	apply(command: RegistryCommand): readonly RegisteredServer[];
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
		|| (announcement.state === 'leaving' && known.state !== 'leaving')
		|| !isSamePlace(known.announcement, announcement);
}

/** Creates an empty registry. */
export function createRegistry(): Registry {
	let servers = new Map<ServerKey, RegisteredServer>();
	let byId = new Map<number, RegisteredServer>();
	let nextId = 1;

	function put(server: RegisteredServer): readonly RegisteredServer[] {
		const previous = servers.get(server.key);
		if (previous !== undefined && previous.id !== server.id) {
			byId.delete(previous.id);
		}

		servers.set(server.key, server);
		byId.set(server.id, server);
		return previous === undefined || previous.id === server.id ? [server] : [previous, server];
	}

	function announce(announcement: Announcement, at: number): readonly RegisteredServer[] {
		const key = getServerKey(announcement);
		const known = servers.get(key);
		if (known?.announcement.boot !== announcement.boot) {
			const state = announcement.state === 'leaving' ? 'leaving' : 'cold';
			return put({
				id: nextId++, key, announcement, state, since: at,
			});
		}

		const state = announcement.state === 'leaving' ? 'leaving' : known.state;
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
		return [server];
	}

	return {
		apply(command) {
			switch (command.kind) {
				case 'announced': {
					return announce(command.announcement, command.at);
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
					return remove(command.id);
				}
			}
		},
		isTransition(announcement) {
			const known = servers.get(getServerKey(announcement));
			return known === undefined || isTransition(known, announcement);
		},
		get: key => Maybe.of(servers.get(key)),
		getById: id => Maybe.of(byId.get(id)),
		getAll: () => servers.values(),
		getSize: () => servers.size,
		getImage: () => ({nextId, servers: [...servers.values()]}),
		restore(image) {
			nextId = image.nextId;
			servers = new Map(image.servers.map(server => [server.key, server]));
			byId = new Map(image.servers.map(server => [server.id, server]));
		},
	};
}

function isSamePlace(left: Announcement, right: Announcement): boolean {
	return left.host === right.host
		&& left.port === right.port
		&& left.zone === right.zone
		&& left.slots === right.slots
		&& left.connections === right.connections
		&& left.probePath === right.probePath;
}
