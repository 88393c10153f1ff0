/**
 * Templates of messages that are sent again and again with few changes, such as renewals of a lease. Both ends of a link keep the
 * field names and the short values of the last message, and the next one is sent as its changes. A template is bounded: it holds
 * neither long values nor lists of objects, which are sent each time.
 */

/** Maximum number of fields with a value, including those of nested objects. */
const maximumValues = 48;

/** Maximum depth of nested objects, with the message itself as 1. */
const maximumDepth = 4;

/** Maximum length of a text or of a name. */
const maximumTextLength = 64;

/** Maximum number of values in a list. */
const maximumListLength = 16;

/** Marks in a shape the begin and the end of a nested object. */
const begin = Symbol('begin');
const end = Symbol('end');

/** Stands for a value that a template does not hold. */
const absent = Symbol('absent');

type PlainObject = Readonly<Record<string, unknown>>;

/** Shape of a message and its last values. */
export type Template = {
	/** Names of the fields in their order; that of a nested object is followed by its fields between two marks. */
	readonly shape: ReadonlyArray<string | symbol>;
	/** Values in the order of their fields. */
	readonly values: unknown[];
};

/** Positions of values that have changed, each followed by the new value. */
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
	if (Array.isArray(held)) {
		return Array.isArray(value) && held.length === value.length && held.every((item, index) => Object.is(item, value[index]));
	}

	return Object.is(held, value);
}

/**
 * Creates the template of a message, or returns undefined if the message exceeds the limits or is not plain data.
 * @param message - Message to which the next ones are compared.
 */
export function createTemplate(message: PlainObject): Template | undefined {
	const shape: Array<string | symbol> = [];
	const values: unknown[] = [];

	function add(object: PlainObject, depth: number): boolean {
		for (const [name, value] of Object.entries(object)) {
			if (name.length > maximumTextLength || values.length === maximumValues) {
				return false;
			}

			shape.push(name);
			if (isValue(value)) {
				values.push(getHeldValue(value));
			} else if (isPlainObject(value) && depth < maximumDepth) {
				shape.push(begin);
				if (!add(value, depth + 1)) {
					return false;
				}

				shape.push(end);
			} else {
				return false;
			}
		}

		return true;
	}

	return add(message, 1) && shape.length <= 2 * maximumValues ? {shape, values} : undefined;
}

/**
 * Gets the changes of a message, or undefined if its shape differs from that of the template.
 * @param template - Template of an earlier message.
 * @param message - Message to send.
 */
export function getChanges(template: Template, message: PlainObject): TemplateChanges | undefined {
	const {shape, values} = template;
	const changes: unknown[] = [];
	let place = 0;
	let position = 0;

	function compare(object: PlainObject): boolean {
		for (const name of Object.keys(object)) {
			if (shape[place++] !== name) {
				return false;
			}

			const value = object[name];
			if (isValue(value)) {
				if (!isHeld(values[position], value)) {
					changes.push(position, value);
				}

				position++;
			} else if (shape[place++] !== begin || !isPlainObject(value) || !compare(value) || shape[place++] !== end) {
				return false;
			}
		}

		return true;
	}

	return compare(message) && place === shape.length ? changes : undefined;
}

/**
 * Updates a template with changes that were sent or received.
 * @param template - Template to update.
 * @param changes - Changes that fit the template.
 */
export function updateTemplate(template: Template, changes: TemplateChanges): void {
	for (let index = 0; index < changes.length; index += 2) {
		template.values[changes[index] as number] = getHeldValue(changes[index + 1]);
	}
}

/**
 * Gets the message that changes stand for. The template is not updated.
 * @param template - Template of an earlier message.
 * @param changes - Received changes.
 * @throws TemplateError when the changes do not fit the template.
 */
export function applyChanges(template: Template, changes: TemplateChanges): PlainObject {
	checkChanges(template, changes);
	const {shape, values} = template;
	let place = 0;
	let position = 0;
	let next = 0;

	function takeValue(): unknown {
		if (changes[next] === position) {
			position++;
			next += 2;
			return changes[next - 1];
		}

		const value = values[position++];
		if (value === absent) {
			throw new TemplateError('a value that the template does not hold is missing');
		}

		return Array.isArray(value) ? [...value as readonly unknown[]] : value;
	}

	function build(): PlainObject {
		const object: Record<string, unknown> = {};
		while (place < shape.length && shape[place] !== end) {
			const name = shape[place++] as string;
			if (shape[place] === begin) {
				place++;
				object[name] = build();
				place++;
			} else {
				object[name] = takeValue();
			}
		}

		return object;
	}

	return build();
}

function checkChanges({values}: Template, changes: TemplateChanges): void {
	let last = -1;
	for (let index = 0; index < changes.length; index += 2) {
		const position = changes[index];
		if (typeof position !== 'number' || !Number.isInteger(position) || position <= last || position >= values.length) {
			throw new TemplateError('the position of a change is not one of the template');
		}

		if (index + 1 === changes.length || !isValue(changes[index + 1])) {
			throw new TemplateError('a change lacks a value, or has an object instead');
		}

		last = position;
	}
}
