/**
 * TCP relay on loopback that simulates network partitions. Data in a blocked direction is
 * discarded while the connections stay open; as long as any direction is blocked, closing
 * one side of a connection does not close the other.
 */
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';

/** Directions in which a relay discards data: `to` the target, `from` the target, `both` or `none`. */
export type BlockedDirection = 'none' | 'both' | 'to' | 'from';

/** A running relay. */
export type Relay = {
	readonly port: number;
	/** Sets in which directions data is discarded. `none` ends the partition and destroys the connections that lost data or whose target has closed. */
	setBlockedDirection(direction: BlockedDirection): void;
	close(): void;
};

const host = '127.0.0.1';

/**
 * Starts a relay.
 * @param targetHost - IP address of the target.
 * @param targetPort - Port of the target.
 */
export async function startRelay(targetHost: string, targetPort: number): Promise<Relay> {
	const targetsByClient = new Map<Socket, Socket>();
	let blockedDirection: BlockedDirection = 'none';
	const clientsWithLostData = new Set<Socket>();

	/** Forwards data from one socket to the other unless the direction is blocked. */
	function forward(from: Socket, to: Socket, direction: 'to' | 'from', client: Socket): void {
		from.on('data', chunk => {
			if (blockedDirection === 'both' || blockedDirection === direction) {
				clientsWithLostData.add(client);
				return;
			}

			to.write(chunk);
		});
		from.on('error', () => {
			from.destroy();
		});
		from.on('close', () => {
			if (blockedDirection === 'none') {
				to.destroy();
			}
		});
	}

	const server = createServer(client => {
		const target = connect(targetPort, targetHost);
		targetsByClient.set(client, target);
		client.setNoDelay(true);
		target.setNoDelay(true);
		forward(client, target, 'to', client);
		forward(target, client, 'from', client);
		client.once('close', () => {
			targetsByClient.delete(client);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, host, resolve);
	});

	/** Destroys the connections that lost data or whose target has closed. */
	function destroyBrokenConnections(): void {
		for (const [client, target] of targetsByClient) {
			if (clientsWithLostData.has(client) || target.destroyed || client.destroyed) {
				client.destroy();
				target.destroy();
			}
		}

		clientsWithLostData.clear();
	}

	return {
		port: (server.address() as AddressInfo).port,
		setBlockedDirection(direction) {
			blockedDirection = direction;
			if (direction === 'none') {
				destroyBrokenConnections();
			}
		},
		close() {
			server.close();
			for (const [client, target] of targetsByClient) {
				client.destroy();
				target.destroy();
			}
		},
	};
}
