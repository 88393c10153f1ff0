import {Buffer} from 'node:buffer';
import {describe, test} from 'node:test';
import {expect} from 'earl';
import * as fc from 'fast-check';
import {createByteCollector} from './byte-collector.js';

const readBytes = 65_536;

/** Maximum memory that is not filled: a part of one block, or a chunk's buffer. */
const marginBytes = 8192;

describe('createByteCollector', () => {
	test('returns what was added, in order', () => {
		const chunkSizes = fc.array(fc.oneof(fc.nat(20), fc.integer({min: 4000, max: 5000}), fc.integer({min: 0, max: readBytes})), {maxLength: 30});
		fc.assert(fc.property(chunkSizes, sizes => {
			const collector = createByteCollector();
			const chunks = sizes.map((size, index) => Buffer.alloc(size, index + 1));
			for (const chunk of chunks) {
				collector.add(chunk);
			}

			const expected = Buffer.concat(chunks);
			expect(collector.getSize()).toEqual(expected.length);
			expect(collector.toBuffer().equals(expected)).toEqual(true);
			expect(Buffer.concat(collector.getParts()).equals(expected)).toEqual(true);
		}), {seed: 301, numRuns: 200});
	});

	test('holds little more than twice the bytes of any chunks of a read', () => {
		const chunkSizes = fc.array(fc.oneof(fc.nat(20), fc.integer({min: 4000, max: 5000}), fc.integer({min: 0, max: readBytes})), {maxLength: 300});
		fc.assert(fc.property(chunkSizes, sizes => {
			const collector = createByteCollector();
			for (const size of sizes) {
				collector.add(Buffer.alloc(readBytes).subarray(0, size));
			}

			expect(collector.getHeldBytes() <= (collector.getSize() * 2) + marginBytes).toEqual(true);
		}), {seed: 302, numRuns: 100});
	});

	test('keeps few parts of a body of single bytes', () => {
		const collector = createByteCollector();
		const read = Buffer.alloc(readBytes);
		for (let index = 0; index < readBytes; index++) {
			collector.add(read.subarray(index, index + 1));
		}

		expect(collector.getParts().length).toEqual(readBytes / marginBytes);
	});
});
