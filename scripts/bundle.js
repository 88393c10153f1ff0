/** Bundles a program into one script; optional native modules are left out. */
import {build} from 'esbuild';

const absent = './scripts/absent.cjs';

/**
 * Bundles a program.
 * @param {string} entryPoint - First module.
 * @param {string} outfile - Script to write.
 */
export async function bundleProgram(entryPoint, outfile) {
	await build({
		entryPoints: [entryPoint],
		outfile,
		bundle: true,
		platform: 'node',
		target: 'node20',
		format: 'cjs',
		alias: {'dtrace-provider': absent, 'cbor-extract': absent, 'source-map-support': absent},
		minifySyntax: true,
		logLevel: 'warning',
	});
}
