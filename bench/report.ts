/** What every bench prints: figures, and targets that hold or do not. */
import process from 'node:process';

/** Options that every bench takes. */
export type BenchOptions = {
	readonly seed: number;
	readonly isQuick: boolean;
	readonly isJson: boolean;
	/** Policies to compare, where a bench does. */
	readonly policies: readonly string[];
	/** Conditions to compare under, where a bench does; all of them when empty. */
	readonly conditions: readonly string[];
	/** Number of entries, where a bench takes it. */
	readonly entries: number | undefined;
	/** Milliseconds between the entries' counts, where a bench takes it. */
	readonly exchangeMilliseconds: number | undefined;
};

/** A stated target and what was measured. */
export type BenchTarget = {readonly name: string; readonly bound: number; readonly measured: number; readonly holds: boolean};

/** One row of figures. */
export type BenchRow = Readonly<Record<string, string | number>>;

/** Result of a bench. */
export type BenchReport = {readonly bench: string; readonly seed: number; readonly rows: readonly BenchRow[]; readonly targets: readonly BenchTarget[]};

/**
 * Creates a target that holds while the measured value is at most the bound.
 * @param name - What is measured.
 * @param bound - Largest value that holds.
 * @param measured - Measured value.
 */
export function atMost(name: string, bound: number, measured: number): BenchTarget {
	return {
		name, bound, measured, holds: measured <= bound,
	};
}

/**
 * Creates a target that holds while the measured value is at least the bound.
 * @param name - What is measured.
 * @param bound - Smallest value that holds.
 * @param measured - Measured value.
 */
export function atLeast(name: string, bound: number, measured: number): BenchTarget {
	return {
		name, bound, measured, holds: measured >= bound,
	};
}

/**
 * Gets the median.
 * @param values - Numbers in any order.
 */
export function getMedian(values: readonly number[]): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.floor(sorted.length / 2)] ?? Number.NaN;
}

/**
 * Prints a report and sets the exit code.
 * @param report - Result of a bench.
 * @param isJson - Whether to print JSON.
 */
export function printReport(report: BenchReport, isJson: boolean): void {
	process.exitCode = report.targets.every(target => target.holds) ? 0 : 1;
	if (isJson) {
		process.stdout.write(`${JSON.stringify(report, undefined, 2)}\n`);
		return;
	}

	for (const row of report.rows) {
		process.stdout.write(`${Object.entries(row).map(([name, value]) => `${name} ${typeof value === 'number' ? Number(value.toFixed(3)) : value}`).join('  ')}\n`);
	}

	for (const target of report.targets) {
		process.stdout.write(`${target.holds ? 'holds ' : 'FAILS '} ${target.name}: measured ${Number(target.measured.toFixed(3))}, bound ${target.bound}\n`);
	}
}
