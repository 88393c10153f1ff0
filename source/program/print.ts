/** Prints results as lines, tables or JSON on standard output. */
import process from 'node:process';

/**
 * Prints one line.
 * @param line - Text without a line break.
 */
export function printLine(line: string): void {
	process.stdout.write(`${line}\n`);
}

/**
 * Prints a value as JSON.
 * @param value - Plain data.
 */
export function printJson(value: unknown): void {
	printLine(JSON.stringify(value, undefined, 2));
}

/**
 * Prints a table with padded columns.
 * @param header - Titles of the columns.
 * @param rows - Cells of each row.
 */
export function printTable(header: readonly string[], rows: ReadonlyArray<readonly string[]>): void {
	const allRows = [header, ...rows];
	const widths = header.map((_, column) => Math.max(...allRows.map(row => row[column]?.length ?? 0)));
	for (const row of allRows) {
		printLine(row.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd());
	}
}
