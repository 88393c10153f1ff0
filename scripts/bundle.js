/** Bundles a program and its dependencies, without optional native modules, into a single script. */
import {build} from 'esbuild';

const missingModule = './scripts/missing-module.cjs';

/** Replacements of modules in bundles. */
const alias = {
	// The ES modules, so that the bundle contains only the parts of the library that are used.
	rxjs: './node_modules/rxjs/dist/esm/index.js',
	'@opentelemetry/api': './scripts/no-tracing.cjs',
	'dtrace-provider': missingModule,
	'cbor-extract': missingModule,
	'source-map-support': missingModule,
};

/**
 * Bundles a program.
 * @param {string} entryPoint - Path of the module that starts the program.
 * @param {string} outfile - Path of the script to write.
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
