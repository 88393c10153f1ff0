/**
 * Removes a server whose leave call does not state when it started. Such a call names whichever process has the name when it is carried
 * out, so one that waited unread, in a host that stood still, would remove the successor of its sender. The host therefore
 * notes which boot it knows, and only then checks that the sender waits: a sender that waits has no successor yet.
 * The leader refuses the call if another boot is registered by then.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type ControlRequest, type ControlResponse} from './message.js';

/** Time after which a call that met another boot is repeated; a host learns of a committed change in less. */
const retryDelayMilliseconds = 20;

/** Leave call of a server. */
export type ServerDeparture = {
	readonly name: string;
	/** Gets the boot of the server that this host knows, or undefined if it knows no such server. */
	getBoot(name: string): string | undefined;
	/** Checks whether the sender of the call still waits for the response. */
	isAwaited(): Promise<boolean>;
	submit(request: ControlRequest): Promise<ControlResponse>;
};

/** Outcome of a leave call: the response to its last request, or that its sender no longer waits. */
export type ServerDepartureOutcome = ControlResponse | {readonly kind: 'abandoned'};

/**
 * Removes a server unless the sender of its call has given up.
 * @param departure - Call, its sender, and access to the leader.
 */
export async function removeServer(departure: ServerDeparture): Promise<ServerDepartureOutcome> {
	const {name, getBoot, isAwaited, submit} = departure;
	for (;;) {
		const boot = getBoot(name);
		if (!await isAwaited()) {
			return {kind: 'abandoned'};
		}

		const response = await submit({
			kind: 'leave', name, bornAt: undefined, known: {boot},
		});
		if (response.kind !== 'serverChanged') {
			return response;
		}

		await delay(retryDelayMilliseconds);
	}
}
