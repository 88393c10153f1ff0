/** Defines the exit codes, and the errors that end a command. */

import process from 'node:process';

/** Exit codes of every command. */
export const exitCode = {success: 0, failure: 1, invalidInput: 2} as const;

/** Error that ends a command with an exit code and lines on standard error. */
export class ExitError extends Error {
	override readonly name = 'ExitError';

	constructor(readonly code: number, readonly lines: readonly string[]) {
		super(lines.join('\n'));
	}
}

/**
 * Prints an error on standard error and ends the process with the matching exit code.
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
 * Ends the command with the exit code for invalid input.
 * @param messages - Error messages, one line for each invalid value.
 */
export function rejectInput(messages: readonly string[]): never {
	throw new ExitError(exitCode.invalidInput, messages);
}

/**
 * Ends the command with the exit code for a failed or rejected operation.
 * @param lines - Reason, one line for each item.
 */
export function failCommand(...lines: readonly string[]): never {
	throw new ExitError(exitCode.failure, lines);
}
