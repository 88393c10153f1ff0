/**
 * Counts bytes by their kind, by the zone of the other end and by direction. Sockets count their bytes themselves, so those of
 * connections are read only when a connection closes and when the totals are read.
 */
import {type Socket} from 'node:net';
import {Counter, type Registry} from 'prom-client';

/**
 * Kind of bytes: of requests to servers and their responses, load queries, leases (renewals, grants and nudges), claims in the ledger,
 * replication of the log, or other ones, such as pings and probes.
 */
export type TrafficKind = 'request' | 'response' | 'load_query' | 'lease' | 'claim' | 'replication' | 'other';

/** Direction of bytes, as seen from this process. */
export type TrafficDirection = 'sent' | 'received';

/** Kinds of what is sent and received on a connection. */
export type ConnectionKinds = Readonly<Record<TrafficDirection, TrafficKind>>;

/** Sum of bytes, with the labels of its metric. */
export type TrafficTotal = {
	readonly kind: TrafficKind;
	/** Zone of the other end compared to that of this process; unknown for peers that do not state theirs. */
	readonly zone: 'own' | 'other' | 'unknown';
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
	getTotals(): readonly TrafficTotal[];
};

type Tracked = {readonly socket: Socket; readonly kinds: ConnectionKinds; readonly zone: string};

/**
 * Creates a meter.
 * @param ownZone - Zone of this process.
 */
export function createTrafficMeter(ownZone: string): TrafficMeter {
	const totals = new Map<string, TrafficTotal>();
	const connections = new Set<Tracked>();

	function addTo(sums: Map<string, TrafficTotal>, {kind, direction, zone, bytes}: TrafficTotal): void {
		const key = `${kind} ${direction} ${zone}`;
		const sum = sums.get(key)?.bytes ?? 0;
		sums.set(key, {
			kind, direction, zone, bytes: sum + bytes,
		});
	}

	function add(sums: Map<string, TrafficTotal>, total: Omit<TrafficTotal, 'zone'>, zone: string | undefined): void {
		const isOwn = zone === ownZone;
		addTo(sums, {...total, zone: zone === undefined ? 'unknown' : (isOwn ? 'own' : 'other')});
	}

	function addConnection(sums: Map<string, TrafficTotal>, {socket, kinds, zone}: Tracked): void {
		add(sums, {kind: kinds.sent, direction: 'sent', bytes: socket.bytesWritten}, zone);
		add(sums, {kind: kinds.received, direction: 'received', bytes: socket.bytesRead}, zone);
	}

	return {
		add(kind, direction, zone, bytes) {
			add(totals, {kind, direction, bytes}, zone);
		},
		move({from, to}, direction, zone, bytes) {
			add(totals, {kind: from, direction, bytes: -bytes}, zone);
			add(totals, {kind: to, direction, bytes}, zone);
		},
		track(socket, kinds, zone) {
			const tracked = {socket, kinds, zone};
			connections.add(tracked);
			socket.once('close', () => {
				connections.delete(tracked);
				addConnection(totals, tracked);
			});
		},
		getTotals() {
			const sums = new Map(totals);
			for (const tracked of connections) {
				addConnection(sums, tracked);
			}

			return [...sums.values()];
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
