import {type Buffer} from 'node:buffer';
import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createLineWriter} from './line-writer.js';

describe('createLineWriter', () => {
	type Done = (error: Error | null, written: number) => void;

	/** A reader that takes nothing until it is told to. */
	function createReader(): {readonly texts: string[]; write(chunk: Buffer, done: Done): void; take(most?: number): void} {
		const texts: string[] = [];
		let pending: (() => void) | undefined;
		let largest = Number.POSITIVE_INFINITY;
		return {
			texts,
			write(chunk, done) {
				pending = () => {
					const taken = chunk.subarray(0, largest);
					texts.push(taken.toString('utf8'));
					done(null, taken.length);
				};
			},
			take(most = Number.POSITIVE_INFINITY) {
				largest = most;
				const run = pending;
				pending = undefined;
				run?.();
			},
		};
	}

	test('joins the lines that come while one is written', () => {
		const reader = createReader();
		const writer = createLineWriter(reader.write);
		writer.write('one\n');
		writer.write('two\n');
		writer.write('three\n');
		reader.take();
		reader.take();
		expect(reader.texts).toEqual(['one\n', 'two\nthree\n']);
	});
	test('writes the rest of a line that was taken in part', () => {
		const reader = createReader();
		const writer = createLineWriter(reader.write);
		writer.write('abcdef\n');
		reader.take(3);
		reader.take();
		expect(reader.texts.join('')).toEqual('abcdef\n');
	});
	test('loses lines, not memory, while the reader stalls, and says how many', () => {
		const reader = createReader();
		const writer = createLineWriter(reader.write);
		const line = `${'x'.repeat(999)}\n`;
		for (let count = 0; count < 1000; count++) {
			writer.write(line);
		}

		const lost = writer.getLostCount();
		expect(lost > 700 && lost < 750).toEqual(true);
		reader.take();
		reader.take();
		writer.write('after\n');
		reader.take();
		expect(reader.texts.join('').includes(`"lost":${lost}`)).toEqual(true);
	});
});
