/** Limits the bytes that all requests of a process hold in memory together. */

/** Budget of bytes, shared by the requests of a process. */
export type ByteBudget = {
	/** Reserves bytes; returns false, and reserves nothing, when the budget does not cover them. */
	tryReserve(bytes: number): boolean;
	/** Returns reserved bytes to the budget. */
	release(bytes: number): void;
	/** Gets the number of reserved bytes. */
	getReservedBytes(): number;
};

/**
 * Creates a budget of which nothing is reserved.
 * @param maximumBytes - Size of the budget in bytes.
 */
export function createByteBudget(maximumBytes: number): ByteBudget {
	let reservedBytes = 0;

	return {
		tryReserve(bytes) {
			if (reservedBytes + bytes > maximumBytes) {
				return false;
			}

			reservedBytes += bytes;
			return true;
		},
		release(bytes) {
			reservedBytes -= bytes;
		},
		getReservedBytes: () => reservedBytes,
	};
}
