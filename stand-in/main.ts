/** `npm run stand-in -- server|echo|proxy …`: stand-ins as processes of their own. */
import {appendFileSync} from 'node:fs';
import {createServer, type IncomingMessage} from 'node:http';
import {type AddressInfo} from 'node:net';
import process from 'node:process';
import {cac} from 'cac';
import {z} from 'zod';
import {createRandom} from '../source/randomness/index.js';
import {startBareProxy, startEcho} from './echo.js';
import {startNoise, type Noise} from './noise.js';
import {startStandIn, type StandIn} from './server.js';

const program = cac('stand-in');
const host = '127.0.0.1';

type ServerOptions = {
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

const orderSchema = z.strictObject({
	/** Names of the servers to change; all when absent. */
	servers: z.array(z.string()).optional(),
	behaviour: z.record(z.string(), z.union([z.number(), z.boolean(), z.string()])).optional(),
	verb: z.enum(['crash', 'restart', 'leave', 'reset']).optional(),
	/** Factor of noisy neighbours; 1 ends them. */
	noise: z.number().min(1).optional(),
});

async function serve(options: ServerOptions): Promise<void> {
	const zones = options.zones.split(',');
	const servers: StandIn[] = [];
	let probes = 0;
	let runs = 0;
	for (let index = 0; index < options.count; index++) {
		const number = options.first + index;
		servers.push(await startStandIn({
			service: options.service,
			name: `${options.service}-${number}`,
			zone: zones[number % zones.length]!,
			host,
			port: 0,
			connections: options.connections,
			behaviour: {
				slots: options.slots, serviceMilliseconds: options.mean, distribution: options.distribution, isCold: options.cold, queueLength: 10_000,
			},
			announceTo: options.announce.split(','),
			seed: options.seed + number,
			record(run) {
				probes += run.outcome === 'probe' ? 1 : 0;
				runs += run.outcome === 'ran' ? 1 : 0;
				if (options.record !== undefined) {
					appendFileSync(options.record, `${JSON.stringify(run)}\n`);
				}
			},
		}));
	}

	let noise: Noise | undefined;
	async function obey(order: z.infer<typeof orderSchema>): Promise<void> {
		const chosen = servers.filter(server => order.servers?.includes(server.name) ?? true);
		if (order.noise !== undefined) {
			noise?.stop();
			noise = order.noise > 1 ? startNoise(chosen, order.noise, createRandom(options.seed)) : undefined;
		}

		for (const server of chosen) {
			if (order.behaviour !== undefined) {
				server.updateBehaviour(order.behaviour);
			}

			await runVerb(server, order.verb);
		}
	}

	async function runVerb(server: StandIn, verb: z.infer<typeof orderSchema>['verb']): Promise<void> {
		switch (verb) {
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

	const control = createServer((request, response) => {
		void (async () => {
			if (request.method === 'POST') {
				await obey(orderSchema.parse(JSON.parse(await readText(request))));
			}

			response.end(JSON.stringify({
				probes, runs, servers: servers.map(server => ({
					name: server.name, port: server.port, inFlight: server.getInFlight(), largest: server.getMaximumInFlight(), overloads: server.getOverloadCount(), arrived: server.getRequestCount(), isCold: server.getBehaviour().isCold,
				})),
			}));
		})();
	});
	control.listen(0, host, () => {
		process.stdout.write(`${JSON.stringify({control: (control.address() as AddressInfo).port, ports: servers.map(server => server.port)})}\n`);
	});
}

async function readText(request: IncomingMessage): Promise<string> {
	let text = '';
	request.setEncoding('utf8');
	for await (const chunk of request as AsyncIterable<string>) {
		text += chunk;
	}

	return text;
}

program.command('server', 'Run stand-in servers')
	.option('--service <name>', 'Service', {default: 'catalogue'})
	.option('--count <n>', 'Servers in this process', {default: 1})
	.option('--first <n>', 'Number of the first server', {default: 1})
	.option('--zones <names>', 'Zones that take turns', {default: 'north,south'})
	.option('--slots <n>', 'Slots of each server', {default: 6})
	.option('--connections <n>', 'Connections of each server', {default: 250})
	.option('--mean <ms>', 'Mean service time', {default: 20})
	.option('--distribution <name>', 'constant, exponential or pareto', {default: 'exponential'})
	.option('--cold', 'Start cold', {default: false})
	.option('--announce <addresses>', 'Where to announce, separated by commas', {default: 'http://127.0.0.1:7400'})
	.option('--seed <n>', 'Seed', {default: 1})
	.option('--record <file>', 'File for a JSON line a run')
	.action(serve);
program.command('echo', 'Run servers that answer at once')
	.option('--service <name>', 'Service', {default: 'catalogue'})
	.option('--name <name>', 'Name', {default: 'echo'})
	.option('--slots <n>', 'Slots', {default: 1000})
	.option('--announce <addresses>', 'Where to announce, separated by commas', {default: ''})
	.action(async (options: {readonly service: string; readonly name: string; readonly slots: number; readonly announce: string}) => {
		const port = await startEcho({
			service: options.service, name: options.name, zone: 'north', slots: options.slots, announceTo: options.announce === '' ? [] : options.announce.split(','),
		});
		process.stdout.write(`${JSON.stringify({control: 0, ports: [port]})}\n`);
	});
program.command('proxy <...ports>', 'Run the smallest pass-through proxy').action(async (ports: readonly string[]) => {
	const port = await startBareProxy(ports.map(Number));
	process.stdout.write(`${JSON.stringify({control: 0, ports: [port]})}\n`);
});
program.help();
program.parse();
