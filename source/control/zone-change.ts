/**
 * Takes a zone out of service or puts it back on behalf of an operator. Such an order has neither a version nor a time, so an order that
 * is carried out late would undo a later one. It is therefore bound to the state that it was given for: the host reads
 * the revision of the zones from the leader, and the leader refuses the change if the zone was ordered since.
 *
 * That binds an order to its sender only if the sender knows the revision. An order that a later one may have overtaken is therefore
 * carried out only once its sender has sent it again, with the revision that was read or after an answer that named it
 * (`repeated-orders.ts`). A sender that gave up never does, however late its first call arrives. The other orders do no harm when they are
 * late: they change nothing, or take a zone out that was never put back. For them, a check that the sender's connection is open suffices.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type ControlRequest, type ControlResponse} from './message.js';

/** Time after which an order that met a concurrent one is repeated; a commit takes about as long. */
const retryDelayMilliseconds = 10;

/** Order for a zone, and the call that it came with. */
export type ZoneChange = {
	readonly zone: string;
	readonly isOut: boolean;
	/** Revision of the zones with which the sender confirms the order, or undefined if it does not. */
	readonly confirmedRevision?: number;
	/** Checks whether the sender of the order still waits for the response. */
	isAwaited(): Promise<boolean>;
	submit(request: ControlRequest): Promise<ControlResponse>;
};

/** Outcome of an order: the response to its last request, that its sender no longer waits, or that it must send the order again with the revision. */
export type ZoneChangeOutcome
	= | ControlResponse
		| {readonly kind: 'abandoned'}
		| {readonly kind: 'confirmationNeeded'; readonly revision: number};

/**
 * Carries out an order unless its sender gives up first or must confirm it. An order that meets a concurrent one is repeated on the new
 * state; its confirmation does not hold for that state.
 * @param change - Order, its sender, and access to the leader.
 */
export async function changeZone(change: ZoneChange): Promise<ZoneChangeOutcome> {
	const confirmedOutcome = await moveConfirmedZone(change);
	return confirmedOutcome === undefined || confirmedOutcome.kind === 'zonesChanged' ? moveCurrentZone(change) : confirmedOutcome;
}

/** Carries out an order on the revision that its sender confirms; resolves to undefined if the sender confirms none. */
async function moveConfirmedZone({zone, isOut, confirmedRevision, submit}: ZoneChange): Promise<ControlResponse | undefined> {
	if (confirmedRevision === undefined) {
		return undefined;
	}

	return submit({
		kind: 'moveZone', zone, isOut, revision: confirmedRevision, isConfirmed: true,
	});
}

/** Carries out an order on the revision that a confirmed leader has now. */
async function moveCurrentZone({zone, isOut, isAwaited, submit}: ZoneChange): Promise<ZoneChangeOutcome> {
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
		if (response.kind === 'zoneUnconfirmed') {
			return {kind: 'confirmationNeeded', revision: current.revision};
		}

		if (response.kind !== 'zonesChanged') {
			return response;
		}

		await delay(retryDelayMilliseconds);
	}
}
