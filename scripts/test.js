/**
 * Runs the test files with Node's test runner. Files named in KNOWN-RED.txt hold only
 * tests of known faults: they are passed over and printed, every other one must pass.
 * A file that hangs fails by name instead of holding the whole run up.
 */
import {spawnSync} from 'node:child_process';
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

/** Time after which a test or a whole test file counts as hung, in milliseconds. */
const hungMilliseconds = 600_000;

const folders = ['source', 'platform', 'stand-in', 'bench', 'scenario'].filter(folder => existsSync(folder));

function findTests(folder) {
	return readdirSync(folder, {withFileTypes: true, recursive: true})
		.filter(file => file.isFile() && file.name.endsWith('.test.ts'))
		.map(file => path.join(file.parentPath ?? file.path, file.name));
}

function readKnownRed() {
	return readFileSync('KNOWN-RED.txt', 'utf8')
		.split('\n')
		.filter(line => line.startsWith('test: '))
		.map(line => line.slice('test: '.length).trim());
}

const files = folders.flatMap(folder => findTests(folder)).toSorted((left, right) => left.localeCompare(right));
const knownRed = readKnownRed();
for (const name of knownRed) {
	console.log(`known red, passed over: ${name}`);
}

const chosen = process.argv.slice(2);
const green = files.filter(file => !knownRed.includes(file));
const {status} = spawnSync(process.execPath, ['--import', 'tsx', '--test', '--test-concurrency=1', `--test-timeout=${hungMilliseconds}`, ...(chosen.length > 0 ? chosen : green)], {stdio: 'inherit'});
process.exitCode = status ?? 1;
