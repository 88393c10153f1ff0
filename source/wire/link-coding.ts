/**
 * Coding of the messages of one link. If both ends agree on it in the handshake, field names are sent as numbers, and a message that
 * resembles the last one of its kind is sent as its changes. Otherwise, every message is a CBOR item of its own, as in earlier releases.
 *
 * In the compact form, a payload is a message or one of these lists; `slot` is a number from 0 to 7:
 * - `[slot, message]`: a message, of which both ends keep a template under the slot;
 * - `[slot, position, value, …]`: the changes from the template, which both ends update with them;
 * - `[-1, message]`: a message that is itself a list.
 */
import {type Buffer} from 'node:buffer';
import {fieldNames} from './field-names.js';
import {
	checkLength, getNumberedCoding, plainCoding, type PayloadCoding,
} from './payload.js';
import {createTemplate, isPlainObject, type Template} from './template.js';
import {
	applyChanges, getChanges, recordChanges, TemplateError, type TemplateChanges,
} from './template-changes.js';

/** Maximum number of templates that an end keeps for each direction of a link. */
const slotCount = 8;

/** Stands in place of a slot before a message that is a list. */
const listMark = -1;

/** What an end of a link states in the handshake about the compact form. */
export type CompactForm = {
	/** Number of field names that it knows. */
	readonly names: number;
};

/** Compact form that this release knows. */
export const ownCompactForm: CompactForm = {names: fieldNames.length};

/** Encodes and decodes the messages of one link, both in the order in which they are sent. */
export type LinkCoding = PayloadCoding;

/**
 * Checks whether a value is what an end states about the compact form.
 * @param value - Value from the handshake; undefined from releases that do not know the compact form.
 */
export function isCompactForm(value: unknown): value is CompactForm | undefined {
	const form = value as Partial<CompactForm> | undefined;
	return value === undefined || (isPlainObject(form) && Number.isInteger(form.names) && form.names! >= 0);
}

/**
 * Creates the coding of a link.
 * @param peerForm - Compact form that the peer knows, if any.
 */
export function createLinkCoding(peerForm: CompactForm | undefined): LinkCoding {
	if (peerForm === undefined) {
		return plainCoding;
	}

	const coding = getNumberedCoding(peerForm.names);
	return {encode: createCompactEncoder(coding), decode: createCompactDecoder(coding), compressionThresholdBytes: coding.compressionThresholdBytes};
}

type Slot = {readonly kind: string; readonly number: number; readonly template: Template};

function createCompactEncoder(coding: PayloadCoding): LinkCoding['encode'] {
	const slots = new Map<string, Slot>();
	let nextNumber = 0;

	/** Chooses the slot of a kind: its own one, a free one, or that of the kind that has its slot for the longest time. */
	function chooseNumber(kind: string): number {
		const current = slots.get(kind);
		if (current !== undefined) {
			return current.number;
		}

		const number = nextNumber;
		nextNumber = (nextNumber + 1) % slotCount;
		const displaced = [...slots.values()].find(slot => slot.number === number);
		if (displaced !== undefined) {
			slots.delete(displaced.kind);
		}

		return number;
	}

	function encodeWhole(message: Readonly<Record<string, unknown>>, kind: string): Buffer {
		const template = createTemplate(message);
		if (template === undefined) {
			return coding.encode(message);
		}

		const number = chooseNumber(kind);
		slots.delete(kind);
		const payload = coding.encode([number, message]);
		checkLength(payload);
		slots.set(kind, {kind, number, template});
		return payload;
	}

	function encodeChanges({number, template}: Slot, changes: TemplateChanges): Buffer {
		const payload = coding.encode([number, ...changes]);
		// The template must not change for a message that is not sent.
		checkLength(payload);
		recordChanges(template, changes);
		return payload;
	}

	return message => {
		if (Array.isArray(message)) {
			return coding.encode([listMark, message]);
		}

		if (!isPlainObject(message) || typeof message.kind !== 'string') {
			return coding.encode(message);
		}

		const slot = slots.get(message.kind);
		const changes = slot === undefined ? undefined : getChanges(slot.template, message);
		return slot === undefined || changes === undefined ? encodeWhole(message, message.kind) : encodeChanges(slot, changes);
	};
}

function createCompactDecoder(coding: PayloadCoding): LinkCoding['decode'] {
	const templates = new Map<number, Template>();

	function decodeWhole(slot: number, message: Readonly<Record<string, unknown>>): unknown {
		const template = createTemplate(message);
		if (slot < 0 || slot >= slotCount || template === undefined) {
			throw new TemplateError('a message is not one of which a template can be kept');
		}

		templates.set(slot, template);
		return message;
	}

	function decodeChanges(slot: number, changes: TemplateChanges): unknown {
		const template = templates.get(slot);
		if (template === undefined) {
			throw new TemplateError('changes refer to a template that was not sent');
		}

		return applyChanges(template, changes);
	}

	return payload => {
		const item = coding.decode(payload);
		if (!Array.isArray(item)) {
			return item;
		}

		const [slot, ...rest] = item as readonly unknown[];
		if (typeof slot !== 'number' || !Number.isInteger(slot)) {
			throw new TemplateError('a list does not begin with the number of a slot');
		}

		if (slot === listMark) {
			return rest[0];
		}

		const [message] = rest;
		return rest.length === 1 && isPlainObject(message) ? decodeWhole(slot, message) : decodeChanges(slot, rest);
	};
}
