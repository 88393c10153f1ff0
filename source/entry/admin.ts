/** The admin interface of an entry: metrics, readiness, liveness, and announcements of servers. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';
import {type Registry} from 'prom-client';
import {announcementSchema, type Announcement} from '../announcement/index.js';
import {createCallBodyReader} from '../control/call-body.js';
import {sendJson, readJson} from '../control/http.js';
import {type ControlResponse} from '../control/message.js';
import {checkValue} from '../settings/index.js';

const maximumAnnouncementBytes = 16_384;

/** Budget of the bodies of announcements. */
const announcementBodyBytes = 256 * maximumAnnouncementBytes;

/** Options of `createAdminHandler`. */
export type AdminOptions = {
	announce(announcement: Announcement): Promise<ControlResponse>;
	readonly metrics: Registry;
	isReady(): boolean;
	getVersion(): number;
	/** Gets the number of servers in the entry's fleet. */
	getServerCount(): number;
	/** Gets the time at which the lease expires, on the monotonic clock. */
	getExpiresAt(): number;
};

/**
 * Creates the request handler of the admin interface.
 * @param options - Functions of the entry.
 */
export function createAdminHandler(options: AdminOptions): (request: IncomingMessage, response: ServerResponse) => Promise<void> {
	const bodies = createCallBodyReader(announcementBodyBytes);

	async function announce(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = await readJson(bodies, request, maximumAnnouncementBytes);
		const checked = body.mapErr(fault => [fault] as readonly string[]).andThen(value => checkValue('body', value, announcementSchema));
		if (checked.isErr) {
			sendJson(response, 400, {kind: 'faults', faults: checked.error});
			return;
		}

		const answer = await options.announce(checked.value);
		sendJson(response, answer.kind === 'announced' ? 200 : 503, answer);
	}

	return async (request, response) => {
		switch (`${request.method} ${request.url}`) {
			case 'POST /v1/announce': {
				await announce(request, response);
				return;
			}

			case 'GET /metrics': {
				response.writeHead(200, {'content-type': options.metrics.contentType});
				response.end(await options.metrics.metrics());
				return;
			}

			case 'GET /ready': {
				sendJson(response, options.isReady() ? 200 : 503, {
					ready: options.isReady(), version: options.getVersion(), servers: options.getServerCount(), leaseMilliseconds: Math.max(0, Math.round(options.getExpiresAt() - performance.now())),
				});
				return;
			}

			case 'GET /live': {
				sendJson(response, 200, {live: true});
				return;
			}

			default: {
				sendJson(response, 404, {kind: 'faults', faults: ['no such resource; use /metrics, /ready, /live or POST /v1/announce']});
			}
		}
	};
}
