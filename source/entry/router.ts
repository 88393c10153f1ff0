/**
 * Finds the route of a request by host and longest path prefix, and the service that
 * takes it. Services of a weighted route take turns in proportion to their weights, so
 * that their parts hold over short times too; a request keeps its service even when
 * that one has no room.
 */
import {type Route, type Service} from '../configuration/index.js';
import {createElapsedEstimate, type ElapsedEstimate} from '../limits/index.js';

const anyHost = '*';

/** How a request is treated, from a route of the document or from a service that is reached directly. */
export type RoutePolicy = {
	readonly name: string;
	/** Whether its requests may run more than once; undefined where it depends on the method. */
	readonly isIdempotent: boolean | undefined;
	readonly timeoutMilliseconds: number;
	/** Time within which an answer is worth its whole value, where the document says. */
	readonly targetMilliseconds: number | undefined;
	/** Whether it has the most urgent rank at one of its services, where not all routes have the same. */
	readonly isUrgent: boolean;
	/** Whether each of its services has a route of a more urgent rank. */
	readonly isOutranked: boolean;
	/** Estimates how long its callers have waited before. */
	readonly elapsed: ElapsedEstimate;
	/** Servers at most to which one request may be sent, where the document says. */
	readonly attempts: number | undefined;
	/** Gets the name of the service that takes the next request. */
	takeService(): string;
};

/** Finds routes. */
export type Router = {
	/** Gets the route of a request, or undefined when none matches. */
	get(host: string | undefined, target: string): RoutePolicy | undefined;
};

type Turn = {readonly service: string; readonly weight: number; credit: number};

/** Lets services take turns in proportion to their weights, as evenly as possible. */
function createTurns(route: Route, random: () => number): () => string {
	const total = route.parts.reduce((sum, part) => sum + part.weight, 0);
	const turns: Turn[] = route.parts.map(part => ({...part, credit: random() * part.weight}));
	if (turns.length === 1 || total <= 0) {
		return () => turns[0]!.service;
	}

	return () => {
		let best = turns[0]!;
		for (const turn of turns) {
			turn.credit += turn.weight;
			best = turn.credit > best.credit ? turn : best;
		}

		best.credit -= total;
		return best.service;
	};
}

/** Most and least urgent rank of the routes to a service; the lowest number is the most urgent. */
type RankSpan = {readonly most: number; readonly least: number};

function getRankSpans(routes: readonly Route[]): ReadonlyMap<string, RankSpan> {
	const spans = new Map<string, RankSpan>();
	for (const {parts, priority} of routes) {
		for (const {service} of parts) {
			const {most, least} = spans.get(service) ?? {most: priority, least: priority};
			spans.set(service, {most: Math.min(most, priority), least: Math.max(least, priority)});
		}
	}

	return spans;
}

/** Checks whether a route is more urgent than another one to one of its services, and none is more urgent. */
function isMostUrgent(route: Route, spans: ReadonlyMap<string, RankSpan>): boolean {
	return route.parts.some(({service}) => {
		const {most, least} = spans.get(service)!;
		return route.priority === most && most < least;
	});
}

/** Checks whether another route to each of its services is more urgent. */
function isOutranked(route: Route, spans: ReadonlyMap<string, RankSpan>): boolean {
	return route.parts.every(({service}) => spans.get(service)!.most < route.priority);
}

function fromRoute(route: Route, spans: ReadonlyMap<string, RankSpan>, random: () => number): RoutePolicy {
	const {name, isIdempotent, timeoutMilliseconds, targetMilliseconds, attempts} = route;
	return {
		name,
		isIdempotent,
		timeoutMilliseconds,
		targetMilliseconds,
		isUrgent: isMostUrgent(route, spans),
		isOutranked: isOutranked(route, spans),
		elapsed: createElapsedEstimate(),
		attempts,
		takeService: createTurns(route, random),
	};
}

function fromService(service: Service): RoutePolicy {
	return {
		name: service.name,
		isIdempotent: undefined,
		timeoutMilliseconds: service.deadlineMilliseconds,
		targetMilliseconds: undefined,
		isUrgent: false,
		isOutranked: false,
		elapsed: createElapsedEstimate(),
		attempts: undefined,
		takeService: () => service.name,
	};
}

/** A path that a route serves; a declared one matches only as it is written. */
type Place = {readonly path: string; readonly policy: RoutePolicy};

/**
 * Creates a router.
 * @param services - Services of the document in force.
 * @param routes - Routes of the document, if it has any; services are then reached through them alone.
 * @param random - Source of random numbers, for the service that begins.
 */
export function createRouter(services: readonly Service[], routes?: readonly Route[], random: () => number = Math.random): Router {
	const places = new Map<string, Map<string, Place>>();

	function put(host: string | undefined, path: string, policy: RoutePolicy): void {
		const key = host?.toLowerCase() ?? anyHost;
		const paths = places.get(key) ?? new Map<string, Place>();
		paths.set(trimSlash(path), {path: routes === undefined ? trimSlash(path) : path, policy});
		places.set(key, paths);
	}

	if (routes === undefined) {
		for (const service of services) {
			put(service.host, service.path, fromService(service));
		}
	} else {
		const spans = getRankSpans(routes);
		for (const route of routes) {
			put(route.host, route.path, fromRoute(route, spans, random));
		}
	}

	function getByPath(paths: ReadonlyMap<string, Place> | undefined, target: string): RoutePolicy | undefined {
		if (paths === undefined) {
			return undefined;
		}

		const whole = getPath(target);
		for (let path = trimSlash(whole); ; path = path.slice(0, path.lastIndexOf('/'))) {
			const place = paths.get(path);
			if (place !== undefined && whole.startsWith(place.path)) {
				return place.policy;
			}

			if (path === '') {
				return undefined;
			}
		}
	}

	return {
		get(host, target) {
			const byHost = host === undefined || places.size === 0 ? undefined : places.get(getHostName(host));
			return getByPath(byHost, target) ?? getByPath(places.get(anyHost), target);
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
