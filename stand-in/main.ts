/**
 * Command line `npm run stand-in -- server|echo|proxy …`, which runs stand-ins in a separate
 * process. The process prints its ports as a JSON line. The server command also opens a
 * control port: a GET returns the counters of the servers, a POST runs a command first.
 */
import {appendFileSync} from 'node:fs';
import {createServer, type IncomingMessage} from 'node:http';
import {type AddressInfo} from 'node:net';
import process from 'node:process';
import {cac} from 'cac';
import {z} from 'zod';
import {createRandom} from '../source/randomness/index.js';
import {startBaselineProxy, startBaselineServer} from './baseline.js';
import {startInterference, type Interference} from './interference.js';
import {startStandIn, type StandIn} from './server.js';

const program = cac('stand-in');
const host = '127.0.0.1';

/** Options of the server command. */
type ServerCommandOptions = {
	readonly service: string;
	readonly count: number;
	readonly first: number;
	readonly zones: string;
	readonly slots: number;
	readonly connections: number;
	readonly mean: number;
	readonly distribution: 'constant' | 'exponential' | 'pareto';
	readonly cold: boolean;
	readonly announce: string;
	readonly seed: number;
	readonly record?: string;
};

/** Body of a POST to the control port. */
const commandSchema = z.strictObject({
	/** Names of the servers that the command applies to; all if absent. */
	servers: z.array(z.string()).optional(),
	/** Fields of the behaviour to change. */
	behaviour: z.record(z.string(), z.union([z.number(), z.boolean(), z.string()])).optional(),
	/** Action to perform on each server; `reset` resets its counters. */
	verb: z.enum(['crash', 'restart', 'leave', 'reset']).optional(),
	/** Factor on service times during simulated interference; 1 turns it off. */
	noise: z.number().min(1).optional(),
});

async function runServers(options: ServerCommandOptions): Promise<void> {
	const zones = options.zones.split(',');
	const servers: StandIn[] = [];
	let probeCount = 0;
	let completedCount = 0;
	for (let index = 0; index < options.count; index++) {
		const serverNumber = options.first + index;
		servers.push(await startStandIn({
			service: options.service,
			name: `${options.service}-${serverNumber}`,
			zone: zones[serverNumber % zones.length]!,
			host,
			port: 0,
			connections: options.connections,
			behaviour: {
				slots: options.slots, serviceMilliseconds: options.mean, distribution: options.distribution, isCold: options.cold, queueLength: 10_000,
			},
			announceTo: options.announce.split(','),
			seed: options.seed + serverNumber,
			record(requestRecord) {
				probeCount += requestRecord.outcome === 'probe' ? 1 : 0;
				completedCount += requestRecord.outcome === 'ran' ? 1 : 0;
				if (options.record !== undefined) {
					appendFileSync(options.record, `${JSON.stringify(requestRecord)}\n`);
				}
			},
		}));
	}

	let interference: Interference | undefined;
	async function runCommand(command: z.infer<typeof commandSchema>): Promise<void> {
		const selectedServers = servers.filter(server => command.servers?.includes(server.name) ?? true);
		if (command.noise !== undefined) {
			interference?.stop();
			interference = command.noise > 1 ? startInterference(selectedServers, command.noise, createRandom(options.seed)) : undefined;
		}

		for (const server of selectedServers) {
			if (command.behaviour !== undefined) {
				server.updateBehaviour(command.behaviour);
			}

			await performAction(server, command.verb);
		}
	}

	async function performAction(server: StandIn, action: z.infer<typeof commandSchema>['verb']): Promise<void> {
		switch (action) {
			case 'crash': {
				server.crash();
				return;
			}

			case 'restart': {
				await server.restart();
				return;
			}

			case 'leave': {
				await server.leave();
				return;
			}

			case 'reset': {
				server.resetCounters();
				break;
			}

			case undefined: {
				break;
			}
		}
	}

	const controlServer = createServer((request, response) => {
		void (async () => {
			if (request.method === 'POST') {
				await runCommand(commandSchema.parse(JSON.parse(await readBody(request))));
			}

			response.end(JSON.stringify({
				probes: probeCount, runs: completedCount, servers: servers.map(server => ({
					name: server.name, port: server.port, inFlight: server.getInFlight(), largest: server.getMaximumInFlight(), overloads: server.getOverloadCount(), arrived: server.getRequestCount(), isCold: server.getBehaviour().isCold,
				})),
			}));
		})();
	});
	controlServer.listen(0, host, () => {
		process.stdout.write(`${JSON.stringify({control: (controlServer.address() as AddressInfo).port, ports: servers.map(server => server.port)})}\n`);
	});
}

async function readBody(request: IncomingMessage): Promise<string> {
	let text = '';
	request.setEncoding('utf8');
	for await (const chunk of request as AsyncIterable<string>) {
		text += chunk;
	}

	return text;
}

program.command('server', 'Run stand-in servers')
	.option('--service <name>', 'Name of the service', {default: 'catalogue'})
	.option('--count <n>', 'Number of servers in this process', {default: 1})
	.option('--first <n>', 'Number of the first server', {default: 1})
	.option('--zones <names>', 'Zones separated by commas, assigned to the servers in turn', {default: 'north,south'})
	.option('--slots <n>', 'Number of slots of each server', {default: 6})
	.option('--connections <n>', 'Maximum number of connections to each server', {default: 250})
	.option('--mean <ms>', 'Mean service time in milliseconds', {default: 20})
	.option('--distribution <name>', 'Distribution of service times: constant, exponential or pareto', {default: 'exponential'})
	.option('--cold', 'Start the servers cold', {default: false})
	.option('--announce <addresses>', 'Base addresses to announce to, separated by commas', {default: 'http://127.0.0.1:7400'})
	.option('--seed <n>', 'Seed of the random numbers', {default: 1})
	.option('--record <file>', 'File to which a JSON line is appended for each request and probe')
	.action(runServers);
program.command('echo', 'Run a server that responds immediately')
	.option('--service <name>', 'Name of the service', {default: 'catalogue'})
	.option('--name <name>', 'Name of the server', {default: 'echo'})
	.option('--slots <n>', 'Number of slots', {default: 1000})
	.option('--announce <addresses>', 'Base addresses to announce to, separated by commas', {default: ''})
	.action(async (options: {readonly service: string; readonly name: string; readonly slots: number; readonly announce: string}) => {
		const port = await startBaselineServer({
			service: options.service, name: options.name, zone: 'north', slots: options.slots, announceTo: options.announce === '' ? [] : options.announce.split(','),
		});
		process.stdout.write(`${JSON.stringify({control: 0, ports: [port]})}\n`);
	});
program.command('proxy <...ports>', 'Run a minimal pass-through proxy').action(async (ports: readonly string[]) => {
	const port = await startBaselineProxy(ports.map(Number));
	process.stdout.write(`${JSON.stringify({control: 0, ports: [port]})}\n`);
});
program.help();
program.parse();
