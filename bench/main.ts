/** Defines the command line of the benches: `npm run bench -- NAME [--seed N] [--json] [--quick]`. */
import process from 'node:process';
import {cac} from 'cac';
import {runAddedLatency} from './added-latency.js';
import {runChoice} from './choice.js';
import {printReport, type BenchOptions, type BenchReport} from './report.js';
import {runCost} from './cost.js';
import {runHedging} from './hedging.js';
import {runLimits} from './limits.js';
import {runLinkBytes} from './link-bytes.js';
import {runPlacement} from './placement.js';
import {runSlopes} from './slopes/index.js';
import {runThroughput} from './throughput.js';
import {runZone} from './zone.js';

const benches: Readonly<Record<string, (options: BenchOptions) => Promise<BenchReport>>> = {
	'added-latency': runAddedLatency,
	choice: runChoice,
	cost: runCost,
	hedging: runHedging,
	limits: runLimits,
	'link-bytes': runLinkBytes,
	placement: runPlacement,
	slopes: runSlopes,
	throughput: runThroughput,
	zone: runZone,
};

const program = cac('bench');
program.command('<name>', `One of ${Object.keys(benches).join(', ')}`)
	.option('--seed <n>', 'Seed of the arrivals and of the stand-in servers', {default: 1})
	.option('--policies <names>', 'Policies to compare, separated by commas')
	.option('--conditions <names>', 'Conditions under which to compare, separated by commas')
	.option('--entries <n>', 'Number of entries')
	.option('--exchange <ms>', 'Interval in milliseconds at which entries exchange counts')
	.option('--json', 'Print JSON', {default: false})
	.option('--quick', 'Finish within 40 s', {default: false})
	.action(async (name: string, options: {
		readonly seed: number;
		readonly policies?: string;
		readonly conditions?: string;
		readonly entries?: number;
		readonly exchange?: number;
		readonly json: boolean;
		readonly quick: boolean;
	}) => {
		const bench = benches[name];
		if (bench === undefined) {
			process.stderr.write(`unknown bench "${name}"; use one of ${Object.keys(benches).join(', ')}\n`);
			process.exit(2);
		}

		const report = await bench({
			seed: Number(options.seed),
			isQuick: options.quick,
			isJson: options.json,
			policies: options.policies?.split(',') ?? [],
			conditions: options.conditions?.split(',') ?? [],
			entryCount: options.entries,
			exchangeMilliseconds: options.exchange,
		});
		printReport(report, options.json);
	});
program.help();
program.parse();
