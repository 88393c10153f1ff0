/**
 * Transfers snapshots between control hosts in parts, so that neither the frame size nor
 * the time of one event loop turn grows with the snapshot.
 */
import {setImmediate, setTimeout} from 'node:timers/promises';
import {type ReplicaMessage} from '../consensus/index.js';
import {type SnapshotCodec} from '../storage/index.js';

const maximumBacklogBytes = 8 * 1024 * 1024;
const backlogCheckIntervalMilliseconds = 5;

type Install = Extract<ReplicaMessage, {readonly kind: 'install'}>;

/** Message with one part of a snapshot. */
export type SnapshotPart = {
	readonly kind: 'snapshotPart';
	readonly from: string;
	readonly to: string;
	/** Number of the transfer; increases with each new transfer from the same replica. */
	readonly transfer: number;
	readonly number: number;
	readonly part: unknown;
	/** Install message without the snapshot's contents; only in the last part. */
	readonly install: Install | undefined;
};

/** Sends snapshots in parts. */
export type SnapshotSender = {
	send(to: string, install: Install): Promise<void>;
};

/** Options of `createSnapshotSender`. */
export type SnapshotSenderOptions = {
	readonly self: string;
	readonly codec: SnapshotCodec;
	send(to: string, part: SnapshotPart): void;
	/** Gets the number of bytes queued on the link to a replica. */
	getBacklogBytes(to: string): number;
};

/**
 * Creates a sender. A new transfer to a replica cancels an unfinished one to the same replica.
 * @param options - Codec and functions that access the links.
 */
export function createSnapshotSender(options: SnapshotSenderOptions): SnapshotSender {
	const currentTransfers = new Map<string, number>();
	let nextTransfer = 1;

	return {
		async send(to, install) {
			const transfer = nextTransfer++;
			currentTransfers.set(to, transfer);
			const {data, ...metadata} = install.snapshot;
			let number = 0;
			for (const part of options.codec.split(data)) {
				while (options.getBacklogBytes(to) > maximumBacklogBytes) {
					await setTimeout(backlogCheckIntervalMilliseconds);
				}

				if (currentTransfers.get(to) !== transfer) {
					return;
				}

				options.send(to, {
					kind: 'snapshotPart', from: options.self, to, transfer, number: number++, part, install: undefined,
				});
				await setImmediate();
			}

			options.send(to, {
				kind: 'snapshotPart', from: options.self, to, transfer, number, part: undefined, install: {...install, snapshot: {...metadata, data: undefined}},
			});
		},
	};
}

/** Reassembles snapshots from their parts. */
export type SnapshotReceiver = {
	/** Receives a part, and returns the complete install message after the last one. */
	receive(part: SnapshotPart): Install | undefined;
};

type IncomingTransfer = {readonly transfer: number; readonly parts: unknown[]};

/**
 * Creates a receiver. A transfer whose parts arrive incompletely or out of order is discarded.
 * @param codec - Codec with which the sender split the snapshot.
 */
export function createSnapshotReceiver(codec: SnapshotCodec): SnapshotReceiver {
	const incomingTransfers = new Map<string, IncomingTransfer>();

	return {
		receive(message) {
			const previous = incomingTransfers.get(message.from);
			const current = previous?.transfer === message.transfer ? previous : {transfer: message.transfer, parts: []};
			if (current.parts.length !== message.number) {
				incomingTransfers.delete(message.from);
				return undefined;
			}

			if (message.install === undefined) {
				current.parts.push(message.part);
				incomingTransfers.set(message.from, current);
				return undefined;
			}

			incomingTransfers.delete(message.from);
			const {snapshot} = message.install;
			return {...message.install, snapshot: {...snapshot, data: codec.join(current.parts)}};
		},
	};
}
