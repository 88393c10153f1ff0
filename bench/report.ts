/** Defines the options and the report of a bench, and prints the report. */
import process from 'node:process';

/** Options of a bench. */
export type BenchOptions = {
	readonly seed: number;
	/** Whether to measure fewer cases for a shorter time. */
	readonly isQuick: boolean;
	readonly isJson: boolean;
	/** Policies to compare, or the defaults of the bench if empty. Ignored by benches that compare no policies. */
	readonly policies: readonly string[];
	/** Conditions under which to compare, or the defaults of the bench if empty. Ignored by benches without conditions. */
	readonly conditions: readonly string[];
	/** Number of entries, or undefined for the default of the bench. Ignored by benches with a fixed number. */
	readonly entryCount: number | undefined;
	/** Interval at which entries exchange counts, or undefined for the default. Ignored by benches that do not set it. */
	readonly exchangeMilliseconds: number | undefined;
};

/** A target, with its bound and the measured value. */
export type BenchTarget = {readonly name: string; readonly bound: number; readonly measured: number; readonly holds: boolean};

/** Measured values by column. */
export type BenchRow = Readonly<Record<string, string | number>>;

/** Result of a bench. */
export type BenchReport = {readonly bench: string; readonly seed: number; readonly rows: readonly BenchRow[]; readonly targets: readonly BenchTarget[]};

/**
 * Creates a target that holds if the measured value is at most the bound.
 * @param name - What is measured.
 * @param bound - Largest acceptable value.
 * @param measured - Measured value.
 */
export function createMaximumTarget(name: string, bound: number, measured: number): BenchTarget {
	return {
		name, bound, measured, holds: measured <= bound,
	};
}

/**
 * Creates a target that holds if the measured value is at least the bound.
 * @param name - What is measured.
 * @param bound - Smallest acceptable value.
 * @param measured - Measured value.
 */
export function createMinimumTarget(name: string, bound: number, measured: number): BenchTarget {
	return {
		name, bound, measured, holds: measured >= bound,
	};
}

/**
 * Gets the median, which is the upper of the two middle values of an even count, or NaN if there are no values.
 * @param values - Numbers in any order.
 */
export function getMedian(values: readonly number[]): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.floor(sorted.length / 2)] ?? Number.NaN;
}

/**
 * Prints a report, and sets the exit code to 1 if a target does not hold.
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
