/**
 * Logs and counts the orders for zones that this host receives: who sent each, by which call, on which revision of the zones it was
 * carried out, with what outcome and after how long. Each order gets an id, which the lines of the hosts that apply it repeat.
 */
import {randomBytes} from 'node:crypto';
import {createLineLimit, type Log} from '../telemetry/index.js';
import {type ControlRequest, type ControlResponse} from './message.js';
import {type ZoneChangeOutcome} from './zone-change.js';

/** Rate limit of the lines; each order that is carried out has two. */
const maximumLinesPerSecond = 50;

/** Maximum length of texts of the sender in a line. */
const maximumTextLength = 200;

const idBytes = 4;

/** Order for a zone as a host received it. */
export type ReceivedZoneOrder = {
	readonly zone: string;
	readonly isOut: boolean;
	/** Call by which the order came. */
	readonly call: string;
	/** Address and port of the sender. */
	readonly sender: string;
	/** Revision of the zones for which its sender has confirmed the order, in the path of the call or by sending it again; undefined if it has not. */
	readonly confirmedRevision?: number;
};

/** End of an order: the outcome of the change, or why there was none. */
export type ZoneOrderOutcome = ZoneChangeOutcome['kind'] | 'stalled' | 'failed';

/** Submits a request to the leader. */
export type Submit = (request: ControlRequest) => Promise<ControlResponse>;

/** Log of orders for zones. */
export type ZoneOrderLog = {
	/**
	 * Logs an order and its end.
	 * @param order - Order as it was received.
	 * @param carryOut - Carries the order out with the given access to the leader.
	 */
	record(order: ReceivedZoneOrder, carryOut: (submit: Submit) => Promise<ZoneChangeOutcome>): Promise<ZoneChangeOutcome>;
	/** Logs an order that is refused because it may have waited while this process did not run. */
	recordStalled(order: ReceivedZoneOrder): void;
};

/** Options of `createZoneOrderLog`. */
export type ZoneOrderLogOptions = {
	readonly log: Log;
	/** Name of this host, which begins the ids of its orders. */
	readonly host: string;
	readonly submit: Submit;
	/** Counts an order that has ended. */
	countOrder(outcome: ZoneOrderOutcome): void;
	/** Gets the current time in milliseconds. */
	getTime(): number;
	/** Creates the part of an id that differs between the orders of a host; random by default. */
	createId?(): string;
};

/**
 * Creates a log of orders.
 * @param options - Log, host and access to the leader.
 */
export function createZoneOrderLog(options: ZoneOrderLogOptions): ZoneOrderLog {
	const {log, host, submit, countOrder, getTime, createId = createRandomId} = options;
	const limit = createLineLimit(maximumLinesPerSecond, getTime);

	function write(level: 'info' | 'warn', fields: Readonly<Record<string, unknown>>, message: string): void {
		if (limit.take()) {
			log[level]({...fields, ...limit.takeLeftOut()}, message);
		}
	}

	return {
		async record(order, carryOut) {
			const startedAt = getTime();
			const fields = {order: `${host}/${createId()}`, ...getFields(order)};
			let revision: number | undefined;
			let attempts = 0;

			async function submitObserved(request: ControlRequest): Promise<ControlResponse> {
				if (request.kind === 'moveZone') {
					attempts++;
					revision = request.revision;
					return submit({...request, order: fields.order});
				}

				const response = await submit(request);
				revision = response.kind === 'zones' ? response.revision : revision;
				return response;
			}

			function end(outcome: ZoneOrderOutcome): void {
				countOrder(outcome);
				write('info', {
					...fields, outcome, revision, attempts, milliseconds: Math.round(getTime() - startedAt),
				}, 'order for a zone ended');
			}

			write('info', fields, 'order for a zone received');
			try {
				const outcome = await carryOut(submitObserved);
				end(outcome.kind);
				return outcome;
			} catch (error) {
				end('failed');
				throw error;
			}
		},
		recordStalled(order) {
			countOrder('stalled');
			write('warn', getFields(order), 'order for a zone refused; it may have waited while this process did not run');
		},
	};
}

function getFields({zone, isOut, call, sender, confirmedRevision}: ReceivedZoneOrder): ReceivedZoneOrder {
	return {
		zone: zone.slice(0, maximumTextLength), isOut, call: call.slice(0, maximumTextLength), sender, ...(confirmedRevision === undefined ? {} : {confirmedRevision}),
	};
}

function createRandomId(): string {
	return randomBytes(idBytes).toString('hex');
}
