/**
 * Counts bytes by their kind, by the zone of the other end and by direction. Sockets count their bytes themselves, so those of
 * connections are read only when a connection closes and when the totals are read.
 */
import {type Socket} from 'node:net';
import {Counter, type Registry} from 'prom-client';

/**
 * Kinds of bytes: of requests to servers and their responses, load queries, leases (renewals, grants and nudges), claims in the ledger,
 * replication of the log, and other ones, such as pings and probes.
 */
const kinds = ['request', 'response', 'load_query', 'lease', 'claim', 'replication', 'other'] as const;
const directions = ['sent', 'received'] as const;
const zones = ['own', 'other', 'unknown'] as const;

/** Kind of bytes. */
export type TrafficKind = typeof kinds[number];

/** Direction of bytes, as seen from this process. */
export type TrafficDirection = typeof directions[number];

/** Kinds of what is sent and received on a connection. */
export type ConnectionKinds = Readonly<Record<TrafficDirection, TrafficKind>>;

/** Sum of bytes, with the labels of its metric. */
export type TrafficTotal = {
	readonly kind: TrafficKind;
	/** Zone of the other end compared to that of this process; unknown for peers that do not state theirs. */
	readonly zone: typeof zones[number];
	readonly direction: TrafficDirection;
	readonly bytes: number;
};

/** Counts of bytes. */
export type TrafficMeter = {
	/** Counts bytes that were exchanged with a process in a zone; undefined if its zone is not known. */
	add(kind: TrafficKind, direction: TrafficDirection, zone: string | undefined, bytes: number): void;
	/** Counts bytes of a tracked connection as another kind than that of the connection. */
	move(kinds: {readonly from: TrafficKind; readonly to: TrafficKind}, direction: TrafficDirection, zone: string, bytes: number): void;
	/** Counts all bytes of a new connection to a process in a zone. */
	track(socket: Socket, kinds: ConnectionKinds, zone: string): void;
	/** Gets the sums that are not 0. */
	getTotals(): readonly TrafficTotal[];
};

type Tracked = {readonly socket: Socket; readonly kinds: ConnectionKinds; readonly zone: string};

/**
 * Creates a meter.
 * @param ownZone - Zone of this process.
 */
export function createTrafficMeter(ownZone: string): TrafficMeter {
	// One sum for each kind, direction and zone, since frames are counted one by one.
	const totals = new Float64Array(kinds.length * directions.length * zones.length);
	const connections = new Set<Tracked>();

	function getIndex(kind: TrafficKind, direction: TrafficDirection, zone: string | undefined): number {
		const zoneIndex = zones.indexOf(zone === undefined ? 'unknown' : (zone === ownZone ? 'own' : 'other'));
		return (((kinds.indexOf(kind) * directions.length) + directions.indexOf(direction)) * zones.length) + zoneIndex;
	}

	function addConnection(sums: Float64Array, {socket, kinds: {sent, received}, zone}: Tracked): void {
		sums[getIndex(sent, 'sent', zone)]! += socket.bytesWritten;
		sums[getIndex(received, 'received', zone)]! += socket.bytesRead;
	}

	return {
		add(kind, direction, zone, bytes) {
			totals[getIndex(kind, direction, zone)]! += bytes;
		},
		move({from, to}, direction, zone, bytes) {
			totals[getIndex(from, direction, zone)]! -= bytes;
			totals[getIndex(to, direction, zone)]! += bytes;
		},
		track(socket, connectionKinds, zone) {
			const tracked = {socket, kinds: connectionKinds, zone};
			connections.add(tracked);
			socket.once('close', () => {
				connections.delete(tracked);
				addConnection(totals, tracked);
			});
		},
		getTotals() {
			const sums = Float64Array.from(totals);
			for (const tracked of connections) {
				addConnection(sums, tracked);
			}

			const labels = kinds.flatMap(kind => directions.flatMap(direction => zones.map(zone => ({kind, direction, zone}))));
			return labels.map((label, index) => ({...label, bytes: sums[index]!})).filter(({bytes}) => bytes > 0);
		},
	};
}

/**
 * Adds the counts of a meter to a registry.
 * @param registry - Registry of the process.
 * @param meter - Meter of the process.
 */
export function addTrafficMetrics(registry: Registry, meter: TrafficMeter): void {
	// eslint-disable-next-line no-new
	new Counter({
		name: 'guavadeck_traffic_bytes_total',
		help: 'Bytes exchanged with other processes, by kind and by their zone',
		labelNames: ['kind', 'zone', 'direction'],
		registers: [registry],
		collect() {
			this.reset();
			for (const {kind, zone, direction, bytes} of meter.getTotals()) {
				this.inc({kind, zone, direction}, bytes);
			}
		},
	});
}
