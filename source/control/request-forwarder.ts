/** Handles requests on this control host if it leads, and forwards them to the leader otherwise. */
import {performance} from 'node:perf_hooks';
import {type ControlClient} from '../control-client/index.js';
import {type LeaderRequestHandler} from './leader-request-handler.js';
import {type ControlRequest, type ControlResponse} from './message.js';

/** Time after which an attempt to forward a request has failed, in milliseconds. */
export const forwardAttemptTimeoutMilliseconds = 200;

/** Forwards requests. */
export type RequestForwarder = {
	/** Handles a request on this host, or makes one attempt to forward it to the leader. */
	tryRequest(request: ControlRequest): Promise<ControlResponse>;
	/** Handles a request on this host or forwards it to the leader, with retries during an election. */
	forward(request: ControlRequest): Promise<ControlResponse>;
};

/** Options of `createRequestForwarder`. */
export type RequestForwarderOptions = {
	readonly requestHandler: LeaderRequestHandler;
	readonly client: ControlClient;
	/** Time for which a request is tried again. */
	readonly forwardMilliseconds: number;
};

/**
 * Creates the forwarder of a control host.
 * @param options - Handler of this host, and client of the others.
 */
export function createRequestForwarder(options: RequestForwarderOptions): RequestForwarder {
	const {requestHandler, client, forwardMilliseconds} = options;

	async function tryRequest(request: ControlRequest): Promise<ControlResponse> {
		const ownResponse = await requestHandler.handle(request);
		return ownResponse.kind === 'notLeader' ? client.submit(request, forwardAttemptTimeoutMilliseconds) : ownResponse;
	}

	return {
		tryRequest,
		async forward(request) {
			const until = performance.now() + forwardMilliseconds;
			for (;;) {
				const response = await tryRequest(request);
				const isAnswered = response.kind !== 'notLeader' && response.kind !== 'unknown';
				if (isAnswered || performance.now() > until) {
					return response;
				}
			}
		},
	};
}
