/** Shared parts of the scripts of cases 6 to 10: starts the programs on loopback, and plays clients, servers and the operator. */
/* eslint camelcase: off, no-void: off -- Wire messages keep the names of the protocol; calls whose outcome does not matter are marked with void. */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
	mkdtempSync, openSync, readFileSync, rmSync, writeFileSync, closeSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';

const program = 'target/guavadeck.cjs';

/** Bounds of the smallest deployment that the pages give. */
export const bounds = {
	contact_ms: 3000, ack_ms: 4000, drain_ms: 2000, grace_s: 6, config_ms: 2000, retry_budget_ratio: 0.2, budget_window_s: 10, retry_budget_slack: 64, evacuate_ms: 5000, probes_per_s: 60,
};

/** Finds a port that is free now. */
async function findFreePort() {
	const server = net.createServer();
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address();
	await new Promise(resolve => {
		server.close(resolve);
	});
	return port;
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

/** Creates the record of a run; every line carries the milliseconds since the start. */
export function createRecord(file) {
	const startedAt = Date.now();
	const lines = [];
	return {
		write(text) {
			lines.push(`${String(Date.now() - startedAt).padStart(6)} ms  ${text}`);
		},
		save() {
			writeFileSync(file, `${lines.join('\n')}\n`);
		},
	};
}

/** Starts the control hosts and entries of a small deployment. */
export async function startSystem({controls = 3, entries = 1, zones = ['north'], subnet = 61, tolerated = 1} = {}) {
	const folder = mkdtempSync(path.join(tmpdir(), 'guavadeck-review-'));
	const ports = {
		control: await findFreePort(), links: await findFreePort(), front: await findFreePort(), ready: await findFreePort(),
	};
	const machines = [];
	for (const [kind, count, part] of [['control', controls, subnet], ['entry', entries, subnet + 1]]) {
		for (let index = 0; index < count; index++) {
			machines.push({
				kind, name: `${kind}-${index + 1}`, host: `127.0.${part}.${index + 1}`, zone: zones[index % zones.length], child: undefined,
			});
		}
	}

	const controlMachines = machines.filter(machine => machine.kind === 'control');
	const entryMachines = machines.filter(machine => machine.kind === 'entry');

	function start(machine, isFirstStart = false) {
		const file = path.join(folder, `${machine.name}.toml`);
		writeFileSync(file, renderTemplate(readFileSync(`deploy/${machine.kind}.toml`, 'utf8'), {
			node_name: machine.name,
			zone: machine.zone,
			ip: machine.host,
			seeds: controlMachines.slice(0, 3).map(control => `${control.host}:${ports.control}`),
			internal_ports: [ports.links, ports.links],
			bootstrap: isFirstStart,
			data_dir: path.join(folder, `${machine.name}-data`),
			listen: {control: `${machine.host}:${ports.control}`, front: `${machine.host}:${ports.front}`, ready: `${machine.host}:${ports.ready}`},
			fault_tolerance: {machines: tolerated},
			bounds,
			limits: {link_mbps: 1000},
		}));
		const log = openSync(path.join(folder, `${machine.name}.log`), 'a');
		machine.child = spawn('node', ['--max-old-space-size=200', '--max-semi-space-size=1', program, machine.kind, '--settings', file], {stdio: ['ignore', log, log]});
		closeSync(log);
		machine.exit = undefined;
		machine.exited = new Promise(resolve => {
			machine.child.once('exit', (code, signal) => {
				machine.exit = signal ?? code;
				resolve();
			});
		});
	}

	for (const machine of machines) {
		start(machine, true);
	}

	let lastAnswering = 0;
	const system = {
		ports, controls: controlMachines, entries: entryMachines, folder, start,
		signal(machine, signal) {
			machine.child.kill(signal);
		},
		async end(machine, signal = 'SIGKILL') {
			machine.child.kill(signal);
			await machine.exited;
		},
		readLog(machine) {
			return readFileSync(path.join(folder, `${machine.name}.log`), 'utf8');
		},
		/** Sends one call to one control host; the status is 0 without an answer within `patience`. */
		async call(machine, method, target, body, patience = 1000) {
			return callOnce({
				host: machine.host, port: ports.control, method, target, body, patience,
			});
		},
		/** Sends an order like the operator until it is answered, first to the host that answered last, and follows two redirects. */
		async order(method, target, body, first = lastAnswering) {
			const until = Date.now() + 20_000;
			for (let index = first; Date.now() < until; index++) {
				const machine = controlMachines[index % controlMachines.length];
				let answer = await callOnce({
					host: machine.host, port: ports.control, method, target, body, patience: 1000,
				});
				for (let hop = 0; answer.status === 307 && hop < 2; hop++) {
					const url = new URL(answer.headers.location);
					answer = await callOnce({
						host: url.hostname, port: Number(url.port), method, target: url.pathname, body, patience: 1000,
					});
				}

				if (answer.status >= 200 && answer.status < 500 && ![307, 408, 429].includes(answer.status)) {
					lastAnswering = index % controlMachines.length;
					return answer;
				}

				await delay(100);
			}

			return {status: 0, text: '', headers: {}};
		},
		async isReady(machine) {
			const answer = await callOnce({
				host: machine.host, port: ports.ready, method: 'GET', target: '/ready', patience: 1000,
			});
			return answer.status === 200;
		},
		async stop() {
			for (const machine of machines) {
				machine.child.kill('SIGCONT');
				machine.child.kill('SIGKILL');
			}

			await Promise.all(machines.map(machine => machine.exited));
			rmSync(folder, {recursive: true, force: true});
		},
	};
	return system;
}

/** Sends one call and reads the whole answer; the status is 0 if none comes in time. */
export async function callOnce({host, port, method, target, body, headers, patience, agent = false}) {
	return new Promise(resolve => {
		const failed = {status: 0, text: '', headers: {}};
		const request = http.request({
			host, port, method, path: target, agent, headers: {...(body === undefined ? {} : {'content-type': 'application/json'}), ...headers},
		}, response => {
			const chunks = [];
			response.on('data', chunk => chunks.push(chunk));
			response.on('error', () => {
				resolve(failed);
			});
			response.on('end', () => {
				resolve({status: response.complete ? response.statusCode : 0, text: Buffer.concat(chunks).toString(), headers: response.headers});
			});
		});
		const timer = setTimeout(() => {
			request.destroy();
			resolve(failed);
		}, patience);
		request.on('error', () => {
			clearTimeout(timer);
			resolve(failed);
		});
		request.on('close', () => {
			clearTimeout(timer);
			resolve(failed);
		});
		request.end(body);
	});
}

/** Renders a configuration as the operator sends it. */
export function renderConfiguration(version, {rules, host = 'shop.example', clusters = ['stock'], warm = {}, limits = {}} = {}) {
	return JSON.stringify({
		version: version.toString(16).padStart(8, '0'),
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_ms: 3000, idle_timeout_ms: 15_000, ...limits,
		},
		listeners: [{
			host,
			rules: rules.map(rule => ({
				name: `r${rule.prefix.replaceAll('/', '-')}`, route_type: rule.type ?? 'safe', target_latency_ms: 250, priority: rule.priority ?? 1,
				match: {path_prefix: rule.prefix},
				action: {...(rule.backends === undefined ? {service: rule.service ?? 'stock'} : {backends: rule.backends}), timeout_ms: rule.timeout ?? 1200, max_attempts: rule.attempts ?? 2},
			})),
		}],
		clusters: clusters.map(name => ({
			name, health_path: '/healthz', max_connections: 220, protocol: 'h1', tls: false, warmup_s: 3, warmup_per_s: 18, ...warm,
		})),
	});
}

/**
 * Starts a server that answers as the pages tell. `onRequest` may take a request over: it receives the parsed head, the body
 * and the socket, and returns true if it has dealt with it.
 */
export async function startServer({id, host, port = 0, service = 'stock', zone = 'north', slots = 8, work = 5, onRequest, loadHeader = true}) {
	const server = {
		id, host, port, service, zone, runs: [], sequence: 0, warmupLeft: 0, state: 'ready', born: Date.now(), running: 0, sockets: new Set(),
	};
	function respond(socket, head, status, body, extra = {}) {
		const fields = {
			'Request-Id': head.headers['request-id'], 'Instance-Id': server.id, 'Content-Length': String(Buffer.byteLength(body)),
			...(loadHeader ? {'Upstream-Load': `${server.running},0,${slots},100`} : {}), ...extra,
		};
		const lines = Object.entries(fields).filter(([, value]) => value !== undefined).map(([name, value]) => `${name}: ${value}\r\n`);
		socket.write(`HTTP/1.1 ${status} ${http.STATUS_CODES[status]}\r\n${lines.join('')}\r\n${head.method === 'HEAD' ? '' : body}`);
	}

	server.respond = respond;

	async function handle(socket, head, body) {
		if (head.target === '/healthz') {
			respond(socket, head, server.state === 'ready' ? 200 : 503, 'ok');
			return;
		}

		if (head.headers['target-instance'] !== undefined && head.headers['target-instance'] !== server.id) {
			respond(socket, head, 421, '', {'Not-Executed': '1', 'Upstream-Signature': 'sig'});
			return;
		}

		server.runs.push({
			at: Date.now(), id: head.headers['request-id'], method: head.method, target: head.target, body: body.toString(), headers: head.headers,
		});
		if (onRequest !== undefined && await onRequest({
			server, socket, head, body, respond,
		})) {
			return;
		}

		server.running++;
		await delay(work);
		server.running--;
		if (!socket.destroyed) {
			respond(socket, head, 200, `done ${head.headers['request-id']}`, {'Upstream-Signature': `sig-${head.headers['request-id']}`});
		}
	}

	const listener = net.createServer({noDelay: true}, socket => {
		server.sockets.add(socket);
		socket.on('close', () => server.sockets.delete(socket));
		socket.on('error', () => undefined);
		let buffered = Buffer.alloc(0);
		let isBusy = false;
		async function pump() {
			if (isBusy) {
				return;
			}

			isBusy = true;
			for (let parsed = takeRequest(buffered); parsed !== undefined; parsed = takeRequest(buffered)) {
				buffered = buffered.subarray(parsed.length);
				await handle(socket, parsed.head, parsed.body);
			}

			isBusy = false;
		}

		socket.on('data', chunk => {
			buffered = Buffer.concat([buffered, chunk]);
			void pump();
		});
	});
	async function listen() {
		await new Promise((resolve, reject) => {
			listener.once('error', reject);
			listener.listen(server.port, host, resolve);
		});
		server.port = listener.address().port;
	}

	server.relisten = listen;
	server.close = () => {
		listener.close();
		for (const socket of server.sockets) {
			socket.resetAndDestroy();
		}
	};

	server.beat = async (system, overrides = {}) => {
		server.sequence++;
		const heartbeat = {
			service, address: `${host}:${server.port}`, zone, version: 'v1', slots, state: server.state, warmup_left_ms: server.warmupLeft, sequence: server.sequence, born: server.born,
		};
		return system.order('PUT', `/-/instances/${server.id}`, JSON.stringify({...heartbeat, ...overrides}), server.sequence);
	};

	server.keepBeating = (system, interval = 1500) => {
		server.timer = setInterval(() => {
			void server.beat(system);
		}, interval);
	};

	server.stop = () => {
		clearInterval(server.timer);
		server.close();
	};

	await listen();
	return server;
}

function takeHead(buffer, end) {
	const raw = buffer.subarray(0, end).toString('latin1');
	const [first, ...lines] = raw.split('\r\n');
	const [method, target] = first.split(' ');
	const headers = Object.fromEntries(lines.map(line => {
		const colon = line.indexOf(':');
		return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
	}));
	return {
		method, target, headers, raw,
	};
}

/** Takes one complete request from a buffer. */
function takeRequest(buffer) {
	const end = buffer.indexOf('\r\n\r\n');
	if (end === -1) {
		return undefined;
	}

	const head = takeHead(buffer, end);
	let position = end + 4;
	if (head.headers['transfer-encoding'] === undefined) {
		const length = Number(head.headers['content-length'] ?? 0);
		return buffer.length < position + length ? undefined : {head, body: buffer.subarray(position, position + length), length: position + length};
	}

	const parts = [];
	for (;;) {
		const lineEnd = buffer.indexOf('\r\n', position);
		const size = Number.parseInt(buffer.subarray(position, Math.max(position, lineEnd)).toString('latin1'), 16);
		if (lineEnd === -1 || buffer.length < lineEnd + size + 4) {
			return undefined;
		}

		parts.push(buffer.subarray(lineEnd + 2, lineEnd + 2 + size));
		position = lineEnd + size + 4;
		if (size === 0) {
			return {head, body: Buffer.concat(parts), length: position};
		}
	}
}

/** Sends a client's request on a new connection. */
export async function sendRequest(system, entry, request) {
	const {
		id, method = 'GET', target, body, deadline = 2000, host = 'shop.example', patience = deadline + 1500,
	} = request;
	return callOnce({
		host: entry.host, port: system.ports.front, method, target, body, patience, headers: {
			host, 'request-id': id, 'deadline-ms': String(deadline),
		},
	});
}

/** Waits until a condition holds; throws an error if it doesn't in time, so that the case counts as not run. */
export async function waitUntil(check, what, patience = 15_000) {
	const until = Date.now() + patience;
	while (!(await check())) {
		if (Date.now() > until) {
			throw new Error(`waited in vain: ${what}`);
		}

		await delay(50);
	}
}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, and 2 if it couldn't run. */
export async function runCase(folder, play) {
	const record = createRecord(path.join(folder, 'record.txt'));
	const isTroubled = process.env.TROUBLE !== '0';
	record.write(isTroubled ? 'with the disruption' : 'without the disruption');
	const cleanUps = [];
	let code;
	try {
		const broken = await play({record, isTroubled, cleanUps});
		record.write(broken === undefined ? 'the rule held' : `RULE BROKEN: ${broken}`);
		code = broken === undefined ? 0 : 1;
	} catch (error) {
		record.write(`not run: ${error.stack}`);
		code = 2;
	}

	for (const cleanUp of cleanUps.toReversed()) {
		await cleanUp();
	}

	record.save();
	process.exit(code);
}
