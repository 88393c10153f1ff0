/** Admits requests with large responses to the link of the entry, before their bodies are read. Other requests need no admission. */
import {performance} from 'node:perf_hooks';
import {type ServerResponse} from 'node:http';
import {type Link, type LinkRequest, type LinkUse} from '../../link/index.js';
import {notRun, type Verdict} from '../../verdict/index.js';
import {type Decision} from '../reporting/index.js';
import {type RequestContext} from '../requests/index.js';
import {type RoutePolicy} from '../routing/index.js';

/** Request that may need the link. */
export type LinkRequester = {
	readonly context: Pick<RequestContext, 'link'>;
	readonly route: RoutePolicy;
	readonly method: string;
	/** Response to the caller, whose end ends the use of the link. */
	readonly response: ServerResponse;
	/** Estimated time that the caller has spent, in milliseconds. */
	readonly elapsedMilliseconds: number;
	/** Time in milliseconds by which the request must have ended. */
	readonly deadlineAt: number;
	/** Records a decision for the log. */
	recordDecision(decision: Decision): void;
};

/** Outcome of the admission; a request that needs none has no use of the link. */
export type LinkAdmission
	= | {readonly kind: 'admitted'; readonly use: LinkUse | undefined}
		| {readonly kind: 'refused'; readonly verdict: Verdict; readonly retryAfterMilliseconds: number};

const unneeded: LinkAdmission = {kind: 'admitted', use: undefined};

/**
 * Admits a request to the link, at once or after a wait.
 * @param requester - Request whose route is known.
 */
export function admitToLink(requester: LinkRequester): LinkAdmission | Promise<LinkAdmission> {
	const {
		context: {link}, route, method, response,
	} = requester;
	if (link === undefined || !route.hasLargeResponses || method === 'HEAD' || response.destroyed) {
		return unneeded;
	}

	return waitForLink(link, requester);
}

async function waitForLink(link: Link, requester: LinkRequester): Promise<LinkAdmission> {
	const {route, response, elapsedMilliseconds, recordDecision} = requester;
	const targetMilliseconds = route.targetMilliseconds ?? route.timeoutMilliseconds;
	const remainingBytes = Math.round(link.getRemainingBytes());
	let onAdmitted = doNothing;
	const request: LinkRequest = {
		route: route.name,
		targetMilliseconds,
		leftMilliseconds: targetMilliseconds - elapsedMilliseconds,
		onAdmitted() {
			onAdmitted();
		},
	};

	function refuse(): LinkAdmission {
		recordDecision({kind: 'link', outcome: 'refused', remainingBytes});
		return {kind: 'refused', verdict: notRun('link-busy'), retryAfterMilliseconds: link.getWait(request)};
	}

	const decision = link.arrive(request);
	if (decision.kind === 'refused') {
		return refuse();
	}

	const {use} = decision;
	response.once('close', use.end);
	if (decision.kind === 'waiting') {
		const deadlineMilliseconds = Math.max(0, requester.deadlineAt - performance.now());
		const isAdmitted = await new Promise<boolean>(resolve => {
			const timer = setTimeout(resolve, Math.min(decision.maximumMilliseconds, deadlineMilliseconds), false);
			onAdmitted = () => {
				clearTimeout(timer);
				resolve(true);
			};
		});
		if (!isAdmitted) {
			use.end();
			return refuse();
		}

		recordDecision({kind: 'link', outcome: 'admitted', remainingBytes});
	}

	return {kind: 'admitted', use};
}

function doNothing(): void {
	// A request that is admitted at once does not wait.
}
