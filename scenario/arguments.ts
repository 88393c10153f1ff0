/** Parses the arguments of `npm run scenario`. */
import {parseArgs} from 'node:util';

/** Files to run, and the seed that replaces theirs, if one is given. */
export type ScenarioArguments = {readonly files: readonly string[]; readonly seed: number | undefined};

/**
 * Parses the arguments. Throws an error that names the argument and the remedy if they are invalid.
 * @param values - Arguments without the names of the program.
 */
export function parseArguments(values: readonly string[]): ScenarioArguments {
	const {values: {seed}, positionals: files} = parseArgs({args: [...values], options: {seed: {type: 'string'}}, allowPositionals: true});
	if (files.length === 0) {
		throw new Error('no scenario file given; usage: npm run scenario -- FILE.scenario… [--seed <n>]');
	}

	const otherFile = files.find(file => !file.endsWith('.scenario'));
	if (otherFile !== undefined) {
		throw new Error(`${otherFile}: not a scenario; name files that end in .scenario`);
	}

	if (seed !== undefined && !/^\d+$/v.test(seed)) {
		throw new Error(`--seed: "${seed}" is no number; give a whole number`);
	}

	return {files, seed: seed === undefined ? undefined : Number(seed)};
}
