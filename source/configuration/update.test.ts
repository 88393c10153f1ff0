import {createHash} from 'node:crypto';
import {describe, test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {decode, encode} from '../wire/index.js';
import {
	applyDocumentUpdate, documentSchema, getDocumentUpdate, type DocumentUpdate, type EnvironmentDocument,
} from './index.js';

type DocumentShape = {
	readonly names: readonly string[];
	readonly deadlines: readonly number[];
	readonly isNorthInService: boolean;
	/** Names of the workspaces and a number that changes their keys; no workspaces when undefined. */
	readonly workspaces?: ReadonlyArray<readonly [name: string, key: number]> | undefined;
};

function getDigest(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

function getDocument(shape: DocumentShape): EnvironmentDocument {
	return documentSchema.parse({
		zones: [{name: 'north', inService: shape.isNorthInService}, {name: 'south'}],
		services: shape.names.map((name, index) => ({name, path: `/${name}`, deadlineMilliseconds: shape.deadlines[index % shape.deadlines.length]})),
		...(shape.workspaces === undefined ? {} : {workspaces: shape.workspaces.map(([name, key]) => ({name, keyDigests: [getDigest(`${name} ${key}`)]}))}),
	});
}

const shapes = fc.record({
	names: fc.uniqueArray(fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f'), {minLength: 1}),
	deadlines: fc.array(fc.constantFrom(100, 200), {minLength: 1, maxLength: 3}),
	isNorthInService: fc.boolean(),
	workspaces: fc.option(fc.uniqueArray(fc.tuple(fc.constantFrom('p', 'q', 'r', 's'), fc.nat(1)), {selector: ([name]) => name}), {nil: undefined}),
});

/** Encodes and decodes an update, as when it is sent to another process. */
function sendOverWire(update: DocumentUpdate): DocumentUpdate {
	return decode(encode(update)) as DocumentUpdate;
}

describe('getDocumentUpdate and applyDocumentUpdate', () => {
	function doTest(seed: number, check: (base: EnvironmentDocument, next: EnvironmentDocument, other: EnvironmentDocument) => void): void {
		fc.assert(fc.property(shapes, shapes, shapes, (base, next, other) => {
			check(getDocument(base), getDocument(next), getDocument(other));
		}), {seed, numRuns: 500});
	}

	test('convert any document to any other', () => {
		let deltaCount = 0;
		doTest(51, (base, next) => {
			const update = getDocumentUpdate(base, next);
			deltaCount += update.kind === 'delta' ? 1 : 0;
			expect(applyDocumentUpdate(base, sendOverWire(update)).unwrapOr(base)).toEqual(next);
		});
		expect(deltaCount > 50).toEqual(true);
	});
	test('give the same document from another base, or fail', () => {
		let failedCount = 0;
		doTest(52, (base, next, other) => {
			const result = applyDocumentUpdate(other, sendOverWire(getDocumentUpdate(base, next)));
			failedCount += result.isErr ? 1 : 0;
			expect(result.unwrapOr(next)).toEqual(next);
		});
		expect(failedCount > 50).toEqual(true);
	});
	test('fail where one document has no list of workspaces, and the other an empty one', () => {
		const open = getDocument({names: ['a', 'b', 'c'], deadlines: [100], isNorthInService: true});
		const next = {...open, measuring: {...open.measuring, probesPerSecond: 7}};
		const update = getDocumentUpdate(open, next);
		expect([update.kind, applyDocumentUpdate({...open, workspaces: []}, sendOverWire(update)).isErr]).toEqual(['delta', true]);
	});
	test('give an empty list of workspaces as the complete document, which earlier releases read too', () => {
		const open = getDocument({names: ['a', 'b', 'c'], deadlines: [100], isNorthInService: true});
		const withWorkspace = {...open, workspaces: [{name: 'p', keyDigests: []}]};
		for (const base of [open, {...open, workspaces: []}, withWorkspace]) {
			expect(sendOverWire(getDocumentUpdate(base, {...open, workspaces: []}))).toEqual({kind: 'whole', document: {...open, workspaces: []}});
		}
	});
	test('fail without a base', () => {
		const document = getDocument({names: ['a', 'b'], deadlines: [100], isNorthInService: true});
		expect(applyDocumentUpdate(undefined, getDocumentUpdate(document, document)).isErr).toEqual(true);
	});
});

describe('getDocumentUpdate: size', () => {
	function doTest(changedCount: number, expected: DocumentUpdate['kind']): void {
		const names = Array.from({length: 200}, (_, index) => `service-${index}`);
		const base = getDocument({names, deadlines: [100], isNorthInService: true});
		const next = {...base, services: base.services.map((service, index) => index < changedCount ? {...service, queueLength: 7} : service)};
		const update = getDocumentUpdate(base, next);
		expect(update.kind).toEqual(expected);
		expect(encode(update).length < 600 + (changedCount * 500)).toEqual(true);
	}

	test('grows with the number of changed services', () => {
		doTest(1, 'delta');
	});
	test('is that of a complete document when most services changed', () => {
		doTest(150, 'whole');
	});
});

// Guards against updates that carry the keys of all workspaces when one of them changes.
describe('getDocumentUpdate: a new key of one among many workspaces', () => {
	test('is sent without the other workspaces', () => {
		const names = Array.from({length: 2000}, (_, index) => [`workspace-${index}`, 0] as const);
		const shape = {names: ['a', 'b', 'c'], deadlines: [100], isNorthInService: true};
		const base = getDocument({...shape, workspaces: names});
		const next = getDocument({...shape, workspaces: names.map(([name], index) => [name, index === 1000 ? 1 : 0])});
		const update = getDocumentUpdate(base, next);
		expect(encode(update).length < 1000).toEqual(true);
		expect(applyDocumentUpdate(base, sendOverWire(update)).unwrapOr(base)).toEqual(next);
	});
});
