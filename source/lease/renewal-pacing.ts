/**
 * Decides when an entry sends its next renewal. At most one renewal is on its way: while its grant is delayed, for example by a
 * large list on a slow link, further renewals would only ask for the same list again and add to the load that delays it.
 */

/** Minimum time between two renewals. */
const minimumSpacingMilliseconds = 20;

/** Pacing of the renewals of one entry. */
export type RenewalPacing = {
	/** Gets the time in milliseconds at which the next renewal is due. */
	getDueAt(): number;
	/** Checks whether the last renewal has been without an answer for so long that it counts as lost. */
	isUnanswered(now: number): boolean;
	/** Checks whether a renewal has been sent and not been answered. */
	isOnItsWay(): boolean;
	recordSent(now: number): void;
	/** Records that a control host answered the last renewal. */
	recordAnswer(): void;
	/** Requests a renewal ahead of the regular interval; while one is on its way, the next one follows its answer. */
	request(): void;
	/** Requests a renewal at once, because the one on its way is lost. */
	expedite(): void;
};

/** Options of `createRenewalPacing`. */
export type RenewalPacingOptions = {
	/** Regular time between two renewals. */
	readonly renewMilliseconds: number;
	/** Time after which a renewal without an answer counts as lost. */
	readonly answerTimeoutMilliseconds: number;
};

/**
 * Creates a pacing for which a renewal is due at once.
 * @param options - Interval and timeout.
 */
export function createRenewalPacing(options: RenewalPacingOptions): RenewalPacing {
	let sentAt = Number.NEGATIVE_INFINITY;
	let regularAt = Number.NEGATIVE_INFINITY;
	let isPending = false;
	let isRequested = true;

	return {
		getDueAt() {
			if (isPending) {
				return sentAt + options.answerTimeoutMilliseconds;
			}

			return isRequested ? sentAt + minimumSpacingMilliseconds : Math.max(regularAt, sentAt + minimumSpacingMilliseconds);
		},
		isUnanswered: now => isPending && now >= sentAt + options.answerTimeoutMilliseconds,
		isOnItsWay: () => isPending,
		recordSent(now) {
			// A requested renewal does not postpone the regular one: servers in their cold start are granted more with each.
			regularAt = now < regularAt ? regularAt : now + options.renewMilliseconds;
			sentAt = now;
			isPending = true;
			isRequested = false;
		},
		recordAnswer() {
			isPending = false;
		},
		request() {
			isRequested = true;
		},
		expedite() {
			isPending = false;
			isRequested = true;
		},
	};
}
