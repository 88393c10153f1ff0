/**
 * Templates of messages that are sent again and again with few changes, such as renewals of a lease. Both ends of a link keep the
 * field names and the short values of the last message, and the next one is sent as its changes. A template is bounded: it holds
 * neither long values nor lists of objects, which are sent each time.
 *
 * The limits are part of the compact form, since both ends must agree on what a template holds. A release with other limits has to
 * agree on them in the handshake.
 */

/** Maximum number of fields, including those of nested objects. */
const maximumFields = 64;

/** Maximum depth of nested objects, with the message itself as 1. */
const maximumDepth = 4;

/** Maximum length of a text or of a name. */
const maximumTextLength = 64;

/** Maximum number of values in a list. */
const maximumListLength = 16;

/** Name that assignments treat as the prototype of an object. */
const prototypeName = '__proto__';

/** Stands for a value that a template does not hold. */
export const absent = Symbol('absent');

/** Object that consists of named fields. */
export type PlainObject = Readonly<Record<string, unknown>>;

/** One object of a message. The message itself has the number 0; the objects in each object are numbered in turn. */
export type TemplateObject = {
	readonly names: readonly string[];
	/** For each name, the number of its object, or undefined if it has a value. */
	readonly objectNumbers: ReadonlyArray<number | undefined>;
	/** Position of its first field with a value. */
	readonly firstPosition: number;
	/** Last values by name, from which new messages are copied. */
	readonly copied: Record<string, unknown>;
};

/** Field with a value, and the number of the object that it belongs to. */
type TemplateField = {readonly objectNumber: number; readonly name: string};

/** Shape of a message and its last values. */
export type Template = {
	readonly objects: readonly TemplateObject[];
	/** Fields with a value by position: those of the first object, then those of the second one, and so on. */
	readonly fields: readonly TemplateField[];
	/** Last values by position. */
	readonly values: unknown[];
};

/**
 * Checks whether a value is an object that consists of named fields, rather than a list or bytes.
 * @param value - Any value.
 */
export function isPlainObject(value: unknown): value is PlainObject {
	return typeof value === 'object' && value !== null && Object.getPrototypeOf(value) === Object.prototype;
}

/**
 * Checks whether a value is one that both ends take for a value of a field rather than for a nested object.
 * @param value - Any value.
 */
export function isValue(value: unknown): boolean {
	return typeof value !== 'object' || value === null || Array.isArray(value) || value instanceof Uint8Array;
}

function isShort(value: unknown): boolean {
	return typeof value === 'string' ? value.length <= maximumTextLength : typeof value === 'number' || typeof value === 'boolean' || value === undefined || value === null;
}

/**
 * Gets what a template holds of a value. Lists are copied, since their owner may change them.
 * @param value - Value of a field.
 */
export function getHeldValue(value: unknown): unknown {
	if (Array.isArray(value)) {
		return value.length <= maximumListLength && value.every(item => isShort(item)) ? [...value as readonly unknown[]] : absent;
	}

	return isShort(value) ? value : absent;
}

/**
 * Creates the template of a message, or returns undefined if the message exceeds the limits or is not plain data.
 * @param message - Message to which the next ones are compared.
 */
export function createTemplate(message: PlainObject): Template | undefined {
	const objects: TemplateObject[] = [];
	const fields: TemplateField[] = [];
	const values: unknown[] = [];
	const pending: Array<{readonly object: PlainObject; readonly depth: number}> = [{object: message, depth: 1}];
	let fieldCount = 0;
	for (let objectNumber = 0; objectNumber < pending.length; objectNumber++) {
		const {object, depth} = pending[objectNumber]!;
		const names = Object.keys(object);
		fieldCount += names.length;
		if (fieldCount > maximumFields || names.some(name => name.length > maximumTextLength || name === prototypeName)) {
			return undefined;
		}

		const firstPosition = fields.length;
		const objectNumbers: Array<number | undefined> = [];
		const copied: Record<string, unknown> = {};
		for (const name of names) {
			const value = object[name];
			if (isValue(value)) {
				fields.push({objectNumber, name});
				objectNumbers.push(undefined);
				values.push(getHeldValue(value));
				copied[name] = values.at(-1);
			} else if (isPlainObject(value) && depth < maximumDepth) {
				objectNumbers.push(pending.length);
				pending.push({object: value, depth: depth + 1});
				copied[name] = undefined;
			} else {
				return undefined;
			}
		}

		objects.push({
			names, objectNumbers, firstPosition, copied,
		});
	}

	return {objects, fields, values};
}
