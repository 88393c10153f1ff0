/** Starts servers, and reports an address that can't be listened on with its setting and the way to correct it. */
import {type Server} from 'node:net';

/** Raised when a server can't listen on its address. */
export class ListenError extends Error {
	override readonly name = 'ListenError';
}

const explanations: Readonly<Record<string, string>> = {
	EADDRINUSE: 'is taken by another process; stop it or choose another port',
	EADDRNOTAVAIL: 'is not an address of this host; use one of its own IP numbers',
	EACCES: 'may not be listened on by this user; choose a port above 1023',
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
 * Starts a server and gets the port that it listens on.
 * @param server - Server that isn't listening yet.
 * @param options - Address, and the setting that holds it.
 * @throws ListenError when the server can't listen on the address.
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
	return explanations[code] ?? `can't be listened on (${code}); choose another address`;
}
