/** Bundles a program into one script; optional native modules are left out. */
import {build} from 'esbuild';

const absent = './scripts/absent.cjs';

/** Modules that are replaced in bundles. */
const alias = {
	// Only the modules of the library that are used, not all of them.
	rxjs: './node_modules/rxjs/dist/esm/index.js',
	'@opentelemetry/api': './scripts/no-tracing.cjs',
	'dtrace-provider': absent,
	'cbor-extract': absent,
	'source-map-support': absent,
};

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
		alias,
		minify: true,
		logLevel: 'warning',
	});
}
