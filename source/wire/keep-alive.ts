/**
 * Decides when an end of a link sends a ping, and when it gives the link up because the peer is silent. If both ends allow it, they
 * send fewer pings while the link is not used: an entry has links to all control hosts and uses only that to the leader.
 */

/** Time after which a ping is sent, and time without received data after which the link is given up. */
type Pace = {readonly pingMilliseconds: number; readonly timeoutMilliseconds: number};

/** The timeout is two ping intervals plus a margin for a busy peer. */
const usualPace: Pace = {pingMilliseconds: 600, timeoutMilliseconds: 1800};

/**
 * Pace of a link that is not used. A silent link does no harm before it is needed; from the first message on, it has the usual pace. The
 * timeout is two ping intervals plus a margin as well.
 */
const slowPace: Pace = {pingMilliseconds: 2000, timeoutMilliseconds: 4800};

/** Time after the last message, sent or received, for which a link counts as used: longer than the usual timeout. */
const useMilliseconds = 2400;

/** Interval at which `getAction` is to be called. */
export const keepAliveIntervalMilliseconds = 300;

/** What an end does to keep a link. */
export type KeepAliveAction = 'none' | 'ping' | 'close';

/** Keep-alive of one end of a link. */
export type KeepAlive = {
	/** Records that a message or a ping was sent. */
	recordSent(now: number, isPing: boolean): void;
	/** Records that data was received. */
	recordReceived(now: number): void;
	/** Records that a received message is not a ping. */
	recordMessage(now: number): void;
	getAction(now: number): KeepAliveAction;
};

/**
 * Creates the keep-alive of a new link.
 * @param isSlowAllowed - Whether both ends allow the slow pace.
 * @param openedAt - Time at which the link was opened, in milliseconds.
 */
export function createKeepAlive(isSlowAllowed: boolean, openedAt: number): KeepAlive {
	let lastSentAt = openedAt;
	let lastReceivedAt = openedAt;
	let lastUsedAt = openedAt;
	/** Time from which on the link is used without a break. The peer is not expected to have sent pings at the usual pace before. */
	let usedSince = openedAt;

	function recordUse(now: number): void {
		if (now - lastUsedAt > useMilliseconds) {
			usedSince = now;
		}

		lastUsedAt = now;
	}

	return {
		recordSent(now, isPing) {
			lastSentAt = now;
			if (!isPing) {
				recordUse(now);
			}
		},
		recordReceived(now) {
			lastReceivedAt = now;
		},
		recordMessage: recordUse,
		getAction(now) {
			const isSlow = isSlowAllowed && now - lastUsedAt > useMilliseconds;
			const {pingMilliseconds, timeoutMilliseconds} = isSlow ? slowPace : usualPace;
			const silentSince = isSlowAllowed && !isSlow ? Math.max(lastReceivedAt, usedSince) : lastReceivedAt;
			if (now - silentSince >= timeoutMilliseconds) {
				return 'close';
			}

			return now - lastSentAt >= pingMilliseconds ? 'ping' : 'none';
		},
	};
}
