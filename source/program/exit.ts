/** Exit codes and the one way in which commands end. */

/** Exit codes of every command. */
export const exitCode = {done: 0, refused: 1, badInput: 2} as const;

/** Raised to end a command with an exit code and lines on standard error. */
export class Exit extends Error {
	override readonly name = 'Exit';

	constructor(readonly code: number, readonly lines: readonly string[]) {
		super(lines.join('\n'));
	}
}

/**
 * Ends the command because its input is bad.
 * @param faults - One line for each fault.
 */
export function rejectInput(faults: readonly string[]): never {
	throw new Exit(exitCode.badInput, faults);
}

/**
 * Ends the command because what it asked for was refused.
 * @param lines - Why it was refused.
 */
export function refuse(...lines: readonly string[]): never {
	throw new Exit(exitCode.refused, lines);
}
