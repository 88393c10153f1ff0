/**
 * Simulates placement among workspaces and over uneven zones, in virtual time: entries and servers in several zones, callers that do
 * not wait for one another and return at other entries after a refusal, and servers that may never answer when they are full.
 */
import {documentSchema, type EnvironmentDocument, type Workspace} from '../../source/configuration/index.js';
import {createRandom, type Random} from '../../source/randomness/index.js';
import {createEntryModel, type EntryModel} from './entry.js';
import {createUpstreamModel, type UpstreamModel, type Withdrawal} from './upstream.js';
import {startVirtualTime} from './virtual-time.js';

const housekeepingMilliseconds = 50;
const okStatus = 200;
const refusalStatus = 503;
const millisecondsPerSecond = 1000;
const transferMilliseconds = {ownZone: 0.2, otherZone: 0.9};

/** Time that a message between a caller and an entry takes. */
const callerTransferMilliseconds = 8;

const deadlineMilliseconds = 1500;
const maximumSends = 3;

/** Largest deviation of a service time from the mean, as a share of it. */
const serviceJitterShare = 0.3;

/** Length of the windows of which the worst is reported, in milliseconds. */
const windowMilliseconds = 2000;

/** Zone with its entries and servers. */
export type ModelZone = {readonly name: string; readonly entries: number; readonly servers: number; /** Share of the requests that callers send to its entries. */ readonly share: number};

/** Kind of request. */
export type RequestKind = {readonly name: string; readonly share: number; readonly serviceMilliseconds: number; readonly targetMilliseconds: number; readonly priority: number};

/** Workspace and its share of the requests at a time. */
export type ModelWorkspace = Workspace & {getWeight(now: number): number};

/** Options of `simulatePlacement`. */
export type PlacementOptions = {
	readonly seed: number;
	readonly zones: readonly ModelZone[];
	readonly kinds: readonly RequestKind[];
	/** Gets the rate of new requests, without retries. */
	getRequestsPerSecond(now: number): number;
	readonly arrivalMilliseconds: number;
	readonly slots: number;
	readonly queueLength: number;
	readonly hangsWhenFull: boolean;
	/** Gets the withdrawals of a server; by default there are none. */
	getWithdrawals?(index: number): readonly Withdrawal[];
	/** Checks whether messages between two zones arrive; by default they do. */
	isReachable?(zone: string, otherZone: string): boolean;
	readonly workspaces?: readonly ModelWorkspace[];
	/** Gets the workspaces that use more than their share. */
	getAboveShare?(now: number): ReadonlySet<string>;
};

/** Counts of requests. */
export type RequestCounts = {requests: number; inTime: number; served: number; refused: number; failed: number};

/** Result of a simulation. */
export type PlacementResult = {
	readonly total: RequestCounts;
	readonly byKind: Readonly<Record<string, RequestCounts>>;
	readonly byWorkspace: Readonly<Record<string, RequestCounts>>;
	/** Smallest share answered in time of the requests sent within two seconds. */
	readonly worstWindow: number;
	readonly queries: {ownZone: number; otherZone: number};
	readonly attempts: {ownZone: number; otherZone: number};
	/** Attempts that found all slots of the server in use, and those that it never answers. */
	readonly overfilled: number;
	readonly unanswered: number;
	/** Mean time to a refusal, in milliseconds. */
	readonly refusalMilliseconds: number;
};

function createDocument({kinds, zones, workspaces}: PlacementOptions): EnvironmentDocument {
	return documentSchema.parse({
		zones: zones.map(({name}) => ({name})),
		services: [{
			name: 'stock', askedCandidates: 3, askMilliseconds: 12, policy: 'least-in-flight', queueLength: 200, hedgeRatio: 0.05,
		}],
		routes: kinds.map(({name, targetMilliseconds, priority}) => ({
			name, path: `/${name}`, parts: [{service: 'stock', weight: 1}], isIdempotent: true, timeoutMilliseconds: deadlineMilliseconds, targetMilliseconds, priority, attempts: 3,
		})),
		...(workspaces === undefined ? {} : {workspaces: workspaces.map(({name, keyDigests, priority}) => ({name, keyDigests, priority}))}),
	});
}

function createCounts(): RequestCounts {
	return {
		requests: 0, inTime: 0, served: 0, refused: 0, failed: 0,
	};
}

/** Draws an item with a probability in proportion to its weight. */
function draw<Item>(items: readonly Item[], getWeight: (item: Item) => number, random: () => number): Item {
	let left = random() * items.reduce((sum, item) => sum + getWeight(item), 0);
	return items.find(item => {
		left -= getWeight(item);
		return left < 0;
	}) ?? items.at(-1)!;
}

/**
 * Simulates a load.
 * @param options - Zones, kinds of requests, load and servers.
 */
export async function simulatePlacement(options: PlacementOptions): Promise<PlacementResult> {
	const {zones, kinds, workspaces = []} = options;
	// Arrivals have their own random numbers, so that they are the same whatever the entries decide.
	const arrivalRandom = createRandom(options.seed);
	const random = createRandom(options.seed + 1);
	const document = createDocument(options);
	const time = startVirtualTime();
	const upstreams: readonly UpstreamModel[] = zones.flatMap(({name, servers}) => Array.from({length: servers}, () => name)).map((zone, index) => createUpstreamModel({
		name: `stock-${index + 1}`,
		zone,
		withdrawals: options.getWithdrawals?.(index) ?? [],
		random: createRandom(options.seed + 2 + index),
		slots: options.slots,
		queueLength: options.queueLength,
		hangsWhenFull: options.hangsWhenFull,
	}));
	const byKind: Record<string, RequestCounts> = {};
	const byWorkspace: Record<string, RequestCounts> = {};
	const result = {
		total: createCounts(), byKind, byWorkspace, queries: {ownZone: 0, otherZone: 0}, attempts: {ownZone: 0, otherZone: 0}, overfilled: 0, unanswered: 0,
	};
	const windows: RequestCounts[] = [];
	let refusalMilliseconds = 0;
	let ids = 0;

	function getCounts(record: Record<string, RequestCounts>, name: string): RequestCounts {
		record[name] ??= createCounts();
		return record[name];
	}

	const entryZones = zones.flatMap(({name, entries}) => Array.from({length: entries}, () => name));
	const entries: readonly EntryModel[] = entryZones.map((zone, number) => createEntryModel({
		number,
		entryCount: entryZones.length,
		zone,
		document,
		upstreams,
		random,
		connectMilliseconds: 0,
		transferMilliseconds,
		knowsStatements: true,
		isReachable: upstream => options.isReachable?.(zone, upstream.zone) ?? true,
		isAboveShare: workspace => options.getAboveShare?.(time.getNow()).has(workspace) ?? false,
		onStatement() {
			// What servers state is not recorded.
		},
		onQuery(_, upstream) {
			result.queries[upstream.zone === zone ? 'ownZone' : 'otherZone']++;
		},
		onAttempt(_, upstream) {
			result.attempts[upstream.zone === zone ? 'ownZone' : 'otherZone']++;
		},
		onReception({running, waiting, slots}, kind) {
			result.overfilled += running + waiting >= slots ? 1 : 0;
			result.unanswered += kind === 'unanswered' ? 1 : 0;
		},
	}));

	function chooseEntry(entryRandom: Random): EntryModel {
		const {name} = draw(zones, zone => zone.share, entryRandom);
		const inZone = entries.filter((_, index) => entryZones[index] === name);
		return inZone[Math.floor(entryRandom() * inZone.length)]!;
	}

	function startRequest(now: number): void {
		const kind = draw(kinds, ({share}) => share, arrivalRandom);
		const workspace = workspaces.length === 0 ? undefined : draw(workspaces, ({getWeight}) => getWeight(now), arrivalRandom);
		const serviceMilliseconds = kind.serviceMilliseconds * (1 + (serviceJitterShare * ((arrivalRandom() * 2) - 1)));
		windows[Math.floor(now / windowMilliseconds)] ??= createCounts();
		const counted = [result.total, getCounts(byKind, kind.name), windows[Math.floor(now / windowMilliseconds)]!];
		if (workspace !== undefined) {
			counted.push(getCounts(byWorkspace, workspace.name));
		}

		function count(change: Partial<RequestCounts>): void {
			for (const counts of counted) {
				for (const [key, value] of Object.entries(change)) {
					counts[key as keyof RequestCounts] += value;
				}
			}
		}

		function send(sends: number): void {
			const sentAt = time.getNow();
			const remaining = Math.round(now + deadlineMilliseconds - sentAt);
			chooseEntry(sends === 1 ? arrivalRandom : random).handle({
				id: `r-${ids++}`, path: `/${kind.name}`, deadlineMilliseconds: remaining, serviceMilliseconds, workspace, onResponse({status, retryAfterMilliseconds = 0}) {
					const latency = time.getNow() - now + (2 * callerTransferMilliseconds);
					const returnsAt = time.getNow() + retryAfterMilliseconds + (2 * callerTransferMilliseconds);
					if (status === okStatus) {
						count({served: 1, inTime: latency <= kind.targetMilliseconds ? 1 : 0});
					} else if (status === refusalStatus) {
						refusalMilliseconds += time.getNow() - sentAt;
						if (sends < maximumSends && returnsAt < now + deadlineMilliseconds) {
							setTimeout(send, returnsAt - time.getNow(), sends + 1);
						} else {
							count({refused: 1});
						}
					} else {
						count({failed: 1});
					}
				},
			});
		}

		count({requests: 1});
		send(1);
	}

	let nextArrivalAt = 0;
	try {
		for (let now = 0; now < options.arrivalMilliseconds + (2 * deadlineMilliseconds); now = time.getNow()) {
			for (const upstream of upstreams) {
				upstream.advance(now);
			}

			while (nextArrivalAt <= now && nextArrivalAt < options.arrivalMilliseconds) {
				startRequest(now);
				nextArrivalAt -= Math.log(1 - arrivalRandom()) * millisecondsPerSecond / options.getRequestsPerSecond(now);
			}

			if (now % housekeepingMilliseconds === 0) {
				for (const entry of entries) {
					entry.keepHouse();
				}
			}

			await time.advance();
		}
	} finally {
		time.stop();
	}

	return {
		...result,
		worstWindow: Math.min(...windows.slice(0, options.arrivalMilliseconds / windowMilliseconds).map(({inTime, requests}) => inTime / requests)),
		refusalMilliseconds: refusalMilliseconds / Math.max(1, ids - result.total.served - result.total.failed),
	};
}
