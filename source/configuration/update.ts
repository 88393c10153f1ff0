/**
 * Updates of environment documents, encoded as the complete document or as a delta from a base document.
 * A delta carries the digest of its result, so that applying it to a different base is detected.
 */
import {createHash} from 'node:crypto';
import {Result} from 'true-myth';
import {type EnvironmentDocument, type Route, type Service} from './document.js';

/** Share of changed services above which the complete document is the shorter update. */
const maximumChangedShare = 0.5;

/** Differences between two documents; a field that is undefined has not changed. */
export type DocumentDelta = {
	readonly zones: EnvironmentDocument['zones'] | undefined;
	readonly measuring: EnvironmentDocument['measuring'] | undefined;
	readonly outliers: EnvironmentDocument['outliers'] | undefined;
	/** All routes, if any of them changed. */
	readonly routes?: readonly Route[];
	readonly clientLimits?: EnvironmentDocument['clientLimits'];
	/** Services that were added or changed. */
	readonly services: readonly Service[];
	/** Names of removed services. */
	readonly removed: readonly string[];
	/** Names of all services in order, if merging the changes into the base gives a different order. */
	readonly order: readonly string[] | undefined;
	/** Digest of the resulting document, from `getDocumentDigest`. */
	readonly digest: string;
};

/** An update that carries the complete document or a delta. */
export type DocumentUpdate
	= | {readonly kind: 'whole'; readonly document: EnvironmentDocument}
		| {readonly kind: 'delta'; readonly delta: DocumentDelta};

const cachedDigests = new WeakMap<EnvironmentDocument, string>();
const canonicalTexts = new WeakMap<Service, string>();

/**
 * Gets the SHA-256 digest of a document in hexadecimal.
 * @param document - Validated document.
 */
export function getDocumentDigest(document: EnvironmentDocument): string {
	const cached = cachedDigests.get(document);
	if (cached !== undefined) {
		return cached;
	}

	const {zones, measuring, outliers, services} = document;
	const {routes, clientLimits} = document;
	const header = routes === undefined && clientLimits === undefined ? [zones, measuring, outliers] : [zones, measuring, outliers, routes, clientLimits];
	const hash = createHash('sha256').update(JSON.stringify(header));
	for (const service of services) {
		hash.update(getCanonicalText(service));
	}

	const digest = hash.digest('hex');
	cachedDigests.set(document, digest);
	return digest;
}

/** Serializes a service with sorted fields, so that equal services have equal texts. */
function getCanonicalText(service: Service): string {
	const cached = canonicalTexts.get(service);
	if (cached !== undefined) {
		return cached;
	}

	const fields = Object.entries(service).toSorted(([left], [right]) => left < right ? -1 : 1);
	const text = JSON.stringify(Object.fromEntries(fields));
	canonicalTexts.set(service, text);
	return text;
}

/**
 * Gets the update from one document to another: a delta, or the complete document if too many services changed.
 * @param base - Current document of the receiver.
 * @param next - Document that the update results in.
 */
export function getDocumentUpdate(base: EnvironmentDocument, next: EnvironmentDocument): DocumentUpdate {
	const baseServices = new Map(base.services.map(service => [service.name, service]));
	const names = new Set(next.services.map(service => service.name));
	const services = next.services.filter(service => !areServicesEqual(baseServices.get(service.name), service));
	const removed = base.services.map(service => service.name).filter(name => !names.has(name));
	if (services.length + removed.length > next.services.length * maximumChangedShare || !isDeltaPossible(base, next)) {
		return {kind: 'whole', document: next};
	}

	const order = next.services.map(service => service.name);
	const mergedOrder = mergeServices(base.services, services, removed).map(service => service.name);
	return {
		kind: 'delta', delta: {
			zones: getIfChanged(base.zones, next.zones),
			measuring: getIfChanged(base.measuring, next.measuring),
			outliers: getIfChanged(base.outliers, next.outliers),
			...getChangedRoutes(base, next),
			services,
			removed,
			order: mergedOrder.every((name, index) => name === order[index]) ? undefined : order,
			digest: getDocumentDigest(next),
		},
	};
}

/**
 * Applies an update to a base document; the result shares the objects of unchanged services with the base.
 * @param base - Current document, or undefined before the first.
 * @param update - Update to apply.
 */
export function applyDocumentUpdate(base: EnvironmentDocument | undefined, update: DocumentUpdate): Result<EnvironmentDocument, string> {
	if (update.kind === 'whole') {
		return Result.ok(update.document);
	}

	if (base === undefined) {
		return Result.err('a delta cannot be applied without a base document');
	}

	const {delta} = update;
	const merged = mergeServices(base.services, delta.services, delta.removed);
	const services = delta.order === undefined ? merged : sortServices(merged, delta.order);
	const routes = delta.routes ?? base.routes;
	const clientLimits = delta.clientLimits ?? base.clientLimits;
	const document: EnvironmentDocument = {
		zones: delta.zones ?? base.zones,
		services,
		measuring: delta.measuring ?? base.measuring,
		outliers: delta.outliers ?? base.outliers,
		...(routes === undefined ? {} : {routes}),
		...(clientLimits === undefined ? {} : {clientLimits}),
	};
	return getDocumentDigest(document) === delta.digest ? Result.ok(document) : Result.err('the digest of the result does not match: the delta was computed from a different base document');
}

/** Checks whether a delta can express the change: it identifies services by their names, and cannot remove an optional field. */
function isDeltaPossible(base: EnvironmentDocument, next: EnvironmentDocument): boolean {
	const hasLostField = (base.routes !== undefined && next.routes === undefined) || (base.clientLimits !== undefined && next.clientLimits === undefined);
	return !hasLostField && hasDistinctServices(base) && hasDistinctServices(next);
}

function hasDistinctServices({services}: EnvironmentDocument): boolean {
	return new Set(services.map(service => service.name)).size === services.length;
}

function areServicesEqual(left: Service | undefined, right: Service): boolean {
	return left !== undefined && (left === right || getCanonicalText(left) === getCanonicalText(right));
}

/** Replaces changed services in place, removes the removed ones and appends the added ones. */
function mergeServices(base: readonly Service[], changed: readonly Service[], removed: readonly string[]): readonly Service[] {
	const replacements = new Map(changed.map(service => [service.name, service]));
	const removedNames = new Set(removed);
	const baseNames = new Set(base.map(service => service.name));
	const kept = base.filter(service => !removedNames.has(service.name)).map(service => replacements.get(service.name) ?? service);
	return [...kept, ...changed.filter(service => !baseNames.has(service.name))];
}

function sortServices(services: readonly Service[], order: readonly string[]): readonly Service[] {
	const positions = new Map(order.map((name, index) => [name, index]));
	return services.toSorted((left, right) => (positions.get(left.name) ?? 0) - (positions.get(right.name) ?? 0));
}

/** Gets the new routes and limits if they changed; unchanged or absent ones are omitted from the delta. */
function getChangedRoutes(base: EnvironmentDocument, next: EnvironmentDocument): Pick<DocumentDelta, 'routes' | 'clientLimits'> {
	const routes = getIfChanged(base.routes, next.routes);
	const clientLimits = getIfChanged(base.clientLimits, next.clientLimits);
	return {...(routes === undefined ? {} : {routes}), ...(clientLimits === undefined ? {} : {clientLimits})};
}

/** Gets the new value if it differs from the old one. */
function getIfChanged<Value>(before: Value, after: Value): Value | undefined {
	return JSON.stringify(before) === JSON.stringify(after) ? undefined : after;
}
