/**
 * Runs the test files with Node's test runner. Tests named in KNOWN-RED.txt are passed
 * over and printed; every other one must pass.
 */
import {spawnSync} from 'node:child_process';
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

const folders = ['source', 'stand-in', 'bench', 'scenario'];

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

const escaped = knownRed.map(name => name.replaceAll(/[$\(\)*+.?\[\\\]^\{\|\}]/gv, String.raw`\$&`));
const environment = {...process.env, GUAVADECK_KNOWN_RED: escaped.join('|')};
const chosen = process.argv.slice(2);
const {status} = spawnSync(process.execPath, ['--import', 'tsx', '--test', '--test-concurrency=2', ...(chosen.length > 0 ? chosen : files)], {stdio: 'inherit', env: environment});
process.exitCode = status ?? 1;
