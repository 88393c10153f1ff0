/** Admits requests of callers: validates them, claims idempotency keys and replays stored responses. */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {performance} from 'node:perf_hooks';
import {mayHaveRun, notRun, type Verdict} from '../../verdict/index.js';
import {getRequestRank, type Access} from '../../workspace/index.js';
import {
	sendVerdict, getRetrySpread, writeResponseHead, type Exchange,
} from '../callers/index.js';
import {
	getRequestDigest, type Claim, type RequestContext, type RequestContent,
} from '../requests/index.js';
import {type ServiceState} from '../fleet/index.js';
import {getRequestTime} from '../servers/index.js';
import {type QuotaToken} from '../../quota/index.js';
import {type RoutePolicy} from '../routing/index.js';
import {dispatchRequest} from '../placement/index.js';
import {getFingerprint} from '../crashes/index.js';
import {admitToLink} from './link-admission.js';
import {prepareBody} from './prepared-body.js';

const maximumKeyLength = 256;

/** Share of a pause over which the callers that it refuses come back. */
const maximumPauseSpread = 0.1;

/** Share of the target latency after which a request that has not been dispatched is unlikely to meet the target. */
const lateTargetShare = 0.5;

/** Request of a caller whose route and access have been found. */
export type RoutedRequest = {
	/** Dependencies that all requests share. */
	readonly context: RequestContext;
	readonly route: RoutePolicy;
	readonly access: Access;
	/** State of the service of the request. */
	readonly state: ServiceState;
	readonly exchange: Exchange;
};

/**
 * Admits a request and dispatches it, or responds to it without contacting a server.
 * @param routed - Request with its route, access and service.
 */
export async function handleRequest(routed: RoutedRequest): Promise<void> {
	const {
		context, route, access, state, exchange,
	} = routed;
	const {request: incoming, response, arrivedAt} = exchange;
	const workspace = access.kind === 'granted' ? access.workspace.name : undefined;
	const service = state.getService();
	const startedAt = performance.now();
	const requestId = getRequestId(context, incoming);
	const method = incoming.method ?? 'GET';
	const target = incoming.url ?? '/';
	const isIdempotent = route.isIdempotent ?? service.idempotentMethods.includes(method);
	const key = isIdempotent || route.isIdempotent !== undefined ? undefined : getIdempotencyKey(incoming, service.keyHeader);
	const requestTime = getRequestTime(incoming.headers[context.dialect.deadlineHeader], route, arrivedAt);

	let token: QuotaToken | undefined;
	let hasEnded = false;
	const trace = context.startTrace({
		id: requestId,
		route: route.name,
		service: service.name,
		...(workspace === undefined ? {} : {workspace}),
		targetMilliseconds: route.targetMilliseconds,
		elapsedMilliseconds: requestTime?.elapsedMilliseconds ?? 0,
		at: startedAt,
	});

	function recordEnd(verdict: Verdict): void {
		if (hasEnded) {
			return;
		}

		hasEnded = true;
		const milliseconds = performance.now() - startedAt;
		token?.end(verdict.kind !== 'notRun', startedAt + milliseconds);
		trace.end(verdict, milliseconds);
		context.onRequestEnd(service, verdict, milliseconds);
	}

	/** Gets the time after which the caller may try again: when a paused server takes requests, and not before a shortage is likely to be over. */
	function getRetryAfterMilliseconds(): number {
		const now = performance.now();
		const spread = getRetrySpread(requestId);
		const pauseMilliseconds = (context.fleet.getPauseEnd(service.name, now) ?? now) - now;
		return Math.max(pauseMilliseconds * (1 + (spread * maximumPauseSpread)), state.shortageEstimate.getRetryAfterMilliseconds(now, spread));
	}

	function refuse(verdict: Verdict, retryAfterMilliseconds = getRetryAfterMilliseconds()): void {
		if (!response.headersSent && !response.destroyed) {
			sendVerdict({
				dialect: context.dialect,
				response,
				verdict,
				requestId,
				isClosing: exchange.decideClose(false),
				retryAfterMilliseconds,
			});
		}

		if (verdict.kind !== 'ran') {
			context.metrics.countRefusal(verdict.reason);
		}

		recordEnd(verdict);
	}

	/** Ends just this request after an unexpected error. It may have run. */
	function fail(error: unknown): void {
		context.onInternalError(error, requestId);
		if (response.headersSent) {
			response.destroy();
		}

		refuse(mayHaveRun('internal-error'));
	}

	try {
		await admit();
	} catch (error) {
		fail(error);
	}

	/** Validates the request, claims its key and dispatches it. */
	async function admit(): Promise<void> {
		if (requestTime === undefined || (key !== undefined && (key.length === 0 || key.length > maximumKeyLength))) {
			refuse(notRun('bad-request'));
			return;
		}

		if (!context.mayDispatch(startedAt)) {
			refuse(notRun('lease-expired'));
			return;
		}

		const deadlineAt = arrivedAt + requestTime.remainingMilliseconds;
		const entered = context.quotaGate.enter(access, deadlineAt);
		const quota = entered instanceof Promise ? await entered : entered;
		if (quota.kind === 'refused') {
			refuse(notRun(quota.reason), quota.retryAfterMilliseconds);
			return;
		}

		token = quota.kind === 'taken' ? quota.token : undefined;
		const isLate = requestTime.elapsedMilliseconds + (startedAt - arrivedAt) > (route.targetMilliseconds ?? Number.POSITIVE_INFINITY) * lateTargetShare;
		const linkAdmission = await admitToLink({
			context, route, method, response, elapsedMilliseconds: requestTime.elapsedMilliseconds, deadlineAt, recordDecision: trace.record,
		});
		if (linkAdmission.kind === 'refused') {
			refuse(linkAdmission.verdict, linkAdmission.retryAfterMilliseconds * (1 + getRetrySpread(requestId)));
			return;
		}

		const prepared = await prepareBody({
			limits: context, incoming, response, isClaimed: key !== undefined, deadlineAt,
		});
		if (prepared.kind === 'refused') {
			refuse(prepared.verdict);
			return;
		}

		const request: RequestContent = {
			method, target, key, isIdempotent, body: prepared.body, stream: prepared.stream,
		};
		const computeFingerprint = (): string => getFingerprint(request);
		if (context.crashTracker.isQuarantined(computeFingerprint)) {
			refuse(notRun('crashes-servers'));
			return;
		}

		let claim: Claim | undefined;
		if (key !== undefined) {
			const body = prepared.body ?? Buffer.alloc(0);
			const outcome = await context.claims.claim({
				service: service.name, workspace, key, digest: getRequestDigest(method, target, body), remainingMilliseconds: deadlineAt - performance.now(),
			});
			if (outcome.kind === 'refused') {
				refuse(outcome.verdict);
				return;
			}

			if (outcome.kind === 'replay') {
				// The stored response was paid for by the request that ran.
				token?.end(false, performance.now());
				const {status, headers, body: storedBody} = outcome.response;
				writeResponseHead(context.dialect, response, {status, headers: [...headers, 'guavadeck-replayed', 'true'], isCloseDelimited: false}, requestId, exchange.decideClose(false));
				response.end(storedBody);
				recordEnd({kind: 'ran', status});
				return;
			}

			claim = outcome.claim;
		}

		dispatchRequest({
			context,
			state,
			service,
			route,
			access,
			rank: getRequestRank(context.getWorkspaces(), access, route),
			request,
			exchange,
			requestId,
			deadlineAt,
			isLate,
			claim,
			token,
			linkUse: linkAdmission.use,
			refuse,
			fail,
			onEnd: recordEnd,
			recordDecision: trace.record,
			computeFingerprint,
		});
	}
}

/**
 * Gets the id that the caller gave to a request if the dialect keeps it, or a new one.
 * @param context - Dependencies that all requests share.
 * @param incoming - Request of the caller.
 */
export function getRequestId(context: Pick<RequestContext, 'dialect' | 'createRequestId'>, incoming: IncomingMessage): string {
	const receivedId = context.dialect.keepsRequestId ? incoming.headers[context.dialect.requestIdHeader] : undefined;
	return typeof receivedId === 'string' ? receivedId : context.createRequestId();
}

function getIdempotencyKey(incoming: IncomingMessage, header: string): string | undefined {
	const value = incoming.headers[header];
	return Array.isArray(value) ? value.join(',') : value;
}
