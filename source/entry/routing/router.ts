/**
 * Finds the route of a request by host and longest path prefix, and selects its service.
 * Weighted routes use smooth weighted round-robin, so that the shares hold over short
 * periods too. A request stays with its service even when that service has no capacity.
 */
import {type Route, type Service} from '../../configuration/index.js';
import {createElapsedEstimate, type ElapsedEstimate} from '../../limits/index.js';
import {type RouteRank} from '../../workspace/index.js';

const anyHost = '*';

/** Policy for a request, from a route of the document or from a service that is reached directly. */
export type RoutePolicy = RouteRank & {
	readonly name: string;
	/** Whether its requests need no key. */
	readonly isPublic: boolean;
	/** Whether its responses are so large that they occupy the network link of the entry. */
	readonly hasLargeResponses: boolean;
	/** Whether its requests may run more than once; undefined when it depends on the method. */
	readonly isIdempotent: boolean | undefined;
	readonly timeoutMilliseconds: number;
	/** Target latency, if the document sets one. */
	readonly targetMilliseconds: number | undefined;
	/** Estimates how long callers waited before the request arrived. */
	readonly elapsedEstimate: ElapsedEstimate;
	/** Maximum number of servers to which one request may be sent, if the document sets one. */
	readonly attempts: number | undefined;
	/** Selects the service of the next request and returns its name. */
	selectService(): string;
};

/** Finds routes. */
export type Router = {
	/** Gets the route of a request, or undefined when none matches. */
	get(host: string | undefined, target: string): RoutePolicy | undefined;
};

type WeightedService = {readonly service: string; readonly weight: number; credit: number};

/** Creates a smooth weighted round-robin over the services of a route. */
function createWeightedRoundRobin(route: Route, random: () => number): () => string {
	const total = route.parts.reduce((sum, part) => sum + part.weight, 0);
	const services: WeightedService[] = route.parts.map(part => ({...part, credit: random() * part.weight}));
	if (services.length === 1 || total <= 0) {
		return () => services[0]!.service;
	}

	return () => {
		let best = services[0]!;
		for (const service of services) {
			service.credit += service.weight;
			best = service.credit > best.credit ? service : best;
		}

		best.credit -= total;
		return best.service;
	};
}

/** Most and least urgent priority of the routes to a service; the lowest number is the most urgent. */
type PriorityRange = {readonly mostUrgent: number; readonly leastUrgent: number};

function getPriorityRanges(routes: readonly Route[]): ReadonlyMap<string, PriorityRange> {
	const ranges = new Map<string, PriorityRange>();
	for (const {parts, priority} of routes) {
		for (const {service} of parts) {
			const {mostUrgent, leastUrgent} = ranges.get(service) ?? {mostUrgent: priority, leastUrgent: priority};
			ranges.set(service, {mostUrgent: Math.min(mostUrgent, priority), leastUrgent: Math.max(leastUrgent, priority)});
		}
	}

	return ranges;
}

function getRouteRank({parts, priority}: Route, ranges: ReadonlyMap<string, PriorityRange>): RouteRank {
	const serviceRanges = parts.map(({service}) => ranges.get(service)!);
	return {
		isUrgent: serviceRanges.some(({mostUrgent, leastUrgent}) => priority === mostUrgent && mostUrgent < leastUrgent),
		isOutranked: serviceRanges.every(({mostUrgent}) => mostUrgent < priority),
		isFirst: serviceRanges.some(({mostUrgent}) => priority === mostUrgent),
	};
}

function createRoutePolicy(route: Route, ranges: ReadonlyMap<string, PriorityRange>, random: () => number): RoutePolicy {
	const {name, isIdempotent, timeoutMilliseconds, targetMilliseconds, attempts} = route;
	return {
		name,
		isIdempotent,
		timeoutMilliseconds,
		targetMilliseconds,
		...getRouteRank(route, ranges),
		isPublic: route.isPublic ?? false,
		hasLargeResponses: route.hasLargeResponses ?? false,
		elapsedEstimate: createElapsedEstimate(),
		attempts,
		selectService: createWeightedRoundRobin(route, random),
	};
}

function createServicePolicy(service: Service): RoutePolicy {
	return {
		name: service.name,
		isIdempotent: undefined,
		timeoutMilliseconds: service.deadlineMilliseconds,
		targetMilliseconds: undefined,
		isUrgent: false,
		isOutranked: false,
		isFirst: true,
		isPublic: false,
		hasLargeResponses: false,
		elapsedEstimate: createElapsedEstimate(),
		attempts: undefined,
		selectService: () => service.name,
	};
}

/** Path prefix of a route; a path declared by a route matches only as written, including a trailing slash. */
type RouteEntry = {readonly path: string; readonly policy: RoutePolicy};

/**
 * Creates a router.
 * @param services - Services of the document in force.
 * @param routes - Routes of the document, if it has any; services are then reached only through routes.
 * @param random - Source of random numbers for the starting point of the round-robin.
 */
export function createRouter(services: readonly Service[], routes?: readonly Route[], random: () => number = Math.random): Router {
	const routesByHost = new Map<string, Map<string, RouteEntry>>();

	function addRoute(host: string | undefined, path: string, policy: RoutePolicy): void {
		const key = host?.toLowerCase() ?? anyHost;
		const routesByPath = routesByHost.get(key) ?? new Map<string, RouteEntry>();
		routesByPath.set(trimTrailingSlash(path), {path: routes === undefined ? trimTrailingSlash(path) : path, policy});
		routesByHost.set(key, routesByPath);
	}

	if (routes === undefined) {
		for (const service of services) {
			addRoute(service.host, service.path, createServicePolicy(service));
		}
	} else {
		const ranges = getPriorityRanges(routes);
		for (const route of routes) {
			addRoute(route.host, route.path, createRoutePolicy(route, ranges, random));
		}
	}

	function findByPath(routesByPath: ReadonlyMap<string, RouteEntry> | undefined, target: string): RoutePolicy | undefined {
		if (routesByPath === undefined) {
			return undefined;
		}

		const requestPath = getPath(target);
		for (let prefix = trimTrailingSlash(requestPath); ; prefix = prefix.slice(0, prefix.lastIndexOf('/'))) {
			const entry = routesByPath.get(prefix);
			if (entry !== undefined && requestPath.startsWith(entry.path)) {
				return entry.policy;
			}

			if (prefix === '') {
				return undefined;
			}
		}
	}

	return {
		get(host, target) {
			const hostRoutes = host === undefined || routesByHost.size === 0 ? undefined : routesByHost.get(getHostName(host));
			return findByPath(hostRoutes, target) ?? findByPath(routesByHost.get(anyHost), target);
		},
	};
}

function getPath(target: string): string {
	const end = target.search(/[#?]/v);
	return end === -1 ? target : target.slice(0, end);
}

function trimTrailingSlash(path: string): string {
	return path.endsWith('/') ? path.slice(0, -1) : path;
}

function getHostName(host: string): string {
	const colon = host.lastIndexOf(':');
	const name = colon > host.lastIndexOf(']') ? host.slice(0, colon) : host;
	return name.toLowerCase();
}
