/**
 * Builds `dist/guavadeck`, a single executable that contains the bundled program. With `--bundle`, builds only the bundle; with
 * `--platform`, builds the bundle for the users' platform under `target/`.
 */
import {execFileSync} from 'node:child_process';
import {
	chmodSync, copyFileSync, mkdirSync, rmSync, writeFileSync,
} from 'node:fs';
import process from 'node:process';
import {bundleProgram} from './bundle.js';

const bundleFile = 'dist/guavadeck.cjs';
const executableFile = 'dist/guavadeck';
const configurationFile = 'dist/executable.json';
const blobFile = 'dist/guavadeck.blob';

/** Marker in the Node.js executable that enables an embedded program. */
const sentinelFuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

if (process.argv.includes('--platform')) {
	mkdirSync('target', {recursive: true});
	await bundleProgram('platform/main.ts', 'target/guavadeck.cjs');
} else {
	mkdirSync('dist', {recursive: true});
	await bundleProgram('source/program/main.ts', bundleFile);
}

if (!process.argv.includes('--bundle') && !process.argv.includes('--platform')) {
	writeFileSync(configurationFile, JSON.stringify({main: bundleFile, output: blobFile, disableExperimentalSEAWarning: true}));
	execFileSync(process.execPath, ['--experimental-sea-config', configurationFile]);
	// The old executable is removed first, since copying over a running one would fail.
	rmSync(executableFile, {force: true});
	copyFileSync(process.execPath, executableFile);
	chmodSync(executableFile, 0o755);
	execFileSync(process.execPath, ['node_modules/postject/dist/cli.js', executableFile, 'NODE_SEA_BLOB', blobFile, '--sentinel-fuse', sentinelFuse]);
}
