/** Ejects a server whose requests fail consecutively, for longer each time; after that, a single request tries it. */

const maximumEjectionExponent = 5;

/** Limits of outlier ejection. */
export type OutlierLimits = {
	readonly consecutiveFailures: number;
	readonly ejectionMilliseconds: number;
	readonly largestShare: number;
};

/** Ejection of one server. */
export type OutlierEjection = {
	recordSuccess(): void;
	recordFailure(): void;
	/** Gets the end of the ejection, or a time that has passed. */
	getEnd(): number;
	/** Checks whether only a single request may try the server. */
	isOnProbation(): boolean;
	/** Ends the probation, because the request that tried the server was cancelled. */
	endProbation(): void;
	/** Ejects the server if it has failed too often, and returns whether it was ejected. */
	ejectWhenFailing(limits: OutlierLimits, now: number): boolean;
};

/** Creates the ejection of a server without failures. */
export function createOutlierEjection(): OutlierEjection {
	let consecutiveFailures = 0;
	let ejectedUntil = 0;
	let ejections = 0;
	let isOnProbation = false;
	return {
		recordSuccess() {
			consecutiveFailures = 0;
			ejections = 0;
			isOnProbation = false;
		},
		recordFailure() {
			consecutiveFailures++;
		},
		getEnd: () => ejectedUntil,
		isOnProbation: () => isOnProbation,
		endProbation() {
			isOnProbation = false;
		},
		ejectWhenFailing(limits, now) {
			const hasFailedProbation = isOnProbation && consecutiveFailures > 0;
			if (ejectedUntil > now || (consecutiveFailures < limits.consecutiveFailures && !hasFailedProbation)) {
				return false;
			}

			ejectedUntil = now + (limits.ejectionMilliseconds * (2 ** Math.min(ejections, maximumEjectionExponent)));
			ejections++;
			isOnProbation = true;
			return true;
		},
	};
}
