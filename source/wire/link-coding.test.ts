import {createHash} from 'node:crypto';
import {Buffer} from 'node:buffer';
import {describe, test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {fieldNames} from './field-names.js';
import {
	createFrameReader, decode, encode, encodeFrame, FrameError,
} from './frame.js';
import {createLinkCoding, ownCompactForm, type CompactForm} from './link-coding.js';

const kinds = ['renewal', 'grant', 'nudge', 'reply', 'request', 'refusal', 'consensus', 'directory', 'join', 'availability'] as const;

const names = fc.oneof(fc.constantFrom(...fieldNames.slice(0, 60)), fc.constantFrom('0', '7', '-1', '__proto__', 'constructor', 'toString', 'of a later release', 'n'.repeat(65)));
const scalars = fc.oneof(
	fc.constantFrom<unknown>(undefined, null, true, false, '', 'text', 'x'.repeat(64), 'x'.repeat(65), Number.POSITIVE_INFINITY, 2 ** 40),
	fc.integer(),
	fc.double({noNaN: true}),
	fc.string(),
);
const values = fc.letrec<{value: unknown}>(tie => ({
	value: fc.oneof(
		{depthSize: 'small'},
		scalars,
		fc.array(scalars, {maxLength: 18}),
		fc.uint8Array({maxLength: 4}).map(bytes => Buffer.from(bytes)),
		fc.array(tie('value'), {maxLength: 3}),
		fc.dictionary(names, tie('value'), {maxKeys: 4}),
	),
})).value;
const messages = fc.tuple(fc.constantFrom(...kinds), fc.dictionary(names, values, {maxKeys: 8}))
	.map(([kind, fields]): object => ({...fields, kind}));

/** Sequences in which a message is often like an earlier one but for some fields. */
const sequences = fc.array(fc.tuple(messages, fc.nat(2), fc.array(values, {maxLength: 3})), {minLength: 1, maxLength: 20}).map(steps => {
	const sent: object[] = [];
	for (const [fresh, back, replaced] of steps) {
		const earlier = sent.at(-back);
		const changes = Object.keys(earlier ?? {}).filter(name => name !== 'kind').slice(0, replaced.length).map((name, index) => [name, replaced[index]] as const);
		sent.push(earlier === undefined || back === 0 ? fresh : {...earlier, ...Object.fromEntries(changes)});
	}

	return sent;
});

describe('createLinkCoding', () => {
	function doTest(seed: number, form: CompactForm): void {
		let changeCount = 0;
		fc.assert(fc.property(sequences, sent => {
			const coding = createLinkCoding(form);
			const reader = createFrameReader();
			reader.setCoding(createLinkCoding(form));
			for (const message of sent) {
				const frame = encodeFrame(message, coding);
				const [item] = createFrameReader().push(frame);
				changeCount += Array.isArray(item) && item.length !== 2 ? 1 : 0;
				const [received] = reader.push(frame);
				expect(received).toEqual(decode(encode(message)));
			}
		}), {seed, numRuns: 1500});
		// Many messages must have been sent as changes.
		expect(changeCount > 1000).toEqual(true);
	}

	test('passes on any messages as the plain form does', () => {
		doTest(61, ownCompactForm);
	});
	test('passes on any messages to a peer that knows few names', () => {
		doTest(62, {names: 5});
	});
	test('passes on messages that are no objects', () => {
		const coding = createLinkCoding(ownCompactForm);
		const peer = createLinkCoding(ownCompactForm);
		const sent = [0, 'text', null, [], [0, {kind: 'renewal'}], [-1], {sequence: 1}];
		expect(sent.map(message => peer.decode(coding.encode(message)))).toEqual(sent);
	});
	test('keeps nothing of a list that its owner changes after it was sent', () => {
		const coding = createLinkCoding(ownCompactForm);
		const peer = createLinkCoding(ownCompactForm);
		const zonesOut: string[] = [];
		const received: unknown[] = [];
		for (const zone of ['north', 'south']) {
			received.push(peer.decode(coding.encode({kind: 'grant', zonesOut})));
			zonesOut.push(zone);
		}

		received.push(peer.decode(coding.encode({kind: 'grant', zonesOut})));
		expect(received).toEqual([{kind: 'grant', zonesOut: []}, {kind: 'grant', zonesOut: ['north']}, {kind: 'grant', zonesOut: ['north', 'south']}]);
	});
	test('passes on received lists that no later message shares', () => {
		const coding = createLinkCoding(ownCompactForm);
		const peer = createLinkCoding(ownCompactForm);
		const message = {kind: 'grant', zonesOut: ['north']};
		peer.decode(coding.encode(message));
		const second = peer.decode(coding.encode(message)) as typeof message;
		second.zonesOut.push('south');
		expect(peer.decode(coding.encode(message))).toEqual(message);
	});
	test('uses no more slots than a link has, however many kinds there are', () => {
		const coding = createLinkCoding(ownCompactForm);
		const peer = createLinkCoding(ownCompactForm);
		const slots = new Set<unknown>();
		for (let index = 0; index < 1000; index++) {
			const message = {kind: `kind-${index % 100}`, sequence: index};
			const payload = coding.encode(message);
			slots.add((decode(payload) as readonly unknown[])[0]);
			expect(peer.decode(payload)).toEqual(message);
		}

		expect(slots).toEqual(new Set([0, 1, 2, 3, 4, 5, 6, 7]));
	});
	test('keeps the templates as they are when a message is too long to be sent', () => {
		const coding = createLinkCoding(ownCompactForm);
		const peer = createLinkCoding(ownCompactForm);
		const message = {kind: 'reply', id: 1, part: Buffer.alloc(0)};
		peer.decode(coding.encode(message));
		expect(() => coding.encode({...message, id: 2, part: Buffer.alloc(65 * 1024 * 1024)})).toThrow(FrameError);
		expect(peer.decode(coding.encode({...message, id: 2}))).toEqual({...message, id: 2});
	});
});

// Guards against a peer with the key that makes this end keep more than its share of memory, or that ends the process.
describe('createLinkCoding: malformed payloads', () => {
	const message = {
		kind: 'grant', sequence: 1, servers: [{id: 1}], peer: {name: 'one'},
	};
	const whole = [0, message];

	function doTest(items: readonly unknown[]): void {
		const reader = createFrameReader();
		reader.setCoding(createLinkCoding(ownCompactForm));
		const frames = items.map(item => encodeFrame(item));
		expect(() => {
			for (const frame of frames) {
				reader.push(frame);
			}
		}).toThrow(FrameError, /^frame payload is malformed: /v);
	}

	const cases: Readonly<Record<string, readonly unknown[]>> = {
		'are refused with a slot that is not a number': [['0', message]],
		'are refused with a slot beyond those of a link': [[8, message]],
		'are refused with a negative slot': [[-2, message]],
		'are refused with half a slot': [[0.5, message]],
		'are refused without a slot': [[]],
		'are refused with changes to a template that was not sent': [whole, [1, 1, 2]],
		'are refused with a position beyond the fields': [whole, [0, 4, 2, 2, []]],
		'are refused with a negative position': [whole, [0, -1, 2]],
		'are refused with a position that is a text': [whole, [0, 'sequence', 2]],
		'are refused with positions in descending order': [whole, [0, 2, [], 1, 2]],
		'are refused with a position twice': [whole, [0, 2, [], 2, []]],
		'are refused with a position without a value': [whole, [0, 1, 2, 2]],
		'are refused with an object in place of a value, which would add fields to the template': [whole, [0, 1, {name: 1}, 2, []]],
		'are refused without a value that templates do not hold': [whole, [0, 1, 2]],
		'are refused with more fields than a template holds': [[0, Object.fromEntries(Array.from({length: 65}, (_, index) => [`f${index}`, index]))]],
		'are refused with many fields without a value': [[0, Object.fromEntries(Array.from({length: 65}, (_, index) => [`f${index}`, {}]))]],
		'are refused with objects that are nested too deep': [[0, {a: {b: {c: {d: {}}}}}]],
		'are refused with a name that is too long': [[0, {['n'.repeat(65)]: 1}]],
		'are refused with a date in place of a field': [[0, {kind: 'grant', at: new Date(0)}]],
	};

	for (const [name, items] of Object.entries(cases)) {
		test(name, () => {
			doTest(items);
		});
	}

	test('are refused or decoded, whatever bytes are spoiled', () => {
		fc.assert(fc.property(sequences, fc.array(fc.tuple(fc.nat(), fc.nat(255)), {minLength: 1, maxLength: 3}), (sent, spoiled) => {
			const coding = createLinkCoding(ownCompactForm);
			const reader = createFrameReader();
			reader.setCoding(createLinkCoding(ownCompactForm));
			for (const item of sent) {
				const frame = encodeFrame(item, coding);
				for (const [position, byte] of spoiled) {
					frame[4 + (position % (frame.length - 4))] = byte;
				}

				try {
					reader.push(frame);
				} catch (error) {
					expect(error instanceof FrameError).toEqual(true);
					return;
				}
			}
		}), {seed: 63, numRuns: 3000});
	});
});

// Guards against a release that gives a number of an earlier release to another name.
describe('fieldNames', () => {
	/** Number of names of a release, and the digest of these names. */
	const releases: ReadonlyArray<readonly [count: number, digest: string]> = [
		[197, '69195b620c4b17f6'],
	];

	for (const [count, digest] of releases) {
		test(`begins with the ${count} names of an earlier release`, () => {
			expect(createHash('sha256').update(fieldNames.slice(0, count).join(' ')).digest('hex').slice(0, 16)).toEqual(digest);
		});
	}

	test('has no name twice', () => {
		expect(new Set(fieldNames).size).toEqual(fieldNames.length);
	});
});
