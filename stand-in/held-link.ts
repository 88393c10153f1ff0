/**
 * TCP link on loopback that can hold what callers send, as a slow path or a proxy does, and deliver it later in order. Data that is
 * delivered late can come without the close that followed it, since that close may be lost with the machine that sent it.
 */
import {type Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';

const linkHost = '127.0.0.1';

/** A running link. */
export type HeldLink = {
	readonly port: number;
	/** Starts to hold the data and the closes of all callers. The other direction is not held. */
	hold(): void;
	/** Delivers the data that was held, and whatever comes from then on. Closes that were held are delivered after it, or never. */
	release(closes: 'delivered' | 'lost'): void;
	close(): void;
};

/** Connection of a caller, and what the link holds of it. */
type Connection = {
	readonly caller: Socket;
	readonly target: Socket;
	heldData: Buffer[];
	hasHeldClose: boolean;
};

/**
 * Starts a link that holds nothing yet.
 * @param targetHost - IP address of the target.
 * @param targetPort - Port of the target.
 */
export async function startHeldLink(targetHost: string, targetPort: number): Promise<HeldLink> {
	const connections = new Set<Connection>();
	let isHeld = false;

	function forwardCalls(connection: Connection): void {
		const {caller, target} = connection;
		caller.on('data', (data: Buffer) => {
			if (isHeld) {
				connection.heldData.push(data);
			} else {
				target.write(data);
			}
		});
		caller.on('close', () => {
			if (isHeld) {
				connection.hasHeldClose = true;
			} else {
				target.destroy();
			}
		});
	}

	function forwardResponses({caller, target}: Connection): void {
		target.on('data', (data: Buffer) => {
			if (!caller.destroyed) {
				caller.write(data);
			}
		});
		target.on('close', () => {
			caller.destroy();
		});
	}

	function deliver(connection: Connection, closes: 'delivered' | 'lost'): void {
		const {target, heldData, hasHeldClose} = connection;
		connection.heldData = [];
		connection.hasHeldClose = false;
		for (const data of heldData) {
			target.write(data);
		}

		if (hasHeldClose && closes === 'delivered') {
			target.end();
		}
	}

	const server = createServer(caller => {
		const target = connect(targetPort, targetHost);
		const connection: Connection = {
			caller, target, heldData: [], hasHeldClose: false,
		};
		connections.add(connection);
		for (const socket of [caller, target]) {
			socket.setNoDelay(true);
			socket.on('error', () => {
				socket.destroy();
			});
		}

		target.once('close', () => {
			connections.delete(connection);
		});
		forwardCalls(connection);
		forwardResponses(connection);
	});
	server.listen(0, linkHost);
	await once(server, 'listening');

	return {
		port: (server.address() as AddressInfo).port,
		hold() {
			isHeld = true;
		},
		release(closes) {
			isHeld = false;
			for (const connection of connections) {
				deliver(connection, closes);
			}
		},
		close() {
			server.close();
			for (const {caller, target} of connections) {
				caller.destroy();
				target.destroy();
			}
		},
	};
}
