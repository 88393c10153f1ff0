/** @type {import('xo').FlatXoConfig} */
const config = [
	{
		// The parser is generated from grammar.peggy.
		ignores: ['dist/**', 'target/**', 'scenario/grammar.js', 'scenario/grammar.d.ts'],
	},
	{
		files: ['**/*.ts', '**/*.js'],
		rules: {
			// One loop on one thread: sequential awaits are the ordinary case here.
			'no-await-in-loop': 'off',
			// Wire messages and settings keep the names of the protocol.
			'@typescript-eslint/naming-convention': 'off',
			// The runner's own `test` is a promise that nobody awaits.
			'@typescript-eslint/no-floating-promises': ['error', {allowForKnownSafeCalls: [{from: 'package', package: 'node:test', name: ['test', 'describe', 'it']}]}],
			'unicorn/prevent-abbreviations': 'off',
			// Node's sockets and HTTP hand out buffers, whose readers the framing uses.
			'@typescript-eslint/no-restricted-types': 'off',
			// Decoded frames and files get their type where they are read.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// State that closures share changes between the turns of a loop that awaits.
			'no-unmodified-loop-condition': 'off',
			'@typescript-eslint/no-loop-func': 'off',
			// The program is a command line.
			'unicorn/no-process-exit': 'off',
			// Members of a type stand in the order in which a reader needs them.
			'@typescript-eslint/member-ordering': 'off',
			// A switch over a union lists every variant.
			complexity: 'off',
		},
	},
];

export default config;
