/**
 * Gets an entry's even share of a server's slots. The first entry to get a slot differs by server,
 * so that cold servers with one slot each are spread over the entries.
 * @param server - Id of the server.
 * @param entry - Name of the entry.
 * @param liveEntries - Names of the entries that share the slots, sorted.
 * @param slots - Slots of the server.
 */
export function getEvenShare(server: number, entry: string, liveEntries: readonly string[], slots: number): number {
	const position = liveEntries.indexOf(entry);
	if (position === -1) {
		return 0;
	}

	const offset = (position + liveEntries.length - (server % liveEntries.length)) % liveEntries.length;
	return Math.floor(slots / liveEntries.length) + (offset < slots % liveEntries.length ? 1 : 0);
}
