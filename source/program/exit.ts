/** Exit codes and the one way in which commands end. */

import process from 'node:process';

/** Exit codes of every command. */
export const exitCode = {success: 0, failure: 1, invalidInput: 2} as const;

/** Raised to end a command with an exit code and lines on standard error. */
export class ExitError extends Error {
	override readonly name = 'Exit';

	constructor(readonly code: number, readonly lines: readonly string[]) {
		super(lines.join('\n'));
	}
}

/**
 * Ends the process with the exit code and the lines that an error asks for.
 * @param error - Error that ended the command.
 */
export function exitWithError(error: Error): never {
	const isUsageError = error.name === 'CACError';
	const lines = error instanceof ExitError ? error.lines : [isUsageError ? `${error.message}; see guavadeck --help` : error.stack ?? error.message];
	process.stderr.write(`${lines.join('\n')}\n`);
	// Servers and timers that were started before the error must not keep the process alive.
	process.exit(error instanceof ExitError ? error.code : (isUsageError ? exitCode.invalidInput : exitCode.failure));
}

/**
 * Ends the command because its input is bad.
 * @param faults - One line for each fault.
 */
export function rejectInput(faults: readonly string[]): never {
	throw new ExitError(exitCode.invalidInput, faults);
}

/**
 * Ends the command because what it asked for was refused.
 * @param lines - Why it was refused.
 */
export function failCommand(...lines: readonly string[]): never {
	throw new ExitError(exitCode.failure, lines);
}
