/**
 * A TCP relay on loopback that can be cut silently: connections stay open, and
 * bytes in a cut direction are lost, as in a network partition.
 */
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';

/** Which directions are cut. */
export type Cut = 'none' | 'both' | 'to' | 'from';

/** A relay that can be cut. */
export type CuttableLink = {
	readonly port: number;
	/** Cuts directions: `to` the target, `from` it, or both. Broken streams are closed when the cut heals. */
	cut(cut: Cut): void;
	close(): void;
};

const host = '127.0.0.1';

/**
 * Starts a relay.
 * @param targetHost - IP number of the target.
 * @param targetPort - Port of the target.
 */
export async function startCuttableLink(targetHost: string, targetPort: number): Promise<CuttableLink> {
	const pairs = new Map<Socket, Socket>();
	let current: Cut = 'none';
	const damaged = new Set<Socket>();

	function relay(from: Socket, to: Socket, direction: 'to' | 'from', client: Socket): void {
		from.on('data', chunk => {
			if (current === 'both' || current === direction) {
				damaged.add(client);
				return;
			}

			to.write(chunk);
		});
		from.on('error', () => {
			from.destroy();
		});
		from.on('close', () => {
			if (current === 'none') {
				to.destroy();
			}
		});
	}

	const server = createServer(client => {
		const target = connect(targetPort, targetHost);
		pairs.set(client, target);
		client.setNoDelay(true);
		target.setNoDelay(true);
		relay(client, target, 'to', client);
		relay(target, client, 'from', client);
		client.once('close', () => {
			pairs.delete(client);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, host, resolve);
	});

	function heal(): void {
		for (const [client, target] of pairs) {
			if (damaged.has(client) || target.destroyed || client.destroyed) {
				client.destroy();
				target.destroy();
			}
		}

		damaged.clear();
	}

	return {
		port: (server.address() as AddressInfo).port,
		cut(cut) {
			current = cut;
			if (cut === 'none') {
				heal();
			}
		},
		close() {
			server.close();
			for (const [client, target] of pairs) {
				client.destroy();
				target.destroy();
			}
		},
	};
}
