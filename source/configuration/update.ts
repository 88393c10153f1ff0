/**
 * Carries a document either whole or as its difference from a known one. The
 * difference names the digest of the result, so that it can't be applied to another
 * document than the one that it was made from.
 */
import {createHash} from 'node:crypto';
import {Result} from 'true-myth';
import {type EnvironmentDocument, type Route, type Service} from './document.js';

/** Share of services that may change before a whole document is shorter to say. */
const largestChangedShare = 0.5;

/** What changed from one document to another. */
export type DocumentDelta = {
	readonly zones: EnvironmentDocument['zones'] | undefined;
	readonly measuring: EnvironmentDocument['measuring'] | undefined;
	readonly outliers: EnvironmentDocument['outliers'] | undefined;
	/** All routes and limits, where they differ. */
	readonly routes?: readonly Route[];
	readonly clientLimits?: EnvironmentDocument['clientLimits'];
	/** Services that are new or differ. */
	readonly services: readonly Service[];
	/** Names of services that are gone. */
	readonly removed: readonly string[];
	/** Names of all services in order, where it does not follow from the rest. */
	readonly order: readonly string[] | undefined;
	/** Digest of the result, from `getDocumentDigest`. */
	readonly digest: string;
};

/** A document, whole or as a difference. */
export type DocumentUpdate
	= | {readonly kind: 'whole'; readonly document: EnvironmentDocument}
		| {readonly kind: 'delta'; readonly delta: DocumentDelta};

const digests = new WeakMap<EnvironmentDocument, string>();
const texts = new WeakMap<Service, string>();

/**
 * Gets the SHA-256 digest of a document in hexadecimal.
 * @param document - Checked document.
 */
export function getDocumentDigest(document: EnvironmentDocument): string {
	const known = digests.get(document);
	if (known !== undefined) {
		return known;
	}

	const {zones, measuring, outliers, services} = document;
	const {routes, clientLimits} = document;
	const head = routes === undefined && clientLimits === undefined ? [zones, measuring, outliers] : [zones, measuring, outliers, routes, clientLimits];
	const hash = createHash('sha256').update(JSON.stringify(head));
	for (const service of services) {
		hash.update(getText(service));
	}

	const digest = hash.digest('hex');
	digests.set(document, digest);
	return digest;
}

/** Gets the text of a service with its fields in order, so that equal services have equal texts. */
function getText(service: Service): string {
	const known = texts.get(service);
	if (known !== undefined) {
		return known;
	}

	const fields = Object.entries(service).toSorted(([left], [right]) => left < right ? -1 : 1);
	const text = JSON.stringify(Object.fromEntries(fields));
	texts.set(service, text);
	return text;
}

/**
 * Gets the shortest update that leads from one document to another.
 * @param base - Document that the receiver has.
 * @param next - Document that it is to have.
 */
export function getDocumentUpdate(base: EnvironmentDocument, next: EnvironmentDocument): DocumentUpdate {
	const before = new Map(base.services.map(service => [service.name, service]));
	const names = new Set(next.services.map(service => service.name));
	const services = next.services.filter(service => !isSameService(before.get(service.name), service));
	const removed = base.services.map(service => service.name).filter(name => !names.has(name));
	if (services.length + removed.length > next.services.length * largestChangedShare) {
		return {kind: 'whole', document: next};
	}

	const order = next.services.map(service => service.name);
	const natural = mergeServices(base.services, services, removed).map(service => service.name);
	return {
		kind: 'delta', delta: {
			zones: getChanged(base.zones, next.zones),
			measuring: getChanged(base.measuring, next.measuring),
			outliers: getChanged(base.outliers, next.outliers),
			...getChangedRoutes(base, next),
			services,
			removed,
			order: natural.every((name, index) => name === order[index]) ? undefined : order,
			digest: getDocumentDigest(next),
		},
	};
}

/**
 * Gets the document that an update leads to; unchanged services are shared with the base.
 * @param base - Document that the receiver has, or undefined before the first.
 * @param update - Update to apply.
 */
export function applyDocumentUpdate(base: EnvironmentDocument | undefined, update: DocumentUpdate): Result<EnvironmentDocument, string> {
	if (update.kind === 'whole') {
		return Result.ok(update.document);
	}

	if (base === undefined) {
		return Result.err('there is no document that the difference could apply to');
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
	return getDocumentDigest(document) === delta.digest ? Result.ok(document) : Result.err('the difference belongs to another document');
}

function isSameService(left: Service | undefined, right: Service): boolean {
	return left !== undefined && (left === right || getText(left) === getText(right));
}

/** Replaces services in place, drops the removed ones and appends the new ones. */
function mergeServices(base: readonly Service[], changed: readonly Service[], removed: readonly string[]): readonly Service[] {
	const replacements = new Map(changed.map(service => [service.name, service]));
	const dropped = new Set(removed);
	const known = new Set(base.map(service => service.name));
	const kept = base.filter(service => !dropped.has(service.name)).map(service => replacements.get(service.name) ?? service);
	return [...kept, ...changed.filter(service => !known.has(service.name))];
}

function sortServices(services: readonly Service[], order: readonly string[]): readonly Service[] {
	const positions = new Map(order.map((name, index) => [name, index]));
	return services.toSorted((left, right) => (positions.get(left.name) ?? 0) - (positions.get(right.name) ?? 0));
}

/** Gets the later routes and limits where they differ; documents without any say nothing of them. */
function getChangedRoutes(base: EnvironmentDocument, next: EnvironmentDocument): Pick<DocumentDelta, 'routes' | 'clientLimits'> {
	const routes = getChanged(base.routes, next.routes);
	const clientLimits = getChanged(base.clientLimits, next.clientLimits);
	return {...(routes === undefined ? {} : {routes}), ...(clientLimits === undefined ? {} : {clientLimits})};
}

/** Gets the later of two values if it differs. */
function getChanged<Value>(before: Value, after: Value): Value | undefined {
	return JSON.stringify(before) === JSON.stringify(after) ? undefined : after;
}
