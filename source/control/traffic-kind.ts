/** Kinds of bytes on links, by the messages that they carry. */
import {type TrafficKind, type TrafficMeter} from '../telemetry/index.js';
import {type Transfer} from '../wire/index.js';

type MessageKinds = {
	readonly kind?: unknown;
	readonly request?: {readonly kind?: unknown} | null;
	readonly answer?: {readonly kind?: unknown} | null;
};

/**
 * Gets the kind of bytes that carry a message. The message need not be well-formed.
 * @param message - Message of a link; undefined for those of the handshake and for pings.
 */
export function getTrafficKind(message: unknown): TrafficKind {
	const {kind, request, answer} = (message ?? {}) as MessageKinds;
	switch (kind) {
		case 'renewal':
		case 'grant':
		case 'refusal':
		case 'nudge': {
			return 'lease';
		}

		case 'consensus':
		case 'snapshotPart': {
			return 'replication';
		}

		case 'request':
		case 'reply': {
			return request?.kind === 'ledger' || answer?.kind === 'ledger' ? 'claim' : 'other';
		}

		default: {
			return 'other';
		}
	}
}

/**
 * Creates a recorder of what links transfer.
 * @param meter - Meter of the process.
 */
export function createTransferRecorder(meter: TrafficMeter): (transfer: Transfer) => void {
	return ({message, direction, peerZone, bytes}) => {
		meter.add(getTrafficKind(message), direction, peerZone, bytes);
	};
}
