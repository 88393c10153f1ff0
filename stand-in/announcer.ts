/** Announces a stand-in server to entries or control hosts every second. */
import {Buffer} from 'node:buffer';
import {request as startRequest} from 'node:http';

const announceIntervalMilliseconds = 1000;
const responseTimeoutMilliseconds = 2000;

/** A running announcer. */
export type Announcer = {
	/** Sends an announcement immediately; resolves to whether it was accepted. */
	announce(): Promise<boolean>;
	stop(): void;
};

/** Options of `startAnnouncer`. */
export type AnnouncerOptions = {
	/** Base addresses to which announcements are sent in turn. */
	readonly announceTo: readonly string[];
	/** Gets the current announcement, or undefined while the server is down. */
	getAnnouncement(): Readonly<Record<string, unknown>> | undefined;
};

/**
 * Starts an announcer.
 * @param options - Addresses and content of the announcements.
 */
export function startAnnouncer(options: AnnouncerOptions): Announcer {
	const {announceTo} = options;
	let nextAddressIndex = 0;

	async function announce(): Promise<boolean> {
		const address = announceTo[nextAddressIndex++ % Math.max(1, announceTo.length)];
		const announcement = options.getAnnouncement();
		return address === undefined || announcement === undefined ? false : postAnnouncement(new URL('/v1/announce', address), JSON.stringify(announcement));
	}

	const timer = setInterval(() => {
		void announce();
	}, announceIntervalMilliseconds);
	return {
		announce,
		stop() {
			clearInterval(timer);
		},
	};
}

/** Posts an announcement; resolves to whether the response has status 200. */
async function postAnnouncement(url: URL, body: string): Promise<boolean> {
	return new Promise(resolve => {
		const request = startRequest(url, {
			method: 'POST', agent: false, timeout: responseTimeoutMilliseconds, headers: {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)},
		});
		request.once('response', response => {
			response.resume();
			resolve(response.statusCode === 200);
		});
		request.once('timeout', () => {
			request.destroy();
		});
		request.once('error', () => {
			resolve(false);
		});
		request.end(body);
	});
}
