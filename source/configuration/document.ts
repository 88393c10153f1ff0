/**
 * Schema of the environment document, which defines the services, the routes, the availability zones in
 * service, the slow start of new servers, and the limits of probes and of callers' requests.
 */
import * as z from 'zod';

const name = z.string().regex(/^[a-z\d][a-z\d\-]{0,62}$/v, 'use 1 to 63 lower-case letters, digits and hyphens');
const share = z.number().gt(0).lt(1);

/** Service-level objective: share of successful requests, and share of requests within a latency. */
const objective = z.strictObject({
	availability: share.default(0.999),
	latencyMilliseconds: z.number().positive().default(250),
	latencyShare: share.default(0.99),
}).readonly();

/** Slow start of a cold server: its slots at first, their growth, and the time after which it counts as warm. */
const easing = z.strictObject({
	initialSlots: z.number().int().min(1).max(1000).default(1),
	growthPerSuccess: z.number().min(0.001).max(10).default(0.1),
	ceilingMilliseconds: z.number().int().min(100).max(3_600_000).default(30_000),
}).readonly();

const warmUp = z.strictObject({
	/** Time for which a server is cold after its start, in milliseconds. */
	milliseconds: z.number().min(0).max(3_600_000),
	/** Requests per second that a cold server can process, summed over all entries. */
	requestsPerSecond: z.number().min(0).max(1_000_000),
}).readonly();

const part = z.strictObject({
	service: name,
	weight: z.number().min(0),
}).readonly();

const route = z.strictObject({
	name: z.string().min(1).max(253),
	host: z.string().min(1).max(253).optional(),
	path: z.string().startsWith('/').default('/'),
	/** Services among which the requests of the route are divided in proportion to their weights. */
	parts: z.array(part).min(1, 'list at least one service').readonly(),
	/** Whether a request of the route may be executed more than once. */
	isIdempotent: z.boolean(),
	timeoutMilliseconds: z.number().min(1).max(3_600_000),
	targetMilliseconds: z.number().min(1).max(3_600_000),
	/** Priority of the requests; 0 is the highest. */
	priority: z.number().int().min(0).max(1000).default(0),
	/** Maximum number of servers to which one request may be sent. */
	attempts: z.number().int().min(1).max(100),
	// The following fields have no default, so that documents without them stay short.
	/** Whether requests of the route need no key, although the document has workspaces. */
	isPublic: z.boolean().optional(),
	/** Whether responses of the route are so large that they occupy the network link of an entry. */
	hasLargeResponses: z.boolean().optional(),
}).readonly();

const quota = z.strictObject({
	/** Requests per second, summed over all entries. */
	requestsPerSecond: z.number().positive().max(1_000_000_000),
	/** Requests that may exceed the rate at once after a time without requests. */
	burst: z.number().min(0).max(1_000_000_000).default(0),
}).readonly();

const workspace = z.strictObject({
	/** Name that servers receive; printable, because it is the value of a header. */
	name: z.string().regex(/^[\u0021-\u007E]{1,256}$/v, 'use 1 to 256 printable ASCII characters without spaces'),
	/** SHA-256 digests of the keys of its callers, in hexadecimal. The keys themselves are not part of the document. */
	keyDigests: z.array(z.string().regex(/^[\da-f]{64}$/v, 'use the SHA-256 digest of the key, 64 hexadecimal digits')).readonly(),
	/** Priority of its requests; 0 is the highest. It goes before the priority of the route. */
	priority: z.number().int().min(0).max(1000).optional(),
	quota: quota.optional(),
}).readonly();

const clientLimits = z.strictObject({
	headerBytes: z.number().int().min(256),
	bodyBytes: z.number().int().min(0),
	headerMilliseconds: z.number().min(1),
	idleMilliseconds: z.number().min(1),
}).readonly();

const service = z.strictObject({
	name,
	host: z.string().min(1).max(253).optional(),
	path: z.string().startsWith('/').default('/'),
	idempotentMethods: z.array(z.string().regex(/^[A-Z]+$/v)).default(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']).readonly(),
	keyHeader: z.string().regex(/^[a-z\-]+$/v, 'use lower-case letters and hyphens').default('idempotency-key'),
	deadlineMilliseconds: z.number().int().min(10).max(600_000).default(2000),
	queueLength: z.number().int().min(0).max(100_000).default(200),
	retryRatio: z.number().min(0).max(1).default(0.1),
	hedgeRatio: z.number().min(0).max(0.5).default(0.05),
	// No default, because defaults are written into the documents that every entry receives.
	hedgeDelayMilliseconds: z.number().int().min(1).max(60_000).optional(),
	policy: z.enum(['round-robin', 'least-in-flight', 'two-choices', 'two-joint-choices', 'stale-report', 'central-queue']).default('least-in-flight'),
	objective: objective.prefault({}),
	easing: easing.prefault({}),
	// The following fields have no default either, so that documents without them stay short.
	warmUp: warmUp.optional(),
	probePath: z.string().startsWith('/').optional(),
	connections: z.number().int().min(1).optional(),
	/** Number of candidate servers whose load is queried before each request; no load queries when absent. */
	askedCandidates: z.number().int().min(0).max(16).optional(),
	/** Timeout of the load queries in milliseconds. */
	askMilliseconds: z.number().min(1).max(1000).optional(),
}).readonly();

const zone = z.strictObject({
	name,
	inService: z.boolean().default(true),
}).readonly();

/** Limits of the rate of probes, for each server and in total. */
const measuring = z.strictObject({
	probesPerSecondPerServer: z.number().min(0).max(100).default(1),
	probesPerSecond: z.number().min(0).max(10_000).default(50),
}).readonly();

/** Temporary ejection of servers whose requests fail consecutively, up to a share of the servers of a service. */
const outliers = z.strictObject({
	consecutiveFailures: z.number().int().min(1).max(1000).default(5),
	ejectionMilliseconds: z.number().int().min(100).max(600_000).default(2000),
	largestShare: z.number().min(0).max(1).default(0.4),
}).readonly();

/** Schema of an environment document; unknown keys are rejected. */
export const documentSchema = z.strictObject({
	zones: z.array(zone).min(1, 'add at least one zone').readonly(),
	services: z.array(service).min(1, 'add at least one service').readonly(),
	measuring: measuring.prefault({}),
	outliers: outliers.prefault({}),
	/** Routes to services; a service without a route is matched by its own host and path. */
	routes: z.array(route).readonly().optional(),
	clientLimits: clientLimits.optional(),
	/** Workspaces whose callers identify themselves by keys. Without the list, requests need no key; with an empty one, no key is accepted. */
	workspaces: z.array(workspace).readonly().optional(),
}).readonly().superRefine((document, context) => {
	reportRouteIssues(document, context);
	reportWorkspaceIssues(document.workspaces ?? [], context);
	reportDuplicateNames(document.zones.map(zone => zone.name), 'zones', context);
	reportDuplicateNames(document.services.map(service => service.name), 'services', context);
	for (const {value, index, first} of findDuplicates(document.services.map(service => `${service.host ?? '*'} ${service.path}`))) {
		context.addIssue({
			code: 'custom', path: ['services', index, 'path'], message: `the route "${value}" is already used by services.${first}; change its host or path`, input: value,
		});
	}

	if (!document.zones.some(zone => zone.inService)) {
		context.addIssue({
			code: 'custom', path: ['zones'], message: 'no zone is in service; keep at least one', input: false,
		});
	}
});

function reportRouteIssues(document: {readonly routes?: readonly Route[]; readonly services: ReadonlyArray<{readonly name: string}>}, context: z.RefinementCtx): void {
	const {routes = []} = document;
	const names = new Set(document.services.map(service => service.name));
	for (const [index, {parts}] of routes.entries()) {
		for (const {service} of parts.filter(part => !names.has(part.service))) {
			context.addIssue({
				code: 'custom', path: ['routes', index, 'parts'], message: `there is no service "${service}"; add it or correct the name`, input: service,
			});
		}
	}

	for (const {value, index, first} of findDuplicates(routes.map(route => `${route.host ?? '*'} ${route.path}`))) {
		context.addIssue({
			code: 'custom', path: ['routes', index, 'path'], message: `the route "${value}" is already used by routes.${first}; change its host or path`, input: value,
		});
	}
}

function reportWorkspaceIssues(workspaces: readonly Workspace[], context: z.RefinementCtx): void {
	reportDuplicateNames(workspaces.map(({name}) => name), 'workspaces', context);
	const owners = workspaces.flatMap(({keyDigests}, index) => [...new Set(keyDigests)].map(digest => ({digest, index})));
	for (const {value, index, first} of findDuplicates(owners.map(({digest}) => digest))) {
		context.addIssue({
			code: 'custom',
			path: ['workspaces', owners[index]!.index, 'keyDigests'],
			message: `a key is also listed in workspaces.${owners[first]!.index}; give each workspace keys of its own`,
			input: value,
		});
	}
}

function reportDuplicateNames(names: readonly string[], path: string, context: z.RefinementCtx): void {
	for (const {value, index, first} of findDuplicates(names)) {
		context.addIssue({
			code: 'custom', path: [path, index, 'name'], message: `"${value}" is a duplicate of ${path}.${first}; give it another name`, input: value,
		});
	}
}

type Duplicate = {readonly value: string; readonly index: number; readonly first: number};

/** Finds repeated values, each with the index of its first occurrence. */
function findDuplicates(values: readonly string[]): readonly Duplicate[] {
	const firstIndexes = new Map<string, number>();
	const duplicates: Duplicate[] = [];
	for (const [index, value] of values.entries()) {
		const first = firstIndexes.get(value);
		if (first === undefined) {
			firstIndexes.set(value, index);
		} else {
			duplicates.push({value, index, first});
		}
	}

	return duplicates;
}

/** Environment document that has been validated. */
export type EnvironmentDocument = z.infer<typeof documentSchema>;

/** Service of a document. */
export type Service = EnvironmentDocument['services'][number];

/** Route of a document. */
export type Route = z.infer<typeof route>;

/** Workspace of a document. */
export type Workspace = z.infer<typeof workspace>;

/** Limits of the size and the duration of callers' requests. */
export type ClientLimits = z.infer<typeof clientLimits>;

/** Availability zone of a document. */
export type Zone = EnvironmentDocument['zones'][number];

/**
 * Gets a copy of a document in which one zone is in or out of service.
 * @param document - Document to copy.
 * @param zoneName - Name of the zone.
 * @param inService - Whether the zone is in service.
 */
export function withZone(document: EnvironmentDocument, zoneName: string, inService: boolean): EnvironmentDocument {
	return {
		...document,
		zones: document.zones.map(zone => zone.name === zoneName ? {...zone, inService} : zone),
	};
}
