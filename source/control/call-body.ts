/** Reads the bodies of calls to a control host, within a limit for each and a budget for all of them together. */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {Result} from 'true-myth';
import {createByteBudget, createByteCollector, createByteReservation} from '../bytes/index.js';

/** Time in milliseconds within which a body must end, so that slow senders do not keep the budget from others. */
const defaultMaximumMilliseconds = 30_000;

/** Reason why a body was not read: it is too large, the bodies of other calls take the budget, or it did not end in time. */
export type CallBodyFault = 'tooLarge' | 'overload' | 'cut';

/** Reader of the bodies of calls. */
export type CallBodyReader = {
	/** Reads a body. The connection of a call whose body is not read to its end is closed. */
	read(request: IncomingMessage, maximumBytes: number): Promise<Result<Buffer, CallBodyFault>>;
};

/**
 * Creates a reader that has read nothing yet.
 * @param budgetBytes - Maximum number of bytes of all bodies that are being read.
 * @param maximumMilliseconds - Time within which each body must end.
 */
export function createCallBodyReader(budgetBytes: number, maximumMilliseconds = defaultMaximumMilliseconds): CallBodyReader {
	const budget = createByteBudget(budgetBytes);

	return {
		async read(request, maximumBytes) {
			const collector = createByteCollector();
			const reservation = createByteReservation(budget);
			const timer = setTimeout(() => {
				request.destroy();
			}, maximumMilliseconds);
			try {
				for await (const chunk of request as AsyncIterable<Buffer>) {
					collector.add(chunk);
					if (collector.getSize() > maximumBytes) {
						return Result.err('tooLarge');
					}

					if (!reservation.tryGrowTo(collector.getHeldBytes())) {
						return Result.err('overload');
					}
				}

				return Result.ok(collector.toBuffer());
			} catch {
				return Result.err('cut');
			} finally {
				clearTimeout(timer);
				reservation.release();
			}
		},
	};
}
