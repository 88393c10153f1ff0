/** Copies of state by way of the records of the disk, for tests. A copy in memory would keep what the disk does not. */
import {encodeRecord, readRecords} from '../source/storage/index.js';

/**
 * Gets what the disk gives back of a value.
 * @param value - Plain data.
 */
export function getStoredCopy<Value>(value: Value): Value {
	const [copy] = readRecords('copy', encodeRecord(value)).values;
	return copy as Value;
}
