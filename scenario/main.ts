/**
 * Implements `npm run scenario -- FILE…`, which runs scenarios. The exit code is 1 if a check or an expectation of a scenario
 * fails, and 2 if a scenario file is missing or invalid.
 */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {parseArguments, type ScenarioArguments} from './arguments.js';
import {parse, SyntaxError as GrammarError} from './grammar.js';
import {runScenario} from './runner.js';
import {type Statement} from './statement.js';

function readScenario(file: string): readonly Statement[] {
	try {
		return parse(readFileSync(file, 'utf8'));
	} catch (error) {
		const position = error instanceof GrammarError ? `:${error.location.start.line}:${error.location.start.column}` : '';
		process.stderr.write(`${file}${position}: ${(error as Error).message}\n`);
		process.exit(2);
	}
}

function readArguments(): ScenarioArguments {
	try {
		return parseArguments(process.argv.slice(2));
	} catch (error) {
		process.stderr.write(`${(error as Error).message}\n`);
		process.exit(2);
	}
}

async function main(): Promise<void> {
	const {files, seed} = readArguments();
	const scenarios = files.map(file => ({file, statements: readScenario(file)}));
	for (const {file, statements} of scenarios) {
		const result = await runScenario(statements, seed);
		const status = result.violations.length === 0 ? 'holds' : 'BROKEN';
		process.stdout.write(`${file}: ${status} (seed ${result.seed}, ${result.attempts} attempts, ${result.answered} answered, ${result.requests} requests at servers) ${
			JSON.stringify(result.failureCounts)
		}\n`);
		for (const violation of result.violations) {
			process.exitCode = 1;
			process.stdout.write(`  ${violation}\n`);
		}
	}
}

await main();
