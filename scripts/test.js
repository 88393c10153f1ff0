/**
 * Runs the test files given as arguments, or all test files if there are none, with Node's test runner. The files listed in
 * KNOWN-RED.txt, which contain only tests of known faults, are printed and are skipped in a run of all files; every other file must
 * pass. A file that hangs is reported as failed after a timeout instead of blocking the run. The output ends with the failed tests and
 * their errors.
 */
import {spawnSync} from 'node:child_process';
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

/** Time after which a test or test file that has not ended is reported as failed. */
const testTimeoutMilliseconds = 600_000;

const folders = ['source', 'platform', 'stand-in', 'bench', 'scenario', 'soak'].filter(folder => existsSync(folder));

function findTestFiles(folder) {
	return readdirSync(folder, {withFileTypes: true, recursive: true})
		.filter(file => file.isFile() && file.name.endsWith('.test.ts'))
		.map(file => path.join(file.parentPath ?? file.path, file.name));
}

function readKnownFailures() {
	return readFileSync('KNOWN-RED.txt', 'utf8')
		.split('\n')
		.filter(line => line.startsWith('test: '))
		.map(line => line.slice('test: '.length).trim());
}

const files = folders.flatMap(folder => findTestFiles(folder)).toSorted((left, right) => left.localeCompare(right));
const knownFailures = readKnownFailures();
const selectedFiles = process.argv.slice(2);
for (const name of selectedFiles.length === 0 ? knownFailures : []) {
	console.log(`skipped, listed in KNOWN-RED.txt: ${name}`);
}

const requiredFiles = files.filter(file => !knownFailures.includes(file));
const {status} = spawnSync(process.execPath, [
	'--import',
	'tsx',
	'--test',
	'--test-concurrency=1',
	`--test-timeout=${testTimeoutMilliseconds}`,
	...['tap', './scripts/failure-reporter.js'].flatMap(reporter => [`--test-reporter=${reporter}`, '--test-reporter-destination=stdout']),
	...(selectedFiles.length > 0 ? selectedFiles : requiredFiles),
], {stdio: 'inherit'});
process.exitCode = status ?? 1;
