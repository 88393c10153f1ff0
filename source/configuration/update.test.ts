import {describe, test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {decode, encode} from '../wire/index.js';
import {
	applyDocumentUpdate, documentSchema, getDocumentUpdate, type DocumentUpdate, type EnvironmentDocument,
} from './index.js';

type Shape = {readonly names: readonly string[]; readonly deadlines: readonly number[]; readonly isNorthIn: boolean};

function getDocument(shape: Shape): EnvironmentDocument {
	return documentSchema.parse({
		zones: [{name: 'north', inService: shape.isNorthIn}, {name: 'south'}],
		services: shape.names.map((name, index) => ({name, path: `/${name}`, deadlineMilliseconds: shape.deadlines[index % shape.deadlines.length]})),
	});
}

const shapes = fc.record({
	names: fc.uniqueArray(fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f'), {minLength: 1}),
	deadlines: fc.array(fc.constantFrom(100, 200), {minLength: 1, maxLength: 3}),
	isNorthIn: fc.boolean(),
});

/** Sends an update as it travels between processes. */
function send(update: DocumentUpdate): DocumentUpdate {
	return decode(encode(update)) as DocumentUpdate;
}

describe('getDocumentUpdate and applyDocumentUpdate', () => {
	function doTest(seed: number, check: (base: EnvironmentDocument, next: EnvironmentDocument, other: EnvironmentDocument) => void): void {
		fc.assert(fc.property(shapes, shapes, shapes, (base, next, other) => {
			check(getDocument(base), getDocument(next), getDocument(other));
		}), {seed, numRuns: 500});
	}

	test('lead from any document to any other', () => {
		let deltas = 0;
		doTest(51, (base, next) => {
			const update = getDocumentUpdate(base, next);
			deltas += update.kind === 'delta' ? 1 : 0;
			expect(applyDocumentUpdate(base, send(update)).unwrapOr(base)).toEqual(next);
		});
		expect(deltas > 50).toEqual(true);
	});
	test('lead to the same document from another base, or fail', () => {
		let failed = 0;
		doTest(52, (base, next, other) => {
			const result = applyDocumentUpdate(other, send(getDocumentUpdate(base, next)));
			failed += result.isErr ? 1 : 0;
			expect(result.unwrapOr(next)).toEqual(next);
		});
		expect(failed > 50).toEqual(true);
	});
	test('fail without a base', () => {
		const document = getDocument({names: ['a', 'b'], deadlines: [100], isNorthIn: true});
		expect(applyDocumentUpdate(undefined, getDocumentUpdate(document, document)).isErr).toEqual(true);
	});
});

describe('getDocumentUpdate: size', () => {
	function doTest(changed: number, expected: DocumentUpdate['kind']): void {
		const names = Array.from({length: 200}, (_, index) => `service-${index}`);
		const base = getDocument({names, deadlines: [100], isNorthIn: true});
		const next = {...base, services: base.services.map((service, index) => index < changed ? {...service, queueLength: 7} : service)};
		const update = getDocumentUpdate(base, next);
		expect(update.kind).toEqual(expected);
		expect(encode(update).length < 600 + (changed * 500)).toEqual(true);
	}

	test('grows with what changed', () => {
		doTest(1, 'delta');
	});
	test('is that of a whole document when most changed', () => {
		doTest(150, 'whole');
	});
});
