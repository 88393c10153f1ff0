/**
 * Carries snapshots between control hosts in parts, so that neither a frame nor a
 * turn of the loop grows with the snapshot.
 */
import {setImmediate, setTimeout} from 'node:timers/promises';
import {type ReplicaMessage} from '../consensus/index.js';
import {type SnapshotCodec} from '../storage/index.js';

const maximumBacklogBytes = 8 * 1024 * 1024;
const backlogCheckIntervalMilliseconds = 5;

type Install = Extract<ReplicaMessage, {readonly kind: 'install'}>;

/** One part of a snapshot on its way. */
export type SnapshotPart = {
	readonly kind: 'snapshotPart';
	readonly from: string;
	readonly to: string;
	/** Number of the transfer, which rises with each new one from the same replica. */
	readonly transfer: number;
	readonly number: number;
	readonly part: unknown;
	/** On the last part, the message without the snapshot's contents. */
	readonly install: Install | undefined;
};

/** Sends snapshots in parts. */
export type SnapshotSender = {
	send(to: string, install: Install): Promise<void>;
};

/** Options of a sender. */
export type SnapshotSenderOptions = {
	readonly self: string;
	readonly codec: SnapshotCodec;
	send(to: string, part: SnapshotPart): void;
	/** Gets the bytes that wait on the link to a replica. */
	getBacklogBytes(to: string): number;
};

/**
 * Creates a sender; a newer transfer to the same replica ends an older one.
 * @param options - Links and codec.
 */
export function createSnapshotSender(options: SnapshotSenderOptions): SnapshotSender {
	const currentTransfers = new Map<string, number>();
	let nextTransfer = 1;

	return {
		async send(to, install) {
			const transfer = nextTransfer++;
			currentTransfers.set(to, transfer);
			const {data, ...head} = install.snapshot;
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
				kind: 'snapshotPart', from: options.self, to, transfer, number, part: undefined, install: {...install, snapshot: {...head, data: undefined}},
			});
		},
	};
}

/** Puts snapshots together again. */
export type SnapshotReceiver = {
	/** Takes a part and returns the whole message after the last one. */
	receive(part: SnapshotPart): Install | undefined;
};

type IncomingTransfer = {readonly transfer: number; readonly parts: unknown[]};

/**
 * Creates a receiver; a transfer with a missing part is given up.
 * @param codec - Codec of the sender.
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
