/**
 * Implements `npm run soak -- --seed N --seconds S [--runs K] [--bundle FILE --deploy FOLDER] [--lane L] [--plain]`, which plays K runs from
 * seed N on, with `--plain` without the newer kinds of events. Commands that run at the same time need different lanes. The exit code is 1 if a check fails.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {renderResult} from './report.js';
import {runSoak} from './run.js';

const {values} = parseArgs({
	options: {
		seed: {type: 'string', default: '1'},
		seconds: {type: 'string', default: '60'},
		runs: {type: 'string', default: '1'},
		bundle: {type: 'string'},
		deploy: {type: 'string', default: 'deploy'},
		lane: {type: 'string', default: '0'},
		plain: {type: 'boolean', default: false},
		logs: {type: 'string', default: 'target/soak'},
	},
});
const firstSeed = Number(values.seed);
const seconds = Number(values.seconds);
const runs = Number(values.runs);
const program = values.bundle === undefined ? undefined : {bundleFile: values.bundle, deployFolder: values.deploy};
let broken = 0;
for (let seed = firstSeed; seed < firstSeed + runs; seed++) {
	const logFolder = `${values.logs}/${seed}`;
	const result = await runSoak({
		seed, seconds, program, logFolder, lane: Number(values.lane), isPlain: values.plain,
	});
	broken += result.violations.length > 0 ? 1 : 0;
	process.stdout.write(`${renderResult(result, `npm run soak -- --seconds ${seconds}${values.plain ? ' --plain' : ''}`, logFolder)}\n`);
}

process.stdout.write(`${runs} runs, ${broken} broken\n`);
process.exitCode = broken === 0 ? 0 : 1;
