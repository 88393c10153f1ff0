/** The registered servers by key, id, address and name. */
import {type Announcement} from './announcement.js';
import {type RegisteredServer} from './registered-server.js';
import {type ServerKey} from './server-key.js';

/** Registered servers. */
export type ServerIndex = {
	get(key: ServerKey): RegisteredServer | undefined;
	getById(id: number): RegisteredServer | undefined;
	/** Gets the server that was last registered at the address of an announcement. */
	getByAddress(announcement: Announcement): RegisteredServer | undefined;
	/** Gets the key of the server that was last registered with a name. */
	getKeyByName(name: string): ServerKey | undefined;
	getAll(): Iterable<RegisteredServer>;
	getSize(): number;
	/** Adds or replaces a server, and returns the earlier one with its key. */
	set(server: RegisteredServer): RegisteredServer | undefined;
	remove(server: RegisteredServer): void;
	/** Replaces all servers. */
	restore(servers: readonly RegisteredServer[]): void;
};

/** Creates an index without servers. */
export function createServerIndex(): ServerIndex {
	let byKey = new Map<ServerKey, RegisteredServer>();
	let byId = new Map<number, RegisteredServer>();
	const byAddress = new Map<string, ServerKey>();
	const byName = new Map<string, ServerKey>();

	/** Adds the address and name of a server, replacing an earlier server with the same address or name. */
	function addNames(server: RegisteredServer): void {
		byAddress.set(getAddress(server.announcement), server.key);
		byName.set(server.announcement.name, server.key);
	}

	function removeNames({key, announcement}: RegisteredServer): void {
		const address = getAddress(announcement);
		if (byAddress.get(address) === key) {
			byAddress.delete(address);
		}

		if (byName.get(announcement.name) === key) {
			byName.delete(announcement.name);
		}
	}

	return {
		get: key => byKey.get(key),
		getById: id => byId.get(id),
		getByAddress: announcement => byKey.get(byAddress.get(getAddress(announcement)) ?? ''),
		getKeyByName: name => byName.get(name),
		getAll: () => byKey.values(),
		getSize: () => byKey.size,
		set(server) {
			const previous = byKey.get(server.key);
			if (previous !== undefined && previous.id !== server.id) {
				byId.delete(previous.id);
			}

			if (previous !== undefined) {
				removeNames(previous);
			}

			addNames(server);
			byKey.set(server.key, server);
			byId.set(server.id, server);
			return previous;
		},
		remove(server) {
			byId.delete(server.id);
			byKey.delete(server.key);
			removeNames(server);
		},
		restore(servers) {
			byKey = new Map(servers.map(server => [server.key, server]));
			byAddress.clear();
			byName.clear();
			for (const server of byKey.values()) {
				addNames(server);
			}

			byId = new Map(servers.map(server => [server.id, server]));
		},
	};
}

function getAddress({host, port}: Announcement): string {
	return `${host} ${port}`;
}
