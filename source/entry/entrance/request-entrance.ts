/** Receives callers' requests: checks their heads, finds their routes, and refuses those without a service or a key. */
import {notRun, type NotRunReason} from '../../verdict/index.js';
import {getAccess} from '../../workspace/index.js';
import {type Exchange, sendVerdict} from '../callers/index.js';
import {type EntryState} from '../entry-state.js';
import {type RequestContext} from '../requests/index.js';
import {findRequestFault, normalizeTarget} from './request-check.js';
import {createStartHold, startRetryMilliseconds} from './start-hold.js';
import {getRequestId, handleRequest} from './request-handler.js';

/** Options of `createRequestEntrance`. */
export type RequestEntranceOptions = {
	readonly context: RequestContext;
	readonly state: EntryState;
	/** Maximum size of the headers of a request, unless the document sets one. */
	readonly maximumHeaderBytes: number;
};

/**
 * Creates a function that receives requests.
 * @param options - Dependencies of requests, and state of the entry.
 */
export function createRequestEntrance(options: RequestEntranceOptions): (exchange: Exchange) => void {
	const {context, state, maximumHeaderBytes} = options;
	const startHold = createStartHold(state.documentChanges);

	/** Refuses a request before a service is found for it. */
	function refuseUnrouted(exchange: Exchange, reason: NotRunReason): void {
		context.metrics.countRefusal(reason);
		sendVerdict({
			dialect: context.dialect,
			response: exchange.response,
			verdict: notRun(reason),
			requestId: getRequestId(context, exchange.request),
			isClosing: exchange.decideClose(false),
			retryAfterMilliseconds: startRetryMilliseconds,
		});
	}

	/** Finds the route, the service and the access of a request, and hands it over or refuses it. */
	function routeRequest(exchange: Exchange): void {
		const {request} = exchange;
		const route = state.router.get(request.headers.host, request.url ?? '/');
		const serviceState = route === undefined ? undefined : context.fleet.getState(route.selectService());
		if (route === undefined || serviceState === undefined) {
			refuseUnrouted(exchange, state.document === undefined ? 'lease-expired' : 'unknown-service');
			return;
		}

		const access = getAccess(state.workspaces, {key: request.headers[context.dialect.keyHeader], isPublic: route.isPublic});
		if (access.kind === 'denied') {
			refuseUnrouted(exchange, 'unknown-key');
			return;
		}

		state.inFlight++;
		void handleRequest({
			context, route, access, state: serviceState, exchange,
		});
	}

	return exchange => {
		const {request, response} = exchange;
		response.on('error', () => {
			response.destroy();
		});
		normalizeTarget(request);
		const fault = findRequestFault(request, state.document?.clientLimits?.headerBytes ?? maximumHeaderBytes);
		if (fault !== undefined) {
			refuseUnrouted(exchange, fault === 'malformed' ? 'bad-request' : 'headers-too-large');
			return;
		}

		const isHeld = state.document === undefined && startHold.add(exchange, () => {
			routeRequest(exchange);
		});
		if (!isHeld) {
			routeRequest(exchange);
		}
	};
}
