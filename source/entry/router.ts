/** Finds the service of a request by host and longest path prefix. */
import {type Service} from '../configuration/index.js';

const anyHost = '*';

/** Finds services. */
export type Router = {
	/** Gets the service of a request, or undefined when no route matches. */
	get(host: string | undefined, target: string): Service | undefined;
};

/**
 * Creates a router.
 * @param services - Services of the document in force.
 */
export function createRouter(services: readonly Service[]): Router {
	const routes = new Map<string, Map<string, Service>>();
	for (const service of services) {
		const host = service.host?.toLowerCase() ?? anyHost;
		const paths = routes.get(host) ?? new Map<string, Service>();
		paths.set(trimSlash(service.path), service);
		routes.set(host, paths);
	}

	function getByPath(paths: ReadonlyMap<string, Service> | undefined, target: string): Service | undefined {
		if (paths === undefined) {
			return undefined;
		}

		for (let path = trimSlash(getPath(target)); ; path = path.slice(0, path.lastIndexOf('/'))) {
			const service = paths.get(path);
			if (service !== undefined || path === '') {
				return service;
			}
		}
	}

	return {
		get(host, target) {
			const byHost = host === undefined || routes.size === 0 ? undefined : routes.get(getHostName(host));
			return getByPath(byHost, target) ?? getByPath(routes.get(anyHost), target);
		},
	};
}

function getPath(target: string): string {
	const end = target.search(/[#?]/v);
	return end === -1 ? target : target.slice(0, end);
}

function trimSlash(path: string): string {
	return path.endsWith('/') ? path.slice(0, -1) : path;
}

function getHostName(host: string): string {
	const colon = host.lastIndexOf(':');
	const name = colon > host.lastIndexOf(']') ? host.slice(0, colon) : host;
	return name.toLowerCase();
}
