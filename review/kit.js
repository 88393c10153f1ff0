/**
 * Test bed of the review: starts the programs of the deploy file as processes on loopback addresses, renders their settings from
 * the templates of the deploy file, and offers small stand-ins of the platform: an operator, upstreams and clients.
 */
/* eslint camelcase: "off" -- messages and settings keep the names of the platform */
import {spawn} from 'node:child_process';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	appendFileSync, mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer, request as startRequest} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';

const heartbeatMilliseconds = 1500;
const callMilliseconds = 1000;
const restartMilliseconds = 500;
const maximumRunMilliseconds = 115_000;
const programOptions = ['--max-old-space-size=200', '--max-semi-space-size=1', 'target/guavadeck.cjs'];

async function findFreePorts(count) {
	const servers = Array.from({length: count}, () => createTcpServer());
	const ports = [];
	for (const server of servers) {
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		ports.push(server.address().port);
	}

	for (const server of servers) {
		server.close();
	}

	return ports;
}

function getField(fields, name) {
	let value = fields;
	for (const part of name.split('.')) {
		value = value?.[part];
	}

	return value;
}

function renderTemplate(template, fields) {
	const sections = template.replaceAll(/\{\{#(?<name>[\w.]+)\}\}\n(?<text>[\s\S]*?)\{\{\/\k<name>\}\}\n/gv, (_match, name, text) => getField(fields, name) === undefined ? '' : text);
	return sections.replaceAll(/\{\{(?<name>[\w.]+)(?<format>\|json)?\}\}/gv, (_match, name, format) => {
		const value = getField(fields, name);
		return format === undefined ? String(value) : JSON.stringify(value);
	});
}

/**
 * Sends one HTTP request. Resolves to the response as the client sees it; `isWhole` tells whether the response looks complete,
 * `error` is set if there was none.
 */
export async function sendRequest({
	host, port, method = 'GET', path: target, headers = {}, body, agent = false, timeout = 5000,
}) {
	return new Promise(resolve => {
		const startedAt = Date.now();
		const request = startRequest({
			host, port, method, path: target, headers, agent,
		}, response => {
			const chunks = [];
			response.on('data', chunk => {
				chunks.push(chunk);
			});
			response.on('error', () => {
				// The `close` event reports an incomplete response.
			});
			response.once('close', () => {
				end({
					status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks), isWhole: response.complete && !response.errored,
				});
			});
		});
		const timer = setTimeout(() => {
			end({status: 0, error: 'timeout'});
			request.destroy();
		}, timeout);
		function end(result) {
			clearTimeout(timer);
			resolve({...result, isReused: request.reusedSocket, milliseconds: Date.now() - startedAt});
		}

		request.once('error', error => {
			end({status: 0, error: error.code ?? error.message});
		});
		request.end(body);
	});
}

/** Renders a configuration in the format of the operator's API. Each route is `{path, type, service, timeout}`. */
export function renderConfiguration(version, routes, services, warmup = 3) {
	return JSON.stringify({
		version: version.toString(16).padStart(8, '0'),
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
		},
		listeners: [{
			host: 'shop.example', rules: routes.map((route, index) => ({
				name: `r-${index}`,
				route_type: route.type ?? 'safe',
				target_latency_ms: route.target ?? 250,
				priority: 1,
				match: {path_prefix: route.path},
				action: {service: route.service, timeout_ms: route.timeout ?? 2000, max_attempts: 2},
			})),
		}],
		clusters: services.map(name => ({
			name, health_path: '/healthz', max_connections: 220, protocol: 'h1', tls: false, warmup_s: warmup, warmup_per_s: 9.2,
		})),
	});
}

/**
 * Creates a bed with control hosts and entries, which are not started yet.
 * @param options - Folder of the case, number of control hosts and entries, and the third byte of their addresses.
 */
export async function createBed({folder, controls = 3, entries = 2, subnet}) {
	const [controlPort, linksPort, frontPort, readyPort, upstreamPort] = await findFreePorts(5);
	const temporary = mkdtempSync(path.join(tmpdir(), 'guavadeck-review-'));
	const recordFile = path.join(folder, 'record.txt');
	const startedAt = Date.now();
	const machines = [];
	const upstreams = [];
	let isStopped = false;
	writeFileSync(recordFile, '');

	function record(line) {
		const seconds = ((Date.now() - startedAt) / 1000).toFixed(3).padStart(8);
		appendFileSync(recordFile, `${seconds} ${line}\n`);
	}

	for (const [kind, count, offset] of [['control', controls, 0], ['entry', entries, 50]]) {
		for (let index = 1; index <= count; index++) {
			machines.push({
				kind, name: `${kind}-${index}`, host: `127.77.${subnet}.${offset + index}`, zone: ['north', 'south', 'west'][(index - 1) % 3], child: undefined, exits: 0, isWanted: false,
			});
		}
	}

	const controlMachines = machines.filter(machine => machine.kind === 'control');
	const entryMachines = machines.filter(machine => machine.kind === 'entry');
	const controlAddresses = controlMachines.map(machine => ({host: machine.host, port: controlPort}));

	function writeSettings(machine, isFirstStart) {
		const file = path.join(temporary, `${machine.name}.toml`);
		const dataFolder = path.join(temporary, `${machine.name}-data`);
		mkdirSync(dataFolder, {recursive: true});
		writeFileSync(file, renderTemplate(readFileSync(`deploy/${machine.kind}.toml`, 'utf8'), {
			node_name: machine.name,
			zone: machine.zone,
			ip: machine.host,
			seeds: controlMachines.slice(0, 3).map(({host}) => `${host}:${controlPort}`),
			internal_ports: [linksPort, linksPort + 15],
			bootstrap: isFirstStart,
			data_dir: dataFolder,
			listen: {control: `${machine.host}:${controlPort}`, front: `${machine.host}:${frontPort}`, ready: `${machine.host}:${readyPort}`},
			fault_tolerance: {machines: Math.floor((controls - 1) / 2)},
			bounds: {retry_budget_ratio: 0.2, retry_budget_slack: 64, probes_per_s: 60},
		}));
		return file;
	}

	function start(machine, isFirstStart) {
		const log = openSync(path.join(temporary, `${machine.name}.log`), 'a');
		machine.isWanted = true;
		const child = spawn(process.execPath, [...programOptions, machine.kind, '--settings', writeSettings(machine, isFirstStart)], {stdio: ['ignore', log, log]});
		machine.child = child;
		child.once('exit', (code, signal) => {
			if (isStopped || !machine.isWanted) {
				return;
			}

			machine.exits++;
			record(`process ${machine.name} ended by itself, code ${code}, signal ${signal}: ${getLastError(machine)}`);
			// The platform starts a process that ended again after a short delay.
			setTimeout(() => {
				if (!isStopped) {
					start(machine, false);
				}
			}, restartMilliseconds);
		});
	}

	function getLastError(machine) {
		const lines = readFileSync(path.join(temporary, `${machine.name}.log`), 'utf8').split('\n');
		return lines.findLast(line => /^\w*Error/v.test(line.trim())) ?? '';
	}

	/** Calls a control host. */
	async function callControl(index, method, target, body) {
		const {host, port} = controlAddresses[index % controlAddresses.length];
		const headers = body === undefined ? {} : {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body)};
		return sendRequest({
			host, port, method, path: target, headers, body, timeout: callMilliseconds,
		});
	}

	/** Sends an order of the operator, to one control host after the other until it is acknowledged. */
	async function order(method, target, body, first = 0) {
		for (let attempt = 0; attempt < 40; attempt++) {
			const response = await callControl(first + attempt, method, target, body);
			record(`operator ${method} ${target} at control-${((first + attempt) % controls) + 1}: ${response.status === 0 ? response.error : response.status}`);
			if (response.status === 200 || (response.status >= 400 && response.status < 500)) {
				return response;
			}

			await delay(Math.min(1000, 100 * (attempt + 1)));
		}

		throw new Error(`no acknowledgement of ${method} ${target}`);
	}

	async function sendToEntry(entry, {id, path: target, ...rest}) {
		return sendRequest({
			...rest, host: entry.host, port: frontPort, path: target, headers: {
				Host: 'shop.example', 'Request-Id': id, 'Deadline-Ms': String(rest.deadline ?? 2000), ...rest.headers,
			},
		});
	}

	/**
	 * Starts an upstream. `respond`, if given, is called when a request has run, and returns whether it has sent the response itself.
	 */
	async function startUpstream({
		id, service, zone, slots = 8, work = 30, respond, warmup = 0,
	}) {
		const upstream = {
			id, service, zone, host: `127.77.${subnet}.${100 + upstreams.length}`, port: upstreamPort, runs: [], state: 'ready', isLive: true, warmup, running: 0,
		};
		const born = Date.now();
		let sequence = 0;
		let control = upstreams.length;
		let beatAddress;
		upstreams.push(upstream);

		function send(request, response, {status, headers = {}, body = ''}) {
			response.writeHead(status, {
				...headers, ...(request.headers['request-id'] === undefined ? {} : {'Request-Id': request.headers['request-id']}),
				'Upstream-Load': `${upstream.running},0,${slots},100`, 'Content-Length': Buffer.byteLength(body),
			});
			response.end(body);
		}

		async function handle(request, response) {
			if (request.url === '/healthz') {
				send(request, response, {status: upstream.state === 'ready' ? 200 : 503, headers: {'Instance-Id': id, ...(upstream.warmup > 0 ? {'Warmup-Ms': String(upstream.warmup)} : {})}});
				return;
			}

			const target = request.headers['target-instance'];
			if (target !== undefined && target !== id) {
				send(request, response, {status: 421});
				return;
			}

			if (upstream.running >= slots) {
				send(request, response, {status: 503, headers: {'Not-Executed': '1'}});
				return;
			}

			upstream.running++;
			const requestId = request.headers['request-id'];
			upstream.runs.push({id: requestId, path: request.url, at: Date.now()});
			record(`${id} runs ${requestId} ${request.method} ${request.url}`);
			const chunks = [];
			request.on('data', chunk => {
				chunks.push(chunk);
			});
			request.on('error', () => {
				// The caller has left; the run goes on.
			});
			await delay(typeof work === 'function' ? work(request) : work);
			upstream.running--;
			if (respond?.({request, response, upstream}) === true) {
				return;
			}

			send(request, response, {status: 200, headers: {'Upstream-Signature': `sig.${id}.${requestId}`}, body: `answer to ${requestId} by ${id}`});
		}

		const server = createServer((request, response) => {
			handle(request, response).catch(() => {
				response.destroy();
			});
		});
		server.keepAliveTimeout = 10_000;
		server.listen(upstream.port, upstream.host);
		await once(server, 'listening');
		upstream.server = server;

		/** Sends a heartbeat; resolves to whether it was acknowledged. */
		upstream.beat = async () => {
			sequence++;
			const body = JSON.stringify({
				service,
				address: `${upstream.host}:${upstream.port}`,
				zone,
				version: 'v1',
				slots,
				state: upstream.state,
				warmup_left_ms: upstream.warmup,
				sequence,
				born,
			});
			const [host, port] = beatAddress?.split(':') ?? [controlAddresses[control % controls].host, controlPort];
			const response = await sendRequest({
				host,
				port: Number(port),
				method: 'PUT',
				path: `/-/instances/${id}`,
				headers: {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body)},
				body,
				timeout: callMilliseconds,
			});
			if (response.status === 200) {
				beatAddress = JSON.parse(response.body.toString()).heartbeat_url;
				upstream.leader = beatAddress?.split(':')[0];
				return true;
			}

			beatAddress = undefined;
			control++;
			return false;
		};

		async function sendBeats() {
			while (!isStopped && upstream.isLive) {
				const isAcknowledged = await upstream.beat();
				await delay(isAcknowledged ? heartbeatMilliseconds : 200);
			}
		}

		sendBeats().catch(error => {
			record(`${id} sends no heartbeats any more: ${error.message}`);
		});
		return upstream;
	}

	async function waitUntil(what, condition, limit = 20_000) {
		const until = Date.now() + limit;
		while (!await condition()) {
			if (Date.now() > until) {
				throw new Error(`timed out: ${what}`);
			}

			await delay(100);
		}
	}

	async function stop() {
		isStopped = true;
		for (const machine of machines) {
			const {child} = machine;
			if (child !== undefined && child.exitCode === null && child.signalCode === null) {
				child.kill('SIGKILL');
				await once(child, 'exit');
			}
		}

		for (const upstream of upstreams) {
			upstream.server.close();
			upstream.server.closeAllConnections();
		}

		if (process.env.KEEP === '1') {
			console.log(`logs in ${temporary}`);
		} else {
			rmSync(temporary, {recursive: true, force: true});
		}
	}

	return {
		controls: controlMachines,
		entries: entryMachines,
		upstreams,
		frontPort,
		controlPort,
		record,
		callControl,
		order,
		sendToEntry,
		startUpstream,
		waitUntil,
		start,
		getDataFolder: machine => path.join(temporary, `${machine.name}-data`),
		/** Starts all processes and waits until the entries are ready and serve the given path. */
		async startAll(configuration, probePath) {
			for (const machine of machines) {
				start(machine, true);
			}

			await order('PUT', '/-/config', configuration);
			let number = 0;
			for (const entry of entryMachines) {
				await waitUntil(`${entry.name} serves`, async () => {
					const {status} = await sendToEntry(entry, {id: `warm-${number++}`, path: probePath});
					return status === 200;
				});
			}

			// Cold phases and the first leases of the leader have ended by then.
			await delay(4000);
			record('the system serves');
		},
		async end(machine, signal) {
			machine.isWanted = false;
			const exited = once(machine.child, 'exit');
			machine.child.kill(signal);
			await exited;
		},
		stop,
	};
}

/**
 * Runs a case and ends the process: with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 * @param folder - Folder of the case.
 * @param subnet - Third byte of the addresses.
 * @param options - Whether the run has the disruption, and the numbers of control hosts and entries.
 * @param run - Runs the case and resolves to whether the rule was broken.
 */
export async function runCase(folder, subnet, {hasTrouble, ...options}, run) {
	const bed = await createBed({folder, subnet, ...options});
	let code = 2;
	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.once(signal, async () => {
			await bed.stop();
			process.exit(2);
		});
	}

	const limit = setTimeout(async () => {
		bed.record('the case took too long');
		await bed.stop();
		process.exit(2);
	}, maximumRunMilliseconds);
	try {
		bed.record(hasTrouble ? 'run with the disruption' : 'run without the disruption');
		const isBroken = await run(bed);
		bed.record(isBroken ? 'result: the rule was broken' : 'result: the rule held');
		code = isBroken ? 1 : 0;
	} catch (error) {
		bed.record(`the case could not run: ${error.stack}`);
	}

	clearTimeout(limit);
	await bed.stop();
	process.exit(code);
}
