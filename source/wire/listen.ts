/** Starts servers. The error for an address that cannot be listened on names its setting and how to correct it. */
import {type Server} from 'node:net';

/** Thrown when a server cannot listen on its address. */
export class ListenError extends Error {
	override readonly name = 'ListenError';
}

const explanations: Readonly<Record<string, string>> = {
	EADDRINUSE: 'is taken by another process; stop it or choose another port',
	EADDRNOTAVAIL: 'is not an address of this host; use one of its IP addresses',
	EACCES: 'requires privileges that this user lacks; choose a port above 1023',
};

/** Options of `listen`. */
export type ListenOptions = {
	/** Name of the setting that holds the address. */
	readonly setting: string;
	readonly host: string;
	/** Port, or 0 for any free port. */
	readonly port: number;
};

/**
 * Starts a server and returns the port that it listens on.
 * @param server - Server that is not listening yet.
 * @param options - Address, and the setting that holds it.
 * @throws ListenError when the server cannot listen on the address.
 */
export async function listen(server: Server, options: ListenOptions): Promise<number> {
	const {setting, host, port} = options;
	await new Promise<void>((resolve, reject) => {
		function fail(error: NodeJS.ErrnoException): void {
			reject(new ListenError(`${setting}: ${host} port ${port} ${explain(error)}`));
		}

		server.once('error', fail);
		server.listen(port, host, () => {
			server.off('error', fail);
			resolve();
		});
	});
	const address = server.address();
	return typeof address === 'object' && address !== null ? address.port : port;
}

function explain(error: NodeJS.ErrnoException): string {
	const code = error.code ?? error.message;
	return explanations[code] ?? `cannot be listened on (${code}); choose another address`;
}
