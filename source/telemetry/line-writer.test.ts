import {type Buffer} from 'node:buffer';
import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createLineWriter} from './line-writer.js';

describe('createLineWriter', () => {
	type WriteCallback = (error: Error | null, written: number) => void;

	/** Creates a reader that accepts data only when `take` is called. */
	function createReader(): {readonly texts: string[]; write(chunk: Buffer, done: WriteCallback): void; take(maximum?: number): void} {
		const texts: string[] = [];
		let pending: (() => void) | undefined;
		let maximumBytes = Number.POSITIVE_INFINITY;
		return {
			texts,
			write(chunk, done) {
				pending = () => {
					const taken = chunk.subarray(0, maximumBytes);
					texts.push(taken.toString('utf8'));
					done(null, taken.length);
				};
			},
			take(maximum = Number.POSITIVE_INFINITY) {
				maximumBytes = maximum;
				const run = pending;
				pending = undefined;
				run?.();
			},
		};
	}

	test('joins the lines that arrive while a write is in progress', () => {
		const reader = createReader();
		const writer = createLineWriter(reader.write);
		writer.write('one\n');
		writer.write('two\n');
		writer.write('three\n');
		reader.take();
		reader.take();
		expect(reader.texts).toEqual(['one\n', 'two\nthree\n']);
	});
	test('writes the rest of a line after a partial write', () => {
		const reader = createReader();
		const writer = createLineWriter(reader.write);
		writer.write('abcdef\n');
		reader.take(3);
		reader.take();
		expect(reader.texts.join('')).toEqual('abcdef\n');
	});
	test('drops lines beyond the limit while the reader stalls, and reports their number', () => {
		const reader = createReader();
		const writer = createLineWriter(reader.write);
		const line = `${'x'.repeat(999)}\n`;
		for (let count = 0; count < 1000; count++) {
			writer.write(line);
		}

		const lostCount = writer.getLostCount();
		expect(lostCount > 700 && lostCount < 750).toEqual(true);
		reader.take();
		reader.take();
		writer.write('after\n');
		reader.take();
		expect(reader.texts.join('').includes(`"lost":${lostCount}`)).toEqual(true);
	});
	test('counts every line of a write that fails', () => {
		const failures: Array<() => void> = [];
		const writer = createLineWriter((_, done) => {
			failures.push(() => {
				done(new Error('closed'), 0);
			});
		});
		for (const line of ['one\n', 'two\n', 'three\n']) {
			writer.write(line);
		}

		failures[0]!();
		failures[1]!();
		expect(writer.getLostCount()).toEqual(3);
	});
	test('counts the bytes of characters that have several against the limit', () => {
		const reader = createReader();
		const writer = createLineWriter(reader.write);
		const line = `${'é'.repeat(499)}\n`;
		for (let count = 0; count < 1000; count++) {
			writer.write(line);
		}

		expect(writer.getLostCount() > 700).toEqual(true);
	});
});
