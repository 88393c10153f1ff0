/** Starts to listen, with an error that an operator can act on. */
import {type Server} from 'node:net';

/** Raised when an address can't be listened on. */
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
	/** Port, or 0 for any. */
	readonly port: number;
};

/**
 * Starts to listen and gets the port.
 * @param server - Server that does not listen yet.
 * @param options - Address, and the setting that holds it.
 * @throws ListenError when the address is taken or is not this host's.
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
