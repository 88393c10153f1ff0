/** The load that a server reports. */

/** Load of a server at one moment, as reported by the server. */
export type LoadReading = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** Current duration of work, as a multiple of the usual duration. */
	readonly slowness: number;
};
