/** `npm run scenario -- FILE…`: runs scenarios and exits 1 when a rule was broken. */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {parse, SyntaxError as GrammarError} from './grammar.js';
import {runScenario} from './runner.js';
import {type Statement} from './statement.js';

function readScenario(file: string): readonly Statement[] {
	try {
		return parse(readFileSync(file, 'utf8'));
	} catch (error) {
		const place = error instanceof GrammarError ? `:${error.location.start.line}:${error.location.start.column}` : '';
		process.stderr.write(`${file}${place}: ${(error as Error).message}\n`);
		process.exit(2);
	}
}

async function main(): Promise<void> {
	const seedIndex = process.argv.indexOf('--seed');
	const seed = seedIndex === -1 ? undefined : Number(process.argv[seedIndex + 1]);
	const files = process.argv.slice(2).filter((argument, index) => argument.endsWith('.scenario') && index !== seedIndex);
	if (files.length === 0) {
		process.stderr.write('name at least one scenario file\n');
		process.exit(2);
	}

	const scenarios = files.map(file => ({file, statements: readScenario(file)}));
	for (const {file, statements} of scenarios) {
		const outcome = await runScenario(statements, seed);
		const word = outcome.violations.length === 0 ? 'holds' : 'BROKEN';
		process.stdout.write(`${file}: ${word} (seed ${outcome.seed}, ${outcome.callerAttempts} sendings, ${outcome.answered} answered, ${outcome.requestRecords} runs) ${JSON.stringify(outcome.failureCounts)}\n`);
		for (const violation of outcome.violations) {
			process.exitCode = 1;
			process.stdout.write(`  ${violation}\n`);
		}
	}
}

await main();
