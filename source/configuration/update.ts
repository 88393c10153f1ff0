/**
 * Updates of environment documents, encoded as the complete document or as a delta from a base document.
 * A delta carries the digest of its result, so that applying it to a different base is detected. Services and workspaces are
 * compared one by one, so that a new key of one workspace does not carry the keys of all others.
 */
import {createHash, type Hash} from 'node:crypto';
import {Result} from 'true-myth';
import {
	type EnvironmentDocument, type Route, type Service, type Workspace,
} from './document.js';

/** Part of a document that a delta identifies by its name. */
type NamedPart = Service | Workspace;

/** Changes of a list of named parts. */
export type ListDelta<Part extends NamedPart> = {
	/** Parts that were added or changed. */
	readonly changed: readonly Part[];
	/** Names of removed parts. */
	readonly removed: readonly string[];
	/** Names of all parts in order, if merging the changes into the base gives a different order. */
	readonly order: readonly string[] | undefined;
};

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
	/** Changes of the workspaces, if any of them changed. */
	readonly workspaces?: ListDelta<Workspace>;
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

/** Text that the digest of a document with an empty list of workspaces covers beside its parts. */
const emptyWorkspacesMark = 'workspaces: []';

const cachedDigests = new WeakMap<EnvironmentDocument, string>();
const canonicalTexts = new WeakMap<NamedPart, string>();

/**
 * Gets the SHA-256 digest of a document in hexadecimal.
 * @param document - Validated document.
 */
export function getDocumentDigest(document: EnvironmentDocument): string {
	const cached = cachedDigests.get(document);
	if (cached !== undefined) {
		return cached;
	}

	const hash = hashParts(document);
	if (hasEmptyWorkspaces(document)) {
		hash.update(emptyWorkspacesMark);
	}

	const digest = hash.digest('hex');
	cachedDigests.set(document, digest);
	return digest;
}

/**
 * Gets the digest by which earlier releases identify a document. They do not tell one with an empty list of workspaces from one without a list.
 * @param document - Validated document.
 */
export function getEarlierDigest(document: EnvironmentDocument): string {
	return hasEmptyWorkspaces(document) ? hashParts(document).digest('hex') : getDocumentDigest(document);
}

function hasEmptyWorkspaces({workspaces}: EnvironmentDocument): boolean {
	return workspaces?.length === 0;
}

function hashParts({zones, measuring, outliers, services, routes, clientLimits, workspaces}: EnvironmentDocument): Hash {
	const header = routes === undefined && clientLimits === undefined ? [zones, measuring, outliers] : [zones, measuring, outliers, routes, clientLimits];
	const hash = createHash('sha256').update(JSON.stringify(header));
	for (const part of [...services, ...workspaces ?? []]) {
		hash.update(getCanonicalText(part));
	}

	return hash;
}

/** Serializes a part with sorted fields, so that equal parts have equal texts. */
function getCanonicalText(part: NamedPart): string {
	const cached = canonicalTexts.get(part);
	if (cached !== undefined) {
		return cached;
	}

	const fields = Object.entries(part).toSorted(([left], [right]) => left < right ? -1 : 1);
	const text = JSON.stringify(Object.fromEntries(fields));
	canonicalTexts.set(part, text);
	return text;
}

/**
 * Gets the update from one document to another: a delta, or the complete document if too many services changed.
 * @param base - Current document of the receiver.
 * @param next - Document that the update results in.
 */
export function getDocumentUpdate(base: EnvironmentDocument, next: EnvironmentDocument): DocumentUpdate {
	const {changed: services, removed, order} = getListDelta(base.services, next.services);
	if (services.length + removed.length > next.services.length * maximumChangedShare || !isDeltaPossible(base, next)) {
		return {kind: 'whole', document: next};
	}

	return {
		kind: 'delta', delta: {
			zones: getIfChanged(base.zones, next.zones),
			measuring: getIfChanged(base.measuring, next.measuring),
			outliers: getIfChanged(base.outliers, next.outliers),
			...getChangedRoutes(base, next),
			...getChangedWorkspaces(base, next),
			services,
			removed,
			order,
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
	return mergeDocumentUpdate(base, update).andThen(document => update.kind === 'whole' || getDocumentDigest(document) === update.delta.digest
		? Result.ok(document)
		: Result.err('the digest of the result does not match: the delta was computed from a different base document'));
}

/**
 * Merges an update into a base document without a check of the digest.
 * @param base - Current document, or undefined before the first.
 * @param update - Update to apply.
 */
export function mergeDocumentUpdate(base: EnvironmentDocument | undefined, update: DocumentUpdate): Result<EnvironmentDocument, string> {
	if (update.kind === 'whole') {
		return Result.ok(update.document);
	}

	if (base === undefined) {
		return Result.err('a delta cannot be applied without a base document');
	}

	const {delta} = update;
	const services = applyListDelta(base.services, {changed: delta.services, removed: delta.removed, order: delta.order});
	const workspaces = delta.workspaces === undefined ? base.workspaces : applyListDelta(base.workspaces ?? [], delta.workspaces);
	const routes = delta.routes ?? base.routes;
	const clientLimits = delta.clientLimits ?? base.clientLimits;
	return Result.ok({
		zones: delta.zones ?? base.zones,
		services,
		measuring: delta.measuring ?? base.measuring,
		outliers: delta.outliers ?? base.outliers,
		...(routes === undefined ? {} : {routes}),
		...(clientLimits === undefined ? {} : {clientLimits}),
		...(workspaces === undefined ? {} : {workspaces}),
	});
}

/**
 * Checks whether a document is the one that an update was computed for, by a host of this release or of an earlier one.
 * @param document - Result of the update.
 * @param update - Update that was merged.
 */
export function hasExpectedDigest(document: EnvironmentDocument, update: DocumentUpdate): boolean {
	return update.kind === 'whole' || [getDocumentDigest(document), getEarlierDigest(document)].includes(update.delta.digest);
}

/**
 * Checks whether a delta can express the change: it identifies services and workspaces by their names, and cannot remove an optional field.
 * Peers of earlier releases compute another digest for an empty list of workspaces.
 */
function isDeltaPossible(base: EnvironmentDocument, next: EnvironmentDocument): boolean {
	const hasLostField = (['routes', 'clientLimits', 'workspaces'] as const).some(field => base[field] !== undefined && next[field] === undefined);
	const lists = [base.services, next.services, base.workspaces ?? [], next.workspaces ?? []];
	return !hasLostField && !hasEmptyWorkspaces(next) && lists.every(parts => hasDistinctNames(parts));
}

function hasDistinctNames(parts: readonly NamedPart[]): boolean {
	return new Set(parts.map(({name}) => name)).size === parts.length;
}

function arePartsEqual(left: NamedPart | undefined, right: NamedPart): boolean {
	return left !== undefined && (left === right || getCanonicalText(left) === getCanonicalText(right));
}

/** Gets the changes from one list to another. */
function getListDelta<Part extends NamedPart>(base: readonly Part[], next: readonly Part[]): ListDelta<Part> {
	const baseParts = new Map(base.map(part => [part.name, part]));
	const order = next.map(({name}) => name);
	const names = new Set(order);
	const changed = next.filter(part => !arePartsEqual(baseParts.get(part.name), part));
	const removed = base.map(({name}) => name).filter(name => !names.has(name));
	const mergedOrder = mergeParts(base, changed, removed).map(({name}) => name);
	return {changed, removed, order: mergedOrder.every((name, index) => name === order[index]) ? undefined : order};
}

function applyListDelta<Part extends NamedPart>(base: readonly Part[], {changed, removed, order}: ListDelta<Part>): readonly Part[] {
	const merged = mergeParts(base, changed, removed);
	return order === undefined ? merged : sortParts(merged, order);
}

/** Replaces changed parts in place, removes the removed ones and appends the added ones. */
function mergeParts<Part extends NamedPart>(base: readonly Part[], changed: readonly Part[], removed: readonly string[]): readonly Part[] {
	const replacements = new Map(changed.map(part => [part.name, part]));
	const removedNames = new Set(removed);
	const baseNames = new Set(base.map(({name}) => name));
	const kept = base.filter(({name}) => !removedNames.has(name)).map(part => replacements.get(part.name) ?? part);
	return [...kept, ...changed.filter(({name}) => !baseNames.has(name))];
}

function sortParts<Part extends NamedPart>(parts: readonly Part[], order: readonly string[]): readonly Part[] {
	const positions = new Map(order.map((name, index) => [name, index]));
	return parts.toSorted((left, right) => (positions.get(left.name) ?? 0) - (positions.get(right.name) ?? 0));
}

/** Gets the changes of the workspaces, if there are any. The first list, even an empty one, is a change. */
function getChangedWorkspaces({workspaces: base}: EnvironmentDocument, {workspaces: next}: EnvironmentDocument): Pick<DocumentDelta, 'workspaces'> {
	if (next === undefined || next === base) {
		return {};
	}

	const delta = getListDelta(base ?? [], next);
	const isUnchanged = base !== undefined && delta.changed.length + delta.removed.length === 0 && delta.order === undefined;
	return isUnchanged ? {} : {workspaces: delta};
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
