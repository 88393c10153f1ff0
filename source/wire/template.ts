/**
 * Templates of messages that are sent again and again with few changes, such as renewals of a lease. Both ends of a link keep the
 * field names and the short values of the last message, and the next one is sent as its changes. A template is bounded: it holds
 * neither long values nor lists of objects, which are sent each time.
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
const absent = Symbol('absent');

type PlainObject = Readonly<Record<string, unknown>>;

/** One object of a message. Objects are numbered in the order in which they begin, with the message itself as 0. */
type TemplateObject = {
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

/** Positions of values that have changed in ascending order, each followed by the new value. */
export type TemplateChanges = readonly unknown[];

/** Thrown for changes that do not fit the template, or a message that exceeds the limits of templates. */
export class TemplateError extends Error {
	override readonly name = 'TemplateError';
}

/**
 * Checks whether a value is an object that consists of named fields, rather than a list or bytes.
 * @param value - Any value.
 */
export function isPlainObject(value: unknown): value is PlainObject {
	return typeof value === 'object' && value !== null && Object.getPrototypeOf(value) === Object.prototype;
}

/** Checks whether a value is one that both ends take for a value of a field rather than for a nested object. */
function isValue(value: unknown): boolean {
	return typeof value !== 'object' || value === null || Array.isArray(value) || value instanceof Uint8Array;
}

function isShort(value: unknown): boolean {
	return typeof value === 'string' ? value.length <= maximumTextLength : typeof value === 'number' || typeof value === 'boolean' || value === undefined || value === null;
}

/** Gets what a template holds of a value. Lists are copied, since their owner may change them. */
function getHeldValue(value: unknown): unknown {
	if (Array.isArray(value)) {
		return value.length <= maximumListLength && value.every(item => isShort(item)) ? [...value as readonly unknown[]] : absent;
	}

	return isShort(value) ? value : absent;
}

function isHeld(held: unknown, value: unknown): boolean {
	if (typeof held !== 'object' || held === null) {
		return Object.is(held, value);
	}

	const list = held as readonly unknown[];
	return Array.isArray(value) && list.length === value.length && list.every((item, index) => Object.is(item, value[index]));
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

/**
 * Gets the changes of a message, or undefined if its shape differs from that of the template.
 * @param template - Template of an earlier message.
 * @param message - Message to send.
 */
export function getChanges({objects, values}: Template, message: PlainObject): TemplateChanges | undefined {
	const changes: unknown[] = [];
	const found: PlainObject[] = [message];
	for (const [objectNumber, object] of objects.entries()) {
		if (!addChanges(object, values, found, {object: found[objectNumber]!, changes})) {
			return undefined;
		}
	}

	return changes;
}

type Comparison = {readonly object: PlainObject; readonly changes: unknown[]};

/** Adds the changes of one object, and finds its nested objects. Returns false if its shape differs. */
function addChanges({names, objectNumbers, firstPosition}: TemplateObject, values: readonly unknown[], found: PlainObject[], {object, changes}: Comparison): boolean {
	const actualNames = Object.keys(object);
	if (actualNames.length !== names.length) {
		return false;
	}

	let position = firstPosition;
	for (const [index, name_] of names.entries()) {
		const name = name_;
		if (actualNames[index] !== name) {
			return false;
		}

		const value = object[name];
		if (objectNumbers[index] !== undefined) {
			if (!isPlainObject(value)) {
				return false;
			}

			found.push(value);
			continue;
		}

		if (!isHeld(values[position], value)) {
			if (!isValue(value)) {
				return false;
			}

			changes.push(position, value);
		}

		position++;
	}

	return true;
}

/**
 * Updates the template of a sender with changes that it has sent. It makes no copies, so just their values are updated.
 * @param template - Template from which the changes were determined.
 * @param changes - Changes.
 */
export function recordChanges({values}: Template, changes: TemplateChanges): void {
	for (let index = 0; index < changes.length; index += 2) {
		values[changes[index] as number] = getHeldValue(changes[index + 1]);
	}
}

/**
 * Gets the message that received changes stand for, and updates the template of the receiver with it.
 * @param template - Template of an earlier message.
 * @param changes - Received changes.
 * @throws TemplateError when the changes do not fit the template, which is not updated then.
 */
export function applyChanges(template: Template, changes: TemplateChanges): PlainObject {
	checkChanges(template, changes);
	const {objects, fields} = template;
	const copies = objects.map(({copied}) => ({...copied}));
	for (let index = 0; index < changes.length; index += 2) {
		const {objectNumber, name} = fields[changes[index] as number]!;
		copies[objectNumber]![name] = changes[index + 1];
	}

	for (const [number, object] of objects.entries()) {
		completeCopy(object, copies[number]!, copies);
	}

	for (let index = 0; index < changes.length; index += 2) {
		const {objectNumber, name} = fields[changes[index] as number]!;
		objects[objectNumber]!.copied[name] = getHeldValue(changes[index + 1]);
	}

	return copies[0]!;
}

/** Sets the nested objects in a copy, and replaces the lists that the template holds by copies. */
function completeCopy({names, objectNumbers, copied}: TemplateObject, copy: Record<string, unknown>, copies: ReadonlyArray<Record<string, unknown>>): void {
	for (const [index, name_] of names.entries()) {
		const name = name_;
		const objectNumber = objectNumbers[index];
		const value = copy[name];
		if (objectNumber !== undefined) {
			copy[name] = copies[objectNumber];
		} else if (value === absent) {
			throw new TemplateError('a value that the template does not hold is missing');
		} else if (typeof value === 'object' && value !== null && value === copied[name]) {
			copy[name] = [...value as readonly unknown[]];
		}
	}
}

function checkChanges({fields}: Template, changes: TemplateChanges): void {
	let last = -1;
	for (let index = 0; index < changes.length; index += 2) {
		const position = changes[index];
		if (typeof position !== 'number' || !Number.isInteger(position) || position <= last || position >= fields.length) {
			throw new TemplateError('the position of a change is not one of the template');
		}

		if (index + 1 === changes.length || !isValue(changes[index + 1])) {
			throw new TemplateError('a change lacks a value, or has an object instead');
		}

		last = position;
	}
}
