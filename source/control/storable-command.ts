/** Checks that commands can be stored: what the disks and links of other hosts give back must be what the leader acknowledges. */
import {decode, encode} from '../wire/index.js';

/**
 * Checks whether a command that is encoded and decoded once is still the same.
 * @param command - Command to check; plain data.
 */
export function isStorable(command: unknown): boolean {
	return JSON.stringify(decode(encode(command))) === JSON.stringify(command);
}
