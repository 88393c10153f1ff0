/**
 * Reporter of Node's test runner that prints nothing but the failed tests, at the end of the run: file, names from the outermost suite
 * inwards, error, and what the file wrote to its standard error.
 */
import path from 'node:path';
import process from 'node:process';

/** Maximum length of the error of a test, and of the output of a file, in characters. */
const maximumTextLength = 4000;

/** Error code of a suite or file that failed only because a test in it did. */
const subtestFailure = 'subtestsFailed';

function getFile({file, name}) {
	return path.relative(process.cwd(), file ?? name);
}

function formatError({error}) {
	const cause = error?.cause ?? error;
	const text = cause?.stack ?? String(cause);
	return text.slice(0, maximumTextLength).replaceAll(/^/gmv, '\t');
}

/**
 * Reports the failed tests of a run.
 * @param {AsyncIterable<{type: string, data: object}>} events - Events of the test runner.
 */
export default async function * reportFailures(events) {
	const failures = [];
	const outputs = new Map();
	let openNames = [];
	for await (const {type, data} of events) {
		switch (type) {
			case 'test:start': {
				openNames = [...openNames.slice(0, data.nesting), data.name];
				break;
			}

			case 'test:stderr': {
				const file = getFile(data);
				outputs.set(file, `${outputs.get(file) ?? ''}${data.message}`.slice(-maximumTextLength));
				break;
			}

			case 'test:fail': {
				if (data.details.error?.failureType !== subtestFailure) {
					failures.push({file: getFile(data), names: [...openNames.slice(0, data.nesting), data.name], error: formatError(data.details)});
				}

				break;
			}

			default:
		}
	}

	for (const {file, names, error} of failures) {
		yield `\nfailed: ${file}: ${names.join(' > ')}\n${error}\n`;
	}

	for (const file of new Set(failures.map(failure => failure.file).filter(failedFile => outputs.has(failedFile)))) {
		yield `\nstandard error of ${file}:\n${outputs.get(file).replaceAll(/^/gmv, '\t')}\n`;
	}
}
