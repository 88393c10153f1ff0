/** Tells entries or control hosts once a second what a stand-in server says of itself. */
import {Buffer} from 'node:buffer';
import {request as startRequest} from 'node:http';

const announceMilliseconds = 1000;
const answerMilliseconds = 2000;

/** Announces a server. */
export type Announcer = {
	/** Announces at once; resolves to whether somebody took it. */
	announce(): Promise<boolean>;
	stop(): void;
};

/** Options of an announcer. */
export type AnnouncerOptions = {
	/** Base addresses that take announcements, one after the other. */
	readonly announceTo: readonly string[];
	/** Gets what the server says, or undefined while it is down. */
	getAnnouncement(): Readonly<Record<string, unknown>> | undefined;
};

/**
 * Starts to announce a server.
 * @param options - Who is told, and what.
 */
export function startAnnouncer(options: AnnouncerOptions): Announcer {
	const {announceTo} = options;
	let turn = 0;

	async function announce(): Promise<boolean> {
		const target = announceTo[turn++ % Math.max(1, announceTo.length)];
		const announcement = options.getAnnouncement();
		return target === undefined || announcement === undefined ? false : post(new URL('/v1/announce', target), JSON.stringify(announcement));
	}

	const timer = setInterval(() => {
		void announce();
	}, announceMilliseconds);
	return {
		announce,
		stop() {
			clearInterval(timer);
		},
	};
}

async function post(url: URL, body: string): Promise<boolean> {
	return new Promise(resolve => {
		const request = startRequest(url, {
			method: 'POST', agent: false, timeout: answerMilliseconds, headers: {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)},
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
