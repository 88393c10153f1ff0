/** Reserves the bytes of one body in a budget. */
import {type ByteBudget} from './byte-budget.js';

/** Growing part of a budget. */
export type ByteReservation = {
	/** Reserves bytes up to the given number in all; returns false, and reserves nothing more, when the budget does not cover them. */
	tryGrowTo(bytes: number): boolean;
	/** Returns all reserved bytes to the budget. Nothing can be reserved afterwards. */
	release(): void;
};

/**
 * Creates a reservation of no bytes.
 * @param budget - Budget to reserve bytes in.
 */
export function createByteReservation(budget: ByteBudget): ByteReservation {
	let reservedBytes = 0;
	let isReleased = false;

	return {
		tryGrowTo(bytes) {
			if (isReleased) {
				return false;
			}

			if (bytes <= reservedBytes) {
				return true;
			}

			if (!budget.tryReserve(bytes - reservedBytes)) {
				return false;
			}

			reservedBytes = bytes;
			return true;
		},
		release() {
			isReleased = true;
			budget.release(reservedBytes);
			reservedBytes = 0;
		},
	};
}
