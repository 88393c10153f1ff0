/**
 * Test bed for single attempts: a fresh pool of connections, and a server whose responses the test determines, down to single
 * bytes. Attempts that follow one another use the same connection while it stays open.
 */
import {once} from 'node:events';
import {createServer, type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {startAttempt} from '../source/entry/servers/attempt.js';
import {type AttemptOutcome} from '../source/entry/servers/attempt-outcome.js';
import {type Dialect} from '../source/entry/index.js';
import {createPool} from '../source/entry/servers/pool.js';
import {createAttemptOptions} from './attempt-options.js';

const loopback = '127.0.0.1';
const defaultDeadlineMilliseconds = 2000;
const maximumConnections = 4;

/** Test bed with a fresh pool. */
export type AttemptBed = {
	/** Sends a request with an id, and gets the outcome. */
	attempt(requestId: string, method?: string): Promise<AttemptOutcome>;
	/** Gets the number of connections that the server has accepted. */
	getConnectionCount(): number;
	stop(): void;
};

/** Options of `startAttemptBed`. */
export type AttemptBedOptions = {
	readonly dialect: Dialect;
	/** Time that each request has, in milliseconds. */
	readonly deadlineMilliseconds?: number;
	/** Responds to a request with raw bytes on its connection. */
	respond(requestId: string, socket: Socket): void;
};

/**
 * Starts a test bed.
 * @param options - Dialect, and responses of the server.
 */
export async function startAttemptBed(options: AttemptBedOptions): Promise<AttemptBed> {
	const {dialect} = options;
	const idPattern = new RegExp(String.raw`${dialect.requestIdHeader}: (\S+)\r\n`, 'iv');
	const sockets = new Set<Socket>();
	const server = createServer(socket => {
		sockets.add(socket);
		socket.on('data', chunk => {
			const id = idPattern.exec(chunk.toString('latin1'))?.[1];
			if (id !== undefined) {
				options.respond(id, socket);
			}
		});
		socket.on('error', () => {
			socket.destroy();
		});
	});
	server.listen(0, loopback);
	await once(server, 'listening');
	const {port} = server.address() as {readonly port: number};
	const pool = createPool(loopback, port, maximumConnections);
	return {
		async attempt(requestId, method = 'GET') {
			const outcome = await new Promise<AttemptOutcome>((resolve, reject) => {
				startAttempt(createAttemptOptions({
					pool,
					dialect,
					requestId,
					method,
					headers: ['host', 'any', dialect.requestIdHeader, requestId],
					deadlineAt: performance.now() + (options.deadlineMilliseconds ?? defaultDeadlineMilliseconds),
					onError: reject,
					onEnd: resolve,
				}));
			});
			// The connection is free for the next attempt one turn after the end of the response.
			await nextTurn();
			return outcome;
		},
		getConnectionCount: () => sockets.size,
		stop() {
			pool.close();
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}

/**
 * Describes an outcome: the reason of a failure, or the status and the body.
 * @param outcome - Outcome of an attempt.
 */
export function describeOutcome(outcome: AttemptOutcome): string {
	switch (outcome.kind) {
		case 'failed': {
			return outcome.verdict.kind === 'ran' ? 'ran' : `${outcome.verdict.kind} ${outcome.verdict.reason}`;
		}

		case 'large': {
			return `${outcome.head.status} large`;
		}

		case 'whole': {
			return `${outcome.head.status} ${outcome.body.toString('latin1')}`.trim();
		}
	}
}
