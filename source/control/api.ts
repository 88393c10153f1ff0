/** HTTP API for operators and for announcements of servers. */
import {randomUUID} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import * as z from 'zod';
import {announcementSchema} from '../announcement/index.js';
import {documentSchema, type ConfigurationCommand, type Environment} from '../configuration/index.js';
import {checkValue} from '../settings/index.js';
import {type Log} from '../telemetry/index.js';
import {createCallBodyReader} from './call-body.js';
import {
	sendJson, isAuthorized, maximumApiBodyBytes, readJson,
} from './http.js';
import {type ControlResponse, type ControlRequest, type BurnSummary} from './message.js';
import {type RepeatedOrders} from './repeated-orders.js';
import {type ZoneOrderLog} from './zone-order-log.js';

const maximumAnnouncementBytes = 16_384;

/** Budget of the bodies of operators' calls. */
const operatorBodyBytes = 2 * maximumApiBodyBytes;

/** Budget of the bodies of announcements, apart from the other one, so that servers are not lost while operators send much. */
const announcementBodyBytes = 256 * maximumAnnouncementBytes;

const applySchema = z.strictObject({
	base: z.number().int().min(0),
	change: z.string().min(1).max(128),
	author: z.string().max(128).default('unknown'),
	document: documentSchema,
});

const promoteSchema = z.strictObject({
	source: z.number().int().min(1),
	base: z.number().int().min(0),
	change: z.string().min(1).max(128),
	author: z.string().max(128).default('unknown'),
	despiteBurn: z.boolean().default(false),
});

const drainSchema = z.strictObject({key: z.string().min(3).max(128), boot: z.string().min(1).max(64)});

/** Options of `createApi`. */
export type ApiOptions = {
	readonly log: Log;
	readonly operatorKey: string | undefined;
	submit(request: ControlRequest): Promise<ControlResponse>;
	readonly zoneOrderLog: ZoneOrderLog;
	readonly repeatedOrders: RepeatedOrders;
	/** Gets the time at which the connection of a call was opened, in milliseconds. */
	getConnectedAt(request: IncomingMessage): number;
	/** Checks whether calls that are read now may have waited unread until their senders gave up. */
	hasStalledRecently(): boolean;
	getBurnSummary(environment: Environment): BurnSummary | undefined;
	getMetrics(): Promise<string>;
	isReady(): boolean;
	/** Gets the boot of the server with a name that this host knows, or undefined if it knows no such server. */
	getBoot(name: string): string | undefined;
	/** Gets the name of the leading control host, or undefined if no leader is known. */
	getLeaderHost(): string | undefined;
};

/** Handles a request of the API. */
export type Api = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/**
 * Creates the API of a control host.
 * @param options - Operator key and functions of the control host.
 */
export function createApi(options: ApiOptions): Api {
	const operatorBodies = createCallBodyReader(operatorBodyBytes);
	const announcementBodies = createCallBodyReader(announcementBodyBytes);

	async function forward(response: ServerResponse, request: ControlRequest): Promise<void> {
		const answer = await options.submit(request);
		sendJson(response, getStatusCode(answer), answer);
	}

	async function parseBody<Schema extends z.ZodType>(request: IncomingMessage, response: ServerResponse, schema: Schema, maximumBytes: number): Promise<z.infer<Schema> | undefined> {
		const body = await readJson(maximumBytes > maximumAnnouncementBytes ? operatorBodies : announcementBodies, request, maximumBytes);
		const checked = body.mapErr(fault => [fault] as readonly string[]).andThen(value => checkValue('body', value, schema));
		if (checked.isOk) {
			return checked.value;
		}

		sendJson(response, 400, {kind: 'faults', faults: checked.error});
		return undefined;
	}

	async function announce(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const announcement = await parseBody(request, response, announcementSchema, maximumAnnouncementBytes);
		if (announcement !== undefined) {
			await forward(response, {kind: 'announce', announcement});
		}
	}

	async function apply(request: IncomingMessage, response: ServerResponse, environment: Environment): Promise<void> {
		const body = await parseBody(request, response, applySchema, maximumApiBodyBytes);
		if (body !== undefined) {
			const {document, ...rest} = body;
			const command: ConfigurationCommand = {
				kind: 'apply', environment, ...rest, update: {kind: 'whole', document}, at: 0,
			};
			await forward(response, {kind: 'configure', command});
		}
	}

	async function promote(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = await parseBody(request, response, promoteSchema, maximumApiBodyBytes);
		if (body === undefined) {
			return;
		}

		const burning = options.getBurnSummary('trial')?.services.filter(service => service.isBurning || service.budgetLeft < 0).map(service => service.service) ?? [];
		if (burning.length > 0 && !body.despiteBurn) {
			sendJson(response, 409, {kind: 'burning', services: burning});
			return;
		}

		const {despiteBurn, ...rest} = body;
		await forward(response, {kind: 'configure', command: {kind: 'promote', ...rest, at: 0}});
	}

	async function routeEnvironment(request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
		const [name, action] = url.pathname.split('/').slice(3);
		if (name !== 'trial' && name !== 'production') {
			sendJson(response, 404, {kind: 'faults', faults: [`${name ?? ''}: no such environment; use trial or production`]});
			return;
		}

		const route = `${request.method} ${action ?? ''}`;
		switch (route) {
			case 'POST apply': {
				await apply(request, response, name);
				return;
			}

			case 'POST promote': {
				await promote(request, response);
				return;
			}

			case 'GET ': {
				await forward(response, {kind: 'readVersion', environment: name});
				return;
			}

			case 'GET history': {
				await forward(response, {kind: 'readHistory', environment: name});
				return;
			}

			case 'GET in-force': {
				await forward(response, {kind: 'readInForce', environment: name, version: Number(url.searchParams.get('version') ?? 0)});
				return;
			}

			case 'GET burn': {
				const summary = options.getBurnSummary(name);
				sendJson(response, summary === undefined ? 404 : 200, summary ?? {kind: 'faults', faults: [`${name}: no document yet; apply one`]});
				return;
			}

			default: {
				sendNotFound(response);
			}
		}
	}

	async function routeOperator(request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
		if (!isAuthorized(request, options.operatorKey)) {
			sendJson(response, 401, {kind: 'faults', faults: ['the operator key is missing or wrong; pass --key-file']});
			return;
		}

		if (url.pathname.startsWith('/v1/environments/')) {
			await routeEnvironment(request, response, url);
			return;
		}

		if (request.method === 'GET' && url.pathname === '/v1/status') {
			await forward(response, {kind: 'readStatus'});
			return;
		}

		if (request.method === 'POST' && url.pathname === '/v1/servers/drain') {
			const body = await parseBody(request, response, drainSchema, maximumAnnouncementBytes);
			if (body !== undefined) {
				await forward(response, {kind: 'drain', ...body});
			}

			return;
		}

		sendNotFound(response);
	}

	return async (request, response) => {
		const url = new URL(request.url ?? '/', 'http://control');
		switch (`${request.method} ${url.pathname}`) {
			case 'POST /v1/announce': {
				await announce(request, response);
				return;
			}

			case 'GET /metrics': {
				response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
				response.end(await options.getMetrics());
				return;
			}

			case 'GET /live': {
				sendJson(response, 200, {live: true});
				return;
			}

			case 'GET /ready': {
				sendJson(response, options.isReady() ? 200 : 503, {ready: options.isReady()});
				return;
			}

			default: {
				await routeOperator(request, response, url);
			}
		}
	};
}

function sendNotFound(response: ServerResponse): void {
	sendJson(response, 404, {kind: 'faults', faults: [`no such resource; see docs/OPERATIONS.md (request ${randomUUID()})`]});
}

function getStatusCode(response: ControlResponse): number {
	switch (response.kind) {
		case 'configured': {
			return response.answer.kind === 'accepted' ? 200 : 409;
		}

		case 'drained': {
			return response.isKnown ? 200 : 404;
		}

		case 'version': {
			return response.version === undefined ? 404 : 200;
		}

		case 'notStorable': {
			return 400;
		}

		case 'notLeader':
		case 'unknown':
		case 'serverChanged':
		case 'zonesChanged':
		case 'zoneUnconfirmed': {
			return 503;
		}

		case 'announced':
		case 'crashes':
		case 'left':
		case 'zones':
		case 'zoneMoved':
		case 'history':
		case 'inForce':
		case 'ledger':
		case 'quota':
		case 'status': {
			return 200;
		}
	}
}
