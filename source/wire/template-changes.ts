/** Changes of messages from their templates: determined by the sender, and applied by the receiver. */
import {
	absent, getHeldValue, isPlainObject, isValue, type PlainObject, type Template, type TemplateObject,
} from './template.js';

/** Positions of values that have changed in ascending order, each followed by the new value. */
export type TemplateChanges = readonly unknown[];

/** Thrown for changes that do not fit the template, or a message of which no template can be kept. */
export class TemplateError extends Error {
	override readonly name = 'TemplateError';
}

function isHeld(held: unknown, value: unknown): boolean {
	if (typeof held !== 'object' || held === null) {
		return Object.is(held, value);
	}

	const list = held as readonly unknown[];
	return Array.isArray(value) && list.length === value.length && list.every((item, index) => Object.is(item, value[index]));
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
