/**
 * Builds dist/guavadeck: a bundle in one executable. With `--bundle`, the bundle alone;
 * with `--platform`, the bundle for the users' platform under target/.
 */
import {execFileSync} from 'node:child_process';
import {
	chmodSync, copyFileSync, mkdirSync, rmSync, writeFileSync,
} from 'node:fs';
import process from 'node:process';
import {bundleProgram} from './bundle.js';

const bundle = 'dist/guavadeck.cjs';
const executable = 'dist/guavadeck';
const configuration = 'dist/executable.json';
const blob = 'dist/guavadeck.blob';
const fuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

if (process.argv.includes('--platform')) {
	mkdirSync('target', {recursive: true});
	await bundleProgram('platform/main.ts', 'target/guavadeck.cjs');
} else {
	mkdirSync('dist', {recursive: true});
	await bundleProgram('source/program/main.ts', bundle);
}

if (!process.argv.includes('--bundle') && !process.argv.includes('--platform')) {
	writeFileSync(configuration, JSON.stringify({main: bundle, output: blob, disableExperimentalSEAWarning: true}));
	execFileSync(process.execPath, ['--experimental-sea-config', configuration]);
	// A copy over an executable that still runs would fail.
	rmSync(executable, {force: true});
	copyFileSync(process.execPath, executable);
	chmodSync(executable, 0o755);
	execFileSync(process.execPath, ['node_modules/postject/dist/cli.js', executable, 'NODE_SEA_BLOB', blob, '--sentinel-fuse', fuse]);
}
