/** Boots of servers that have left or were replaced. Late announcements of them are ignored. */
import {type Announcement} from './announcement.js';
import {getServerKey} from './server-key.js';

/** Maximum number of stored departures; the oldest are evicted first. */
const maximumDepartures = 2000;

/** Start time of the latest departed boot, by server key, or by server name if its service was unknown. */
export type DeparturesSnapshot = ReadonlyArray<readonly [string, number]>;

/** Departed boots. */
export type Departures = {
	/**
	 * Records a departure.
	 * @param key - Key of the server, or its name if its service is not known.
	 * @param bornAt - Start time of the boot.
	 */
	record(key: string, bornAt: number): void;
	/** Gets the start time of the latest departed boot of a server, whether or not its service was known at the departure. */
	getLatestBoot(announcement: Announcement): number;
	takeSnapshot(): DeparturesSnapshot;
	restore(snapshot: DeparturesSnapshot): void;
};

/** Creates departures without a boot. */
export function createDepartures(): Departures {
	let boots = new Map<string, number>();

	return {
		record(key, bornAt) {
			const latestBornAt = Math.max(bornAt, boots.get(key) ?? bornAt);
			boots.delete(key);
			boots.set(key, latestBornAt);
			if (boots.size > maximumDepartures) {
				const [oldest] = boots.keys();
				boots.delete(oldest!);
			}
		},
		getLatestBoot: announcement => Math.max(boots.get(getServerKey(announcement)) ?? Number.NEGATIVE_INFINITY, boots.get(announcement.name) ?? Number.NEGATIVE_INFINITY),
		takeSnapshot: () => [...boots],
		restore(snapshot) {
			boots = new Map(snapshot);
		},
	};
}
