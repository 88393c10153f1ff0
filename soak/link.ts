/**
 * TCP link on loopback whose faults delay, hold, discard or reset what passes. What is held is delivered later in the order in
 * which it arrived, the closes of the connections included.
 */
import {type Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {abortConnection} from './abort-connection.js';

/** Direction of a fault: `to` the target, `from` it, or both. */
export type Direction = 'to' | 'from' | 'both';

/** Fault of a link. */
export type LinkFault
	/** Delivers everything later by the given time. */
	= | {readonly kind: 'delay'; readonly milliseconds: number}
	/** Delivers nothing until the fault is over. Then each connection's bytes are delivered, and its close that much later, or never if it is infinite. */
		| {readonly kind: 'hold'; readonly direction: Direction; readonly closeMilliseconds: number}
	/** As `hold`, for the connections that are open when the fault starts. Later ones pass. */
		| {readonly kind: 'hold-open'; readonly direction: Direction; readonly closeMilliseconds: number}
	/** Discards bytes and closes. */
		| {readonly kind: 'cut'; readonly direction: Direction}
	/**
	 * Happens at once and lasts for the open connections: the receiving end of the direction is reset, and the other end, whose bytes
	 * are discarded, is not told. Later connections pass.
	 */
		| {readonly kind: 'half-open'; readonly direction: 'to' | 'from'}
	/** Resets all open connections, and new ones until the fault is over. */
		| {readonly kind: 'reset'};

/** A link that is open. */
export type Link = {
	/** Starts a fault, which replaces the current one. */
	start(fault: LinkFault): void;
	/** Ends the current fault. Connections that lost bytes are reset. */
	end(): void;
	close(): void;
};

/** Options of `openLink`. */
export type LinkOptions = {readonly host: string; readonly port: number; readonly targetHost: string; readonly targetPort: number};

type Connection = {
	readonly client: Socket;
	readonly target: Socket;
	hasLostBytes: boolean;
	isHalfOpen: boolean;
	/** Whether the connection was opened after the current fault started. */
	isLater: boolean;
};

function isConcerned(fault: LinkFault | undefined, direction: 'to' | 'from'): boolean {
	return fault !== undefined && 'direction' in fault && (fault.direction === 'both' || fault.direction === direction);
}

/**
 * Opens a link.
 * @param options - Addresses of the link and of its target.
 */
export async function openLink(options: LinkOptions): Promise<Link> {
	const connections = new Set<Connection>();
	let fault: LinkFault | undefined;
	let release: (() => void) | undefined;
	let released: Promise<void> = Promise.resolve();

	/** Passes on the events of one direction of a connection in order. */
	function forward(from: Socket, to: Socket, direction: 'to' | 'from', connection: Connection): void {
		let tail: Promise<void> = Promise.resolve();

		function pass(deliver: () => void, isClose: boolean): void {
			if (connection.isHalfOpen) {
				return;
			}

			const seen = fault?.kind === 'hold-open' && connection.isLater ? undefined : fault;
			if (seen?.kind === 'cut' && isConcerned(seen, direction)) {
				connection.hasLostBytes = true;
				return;
			}

			const isHeld = (seen?.kind === 'hold' || seen?.kind === 'hold-open') && isConcerned(seen, direction);
			const until = isHeld ? released : undefined;
			const closeMilliseconds = isHeld && isClose ? seen.closeMilliseconds : 0;
			if (closeMilliseconds === Infinity) {
				return;
			}

			const dueAt = performance.now() + (seen?.kind === 'delay' ? seen.milliseconds : 0);
			tail = tail.then(async () => {
				await until;
				const restMilliseconds = isHeld ? closeMilliseconds : dueAt - performance.now();
				if (restMilliseconds > 0) {
					await delay(restMilliseconds);
				}

				if (!to.destroyed && !connection.isHalfOpen) {
					deliver();
				}
			});
		}

		from.on('data', (chunk: Buffer) => {
			pass(() => {
				to.write(chunk);
			}, false);
		});
		from.once('end', () => {
			// Node emits `end` for a reset that arrives together with the last bytes; the socket then has no peer.
			const isReset = from.remotePort === undefined;
			pass(() => {
				if (isReset) {
					abortConnection(to);
				} else {
					to.end();
				}
			}, true);
		});
		from.on('error', () => {
			pass(() => {
				abortConnection(to);
			}, true);
		});
		from.once('close', () => {
			if (from.destroyed && !from.readableEnded) {
				pass(() => {
					to.destroy();
				}, true);
			}
		});
	}

	const server = createServer({allowHalfOpen: true, noDelay: true}, client => {
		if (fault?.kind === 'reset') {
			abortConnection(client);
			return;
		}

		const target = connect({
			host: options.targetHost, port: options.targetPort, allowHalfOpen: true, noDelay: true,
		});
		const connection: Connection = {
			client, target, hasLostBytes: false, isHalfOpen: false, isLater: true,
		};
		connections.add(connection);
		forward(client, target, 'to', connection);
		forward(target, client, 'from', connection);
		for (const socket of [client, target]) {
			socket.once('close', () => {
				if (client.destroyed && target.destroyed) {
					connections.delete(connection);
				}
			});
		}
	});
	server.listen(options.port, options.host);
	await once(server, 'listening');

	function resetConnections(isConcernedBy: (connection: Connection) => boolean): void {
		for (const connection of connections) {
			if (isConcernedBy(connection)) {
				abortConnection(connection.client);
				abortConnection(connection.target);
			}
		}
	}

	/** Resets one end of each open connection. The other end stays open until its own process closes it. */
	function halfOpenConnections(direction: 'to' | 'from'): void {
		for (const connection of connections) {
			connection.isHalfOpen = true;
			abortConnection(direction === 'to' ? connection.target : connection.client);
		}
	}

	function end(): void {
		fault = undefined;
		release?.();
		release = undefined;
		resetConnections(({hasLostBytes}) => hasLostBytes);
	}

	return {
		start(next) {
			end();
			if (next.kind === 'half-open') {
				halfOpenConnections(next.direction);
				return;
			}

			fault = next;
			for (const connection of connections) {
				connection.isLater = false;
			}

			if (next.kind === 'hold' || next.kind === 'hold-open') {
				released = new Promise(resolve => {
					release = resolve;
				});
			} else if (next.kind === 'reset') {
				resetConnections(() => true);
			}
		},
		end,
		close() {
			end();
			server.close();
			resetConnections(() => true);
		},
	};
}
