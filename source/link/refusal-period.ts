/** Tells when a link begins to refuse requests and when it admits them again, so that a log has a line for each change. */

/** Time without a refusal after which requests count as admitted again, in milliseconds. Refusals of one burst are closer together. */
const quietMilliseconds = 1000;

/** Period in which requests were refused. */
export type RefusalPeriod = {
	/** Number of requests that were refused. */
	readonly refused: number;
	/** Time from the first refusal to the last one, in milliseconds. */
	readonly milliseconds: number;
};

/** Receiver of the changes. */
export type RefusalListener = {
	/** Called when requests begin to be refused. */
	onRefusing?(): void;
	/** Called when requests are admitted again. */
	onAccepting?(period: RefusalPeriod): void;
};

/** Record of refusals and admissions. */
export type RefusalRecord = {recordRefusal(now: number): void; recordAdmission(now: number): void};

/**
 * Creates a record without refusals.
 * @param listener - Receiver of the changes.
 */
export function createRefusalRecord(listener: RefusalListener): RefusalRecord {
	let refused = 0;
	let firstAt = 0;
	let lastAt = 0;
	return {
		recordRefusal(now) {
			if (refused === 0) {
				firstAt = now;
				listener.onRefusing?.();
			}

			refused++;
			lastAt = now;
		},
		recordAdmission(now) {
			if (refused > 0 && now - lastAt > quietMilliseconds) {
				listener.onAccepting?.({refused, milliseconds: lastAt - firstAt});
				refused = 0;
			}
		},
	};
}
