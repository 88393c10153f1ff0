/**
 * Takes a zone out of service or puts it back on behalf of an operator. Such an order has neither a version nor a time, so an order that
 * is carried out late would undo a later one. It is therefore bound to the state that it was given for: the host first reads
 * the revision of the zones from the leader, then checks that the sender still waits, and the leader refuses the change if the
 * zones have changed since. An operator who gives up on a host and orders the opposite at another one leaves nothing behind.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type ControlRequest, type ControlResponse} from './message.js';

/** Time after which an order that met a concurrent one is repeated; a commit takes about as long. */
const retryDelayMilliseconds = 10;

/** Order for a zone, and the call that it came with. */
export type ZoneChange = {
	readonly zone: string;
	readonly isOut: boolean;
	/** Checks whether the sender of the order still waits for the response. */
	isAwaited(): Promise<boolean>;
	submit(request: ControlRequest): Promise<ControlResponse>;
};

/** Outcome of an order: the response to its last request, or that its sender no longer waits. */
export type ZoneChangeOutcome = ControlResponse | {readonly kind: 'abandoned'};

/**
 * Carries out an order unless its sender gives up first. An order that meets a concurrent one is repeated on the new state.
 * @param change - Order, its sender, and access to the leader.
 */
export async function changeZone(change: ZoneChange): Promise<ZoneChangeOutcome> {
	const {zone, isOut, isAwaited, submit} = change;
	for (;;) {
		const current = await submit({kind: 'readZones'});
		if (current.kind !== 'zones') {
			return current;
		}

		if (!await isAwaited()) {
			return {kind: 'abandoned'};
		}

		const response = await submit({
			kind: 'moveZone', zone, isOut, revision: current.revision,
		});
		if (response.kind !== 'zonesChanged') {
			return response;
		}

		await delay(retryDelayMilliseconds);
	}
}
