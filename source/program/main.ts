/** Defines the command line of `guavadeck`. */
import process from 'node:process';
import {cac} from 'cac';
import {showBurn, type BurnOptions} from './burn.js';
import {type OperatorOptions} from './client.js';
import {exitWithError, rejectInput} from './exit.js';
import {explain} from './explain.js';
import {runLoadCommand} from './load.js';
import {
	applyDocument, changeZone, checkFiles, drainServer, promoteTrialVersion, showDocument, showHistory, showStatus, type ChangeOptions,
} from './operator/index.js';
import {serveControl} from './serve-control.js';
import {serveEntry} from './serve-entry.js';
import {runLocalSystem} from './local-system.js';
import {version} from './version.js';

const program = cac('guavadeck');

type ServeOptions = {readonly settings?: string};
type LoadOptions = {readonly rate: number; readonly seconds: number; readonly seed: number; readonly method: string; readonly callers: number; readonly warmUp: number; readonly key?: string; readonly json?: boolean};

function getSettingsFile(options: ServeOptions): string {
	return options.settings ?? rejectInput(['--settings: missing; name a TOML file']);
}

function addOperatorOptions(command: ReturnType<typeof program.command>): ReturnType<typeof program.command> {
	return command
		.option('--control <addresses>', 'Addresses of control hosts, separated by commas (or GUAVADECK_CONTROL)')
		.option('--key-file <file>', 'File with the operators\' key')
		.option('--json', 'Print JSON');
}

program.command('control', 'Run a control host')
	.option('--settings <file>', 'Settings in TOML')
	.option('--found', 'First start of a founding member, with an empty data folder')
	.action(async (options: ServeOptions & {readonly found?: boolean}) => serveControl(getSettingsFile(options), {isFounding: options.found ?? false}));
program.command('entry', 'Run an entry').option('--settings <file>', 'Settings in TOML').action(async (options: ServeOptions) => serveEntry(getSettingsFile(options)));
program.command('try', 'Run everything in one process on loopback').option('--port <port>', 'Port for callers', {default: 0}).action(async (options: {readonly port: number}) => runLocalSystem(Number(options.port)));
program.command('load <...targets>', 'Send requests and report their latencies and errors')
	.option('--rate <n>', 'Requests a second', {default: 100})
	.option('--seconds <n>', 'Seconds for which requests are sent', {default: 10})
	.option('--seed <n>', 'Seed of the arrivals', {default: 1})
	.option('--method <method>', 'HTTP method', {default: 'GET'})
	.option('--warm-up <n>', 'Seconds at the start that are excluded from the results', {default: 0})
	.option('--callers <n>', 'Closed-loop callers, which wait for each response, instead of open-loop arrivals', {default: 0})
	.option('--key <prefix>', 'Prefix of the idempotency keys; each request has its own key')
	.option('--json', 'Print JSON')
	.action(async (targets: readonly string[], options: LoadOptions) => runLoadCommand({
		targets, requestsPerSecond: Number(options.rate), seconds: Number(options.seconds), seed: Number(options.seed), method: options.method, callers: Number(options.callers), warmUpSeconds: Number(options.warmUp), keyPrefix: options.key,
	}, options.json ?? false));
program.command('check <...files>', 'Check files without applying anything').option('--kind <kind>', 'document, control or entry', {default: 'document'}).action((files: readonly string[], options: {readonly kind: string}) => {
	checkFiles(files, options.kind);
});
program.command('explain <id> <...files>', 'Print the log lines that explain how a request was handled').action((id: string, files: readonly string[]) => {
	explain(String(id), files);
});
addOperatorOptions(program.command('apply <file>', 'Apply a document'))
	.option('--environment <name>', 'trial or production', {default: 'trial'})
	.option('--base <version>', 'Version that the document is based on (default: the current one)')
	.option('--change <id>', 'Id of the change; reuse it to resend the change after a lost response')
	.option('--wait', 'Return when the version is in force everywhere')
	.action(async (file: string, options: ChangeOptions) => applyDocument(file, parseVersionOptions(options)));
addOperatorOptions(program.command('promote', 'Copy a trial version to production'))
	.option('--source <version>', 'Trial version (default: the current one)')
	.option('--base <version>', 'Production version that is replaced (default: the current one)')
	.option('--change <id>', 'Id of the change; reuse it to resend the change after a lost response')
	.option('--despite-burn', 'Promote although the trial version is burning its error budget')
	.option('--wait', 'Return when the version is in force everywhere')
	.action(async (options: ChangeOptions & {readonly source?: number}) => promoteTrialVersion(parseVersionOptions(options)));
addOperatorOptions(program.command('show [environment]', 'Show the document of an environment')).action(async (environment: string | undefined, options: OperatorOptions) => showDocument(environment ?? 'production', options));
addOperatorOptions(program.command('history [environment]', 'Show the versions of an environment')).action(async (environment: string | undefined, options: OperatorOptions) => showHistory(environment ?? 'production', options));
addOperatorOptions(program.command('zone <action> <zone>', 'Take a zone out of service or put it back: zone out|in ZONE'))
	.option('--environment <name>', 'trial or production', {default: 'production'})
	.option('--change <id>', 'Id of the change; reuse it to resend the change after a lost response')
	.option('--wait', 'Return when the change is in force everywhere')
	.action(async (action: string, zone: string, options: ChangeOptions) => changeZone(action, zone, options));
addOperatorOptions(program.command('server <action> <server>', 'Drain a server: server drain SERVICE/NAME')).action(async (action: string, key: string, options: OperatorOptions) => drainServer(action, key, options));
addOperatorOptions(program.command('status', 'Show the state of the system')).action(async (options: OperatorOptions) => showStatus(options));
addOperatorOptions(program.command('burn', 'Show service-level burn rates'))
	.option('--environment <name>', 'trial or production', {default: 'production'})
	.option('--html <file>', 'Write a page with plots')
	.action(async (options: BurnOptions) => showBurn(options));
program.help();
program.version(version);

/** Parses the version options as numbers, and keeps the change id as text. */
function parseVersionOptions<Options extends {readonly base?: number; readonly source?: number; readonly change?: string}>(options: Options): Options {
	return {
		...options,
		...(options.base === undefined ? {} : {base: parseVersion('--base', options.base)}),
		...(options.source === undefined ? {} : {source: parseVersion('--source', options.source)}),
		...(options.change === undefined ? {} : {change: String(options.change)}),
	};
}

function parseVersion(name: string, value: unknown): number {
	const number = Number(value);
	return Number.isInteger(number) && number >= 0 ? number : rejectInput([`${name}: "${String(value)}" is not a version; write a non-negative integer`]);
}

async function runCommand(): Promise<void> {
	try {
		program.parse(process.argv, {run: false});
		const isHelpOrVersion = program.options.help === true || program.options.version === true;
		if (program.matchedCommand === undefined && !isHelpOrVersion) {
			rejectInput([`${program.args[0] ?? 'no command'}: no such command; see guavadeck --help`]);
		}

		await program.runMatchedCommand();
	} catch (error) {
		exitWithError(error as Error);
	}
}

// The executable is bundled as a script, which does not support top-level await.
// eslint-disable-next-line unicorn/prefer-top-level-await
void runCommand();
