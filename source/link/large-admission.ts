/**
 * Decides how many requests with large responses are in progress at an entry. A request is admitted if the link carries its response
 * within its target, behind the rest of those that were admitted before. Otherwise it waits for at most an eighth of its target if that is long enough,
 * and is refused at once if it is not, so that its caller can go to another entry.
 */

/** Share of the target for which a request may wait for the link. */
const maximumWaitTargetShare = 0.125;

/** Maximum share of the target that counts as wait for a server. While servers are slower than that, the link is not what delays responses. */
const maximumCountedWaitShare = 0.5;

/** Share of its target for which one response at most is assumed to occupy the link. */
const maximumTargetShare = 0.5;

/** Minimum size that is reserved for a response, since each one also takes memory and processor time. */
const minimumReservedBytes = 16_384;

/** Maximum number of admitted requests: each one takes up to 128 KiB that no budget covers, for a caller that stopped reading or a server that sends nothing. */
const maximumAdmitted = 256;

/** A request whose response is expected to be large. */
export type LargeRequest = {
	/** Expected size of the response, in bytes. */
	readonly expectedBytes: number;
	/** Expected time until a server has the response, in milliseconds. */
	readonly expectedWaitMilliseconds: number;
	/** Target latency, in milliseconds. */
	readonly targetMilliseconds: number;
	/** Time that is left of the target, in milliseconds; negative if the request is late already. */
	readonly leftMilliseconds: number;
};

/** Ticket of a request. */
export type LargeTicket = {
	/** States how many bytes of the response are still to be written to the caller. */
	setRemaining(bytes: number): void;
	/** States whether the caller takes no more bytes for now, so that the link is free for others. */
	setBlocked(isBlocked: boolean): void;
	/** Ends the request, whether it was admitted or waits. */
	end(): void;
};

/** Decision on a request that arrives. */
export type LargeDecision
	= | {readonly kind: 'admitted'; readonly ticket: LargeTicket}
		/** The request waits, and is admitted by `admitWaiting`, or has to be refused after a time. */
		| {readonly kind: 'waiting'; readonly ticket: LargeTicket; readonly maximumMilliseconds: number}
		| {readonly kind: 'refused'; readonly retryAfterMilliseconds: number};

/** Admission of requests with large responses. */
export type LargeAdmission = {
	/**
	 * Decides on a request that arrives.
	 * @param request - Expected response and target.
	 * @param rate - Rate at which the link carries large responses, in bytes per millisecond.
	 * @param onAdmitted - Called when the request is admitted after it waited.
	 */
	arrive(request: LargeRequest, rate: number, onAdmitted: () => void): LargeDecision;
	/** Admits the waiting requests that can be admitted now, in the order of their arrival. */
	admitWaiting(rate: number): void;
	/** Gets the time until a request could be admitted if no other one arrived, in milliseconds. */
	getWait(request: LargeRequest, rate: number): number;
	getAdmittedCount(): number;
	getWaitingCount(): number;
	/** Gets the number of bytes that the admitted requests are expected to send. */
	getRemainingBytes(rate: number): number;
};

/** A request that was admitted or waits, and what its response still has to send. */
type Admission = {readonly request: LargeRequest; readonly onAdmitted: () => void; remainingBytes: number; isBlocked: boolean};

/** Creates an admission without requests. */
export function createLargeAdmission(): LargeAdmission {
	const admitted = new Set<Admission>();
	const waiting = new Set<Admission>();

	function getRemainingBytes(rate: number): number {
		let sum = 0;
		for (const {request, remainingBytes, isBlocked} of admitted) {
			// A response that is far larger than expected becomes late, and then leaves the link to others.
			sum += isBlocked ? 0 : Math.min(remainingBytes, request.targetMilliseconds * maximumTargetShare * rate);
		}

		return sum;
	}

	/** Gets the time until a request can be admitted behind others, in milliseconds: until the link would carry its response in time. */
	function getWaitBehind(request: LargeRequest, aheadBytes: number, rate: number): number {
		const ownMilliseconds = getReservedBytes(request) / rate;
		const availableMilliseconds = getAvailableMilliseconds(request, ownMilliseconds);
		return Math.max(0, (aheadBytes / rate) - availableMilliseconds);
	}

	function getWait(request: LargeRequest, rate: number): number {
		if (admitted.size + waiting.size >= maximumAdmitted) {
			// About one target later, the responses that are in progress have ended.
			return request.targetMilliseconds;
		}

		const waitingBytes = [...waiting].reduce((sum, {remainingBytes}) => sum + remainingBytes, 0);
		return getWaitBehind(request, getRemainingBytes(rate) + waitingBytes, rate);
	}

	function createTicket(admission: Admission): LargeTicket {
		return {
			setRemaining(bytes) {
				admission.remainingBytes = bytes;
			},
			setBlocked(isBlocked) {
				admission.isBlocked = isBlocked;
			},
			end() {
				admitted.delete(admission);
				waiting.delete(admission);
			},
		};
	}

	return {
		arrive(request, rate, onAdmitted) {
			const waitMilliseconds = getWait(request, rate);
			const maximumMilliseconds = request.targetMilliseconds * maximumWaitTargetShare;
			if (waitMilliseconds > maximumMilliseconds) {
				return {kind: 'refused', retryAfterMilliseconds: waitMilliseconds};
			}

			const admission: Admission = {
				request, onAdmitted, remainingBytes: getReservedBytes(request), isBlocked: false,
			};
			const ticket = createTicket(admission);
			if (waitMilliseconds > 0) {
				waiting.add(admission);
				return {kind: 'waiting', ticket, maximumMilliseconds};
			}

			admitted.add(admission);
			return {kind: 'admitted', ticket};
		},
		admitWaiting(rate) {
			for (const admission of waiting) {
				if (getWaitBehind(admission.request, getRemainingBytes(rate), rate) > 0) {
					return;
				}

				waiting.delete(admission);
				admitted.add(admission);
				admission.onAdmitted();
			}
		},
		getWait,
		getAdmittedCount: () => admitted.size,
		getWaitingCount: () => waiting.size,
		getRemainingBytes,
	};
}

function getReservedBytes({expectedBytes}: LargeRequest): number {
	return Math.max(expectedBytes, minimumReservedBytes);
}

/**
 * Gets the time that the responses before may take. After a time without requests, the link begins only once a server has responded.
 * A request that cannot be in time any more is treated as one that has just arrived, so that it is served at all.
 */
function getAvailableMilliseconds({targetMilliseconds, leftMilliseconds, expectedWaitMilliseconds}: LargeRequest, ownMilliseconds: number): number {
	const waitMilliseconds = Math.min(expectedWaitMilliseconds, targetMilliseconds * maximumCountedWaitShare);
	const isLate = leftMilliseconds < waitMilliseconds + ownMilliseconds;
	// A response that alone takes longer than its target is admitted when nothing is before it.
	return Math.max(0, (isLate ? targetMilliseconds : leftMilliseconds) - waitMilliseconds - ownMilliseconds);
}
