import {execFileSync, spawn, spawnSync} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {
	after, before, describe, test,
} from 'node:test';
import {expect} from 'earl';
import {stringify} from 'smol-toml';

const spawnTimeoutMilliseconds = 10_000;
const binary = 'dist/guavadeck';
const folder = mkdtempSync(path.join(tmpdir(), 'guavadeck-binary-'));

before(() => {
	execFileSync(process.execPath, ['scripts/build.js'], {stdio: 'ignore'});
});
after(() => {
	rmSync(folder, {recursive: true});
});

describe('dist/guavadeck', () => {
	function doTest(arguments_: readonly string[], code: number, output: RegExp): void {
		const {status, stdout, stderr} = spawnSync(binary, arguments_, {encoding: 'utf8', env: {...process.env, NODE_NO_WARNINGS: '1'}});
		expect({arguments_, status, matches: output.test(stdout + stderr)}).toEqual({arguments_, status: code, matches: true});
	}

	const invalidFile = path.join(folder, 'bad.toml');
	writeFileSync(invalidFile, 'zones = 3\n');

	test('prints its version', () => {
		doTest(['--version'], 0, /^guavadeck\/0\.1\.0/v);
	});
	test('prints help for a command', () => {
		doTest(['apply', '--help'], 0, /--despite-burn|--wait/v);
	});
	test('accepts a valid file', () => {
		doTest(['check', 'examples/kopano/document.toml'], 0, /: ok\n$/v);
	});
	test('rejects an invalid file', () => {
		doTest(['check', invalidFile], 2, /bad\.toml: zones: .*expected array/v);
	});
	test('reports an unknown command', () => {
		doTest(['nonsense'], 2, /nonsense: no such command; see guavadeck --help/v);
	});
	test('reports a missing settings file', () => {
		doTest(['entry'], 2, /--settings: missing/v);
	});
	test('reports an unknown option', () => {
		doTest(['status', '--colour'], 2, /colour/v);
	});
	test('reports that no control host responds', () => {
		doTest(['status', '--control', 'http://127.0.0.1:9'], 1, /no control host responded/v);
	});
	test('reports an invalid control address', () => {
		doTest(['status', '--control', 'nowhere'], 2, /is not an address/v);
	});
});

describe('a process whose address is in use', () => {
	const listeningServer = createServer();
	before(async () => {
		listeningServer.listen(0, '127.0.0.1');
		await once(listeningServer, 'listening');
	});
	after(() => {
		listeningServer.close();
	});

	function doTest(kind: 'control' | 'entry', setting: string): void {
		const {port} = listeningServer.address() as AddressInfo;
		const freeAddress = {host: '127.0.0.1', port: 0};
		const addresses = kind === 'control' ? {links: freeAddress, api: freeAddress, dataFolder: folder} : {callers: freeAddress, admin: freeAddress, peers: freeAddress};
		const file = path.join(folder, `${kind}-${setting}.toml`);
		writeFileSync(file, stringify({
			name: 'one', zone: 'north', control: [{name: 'one', host: '127.0.0.1', port: 9}], ...addresses, [setting]: {host: '127.0.0.1', port},
		}));
		const {status, stderr} = spawnSync(binary, [kind, '--settings', file, ...kind === 'control' && setting === 'links' ? ['--found'] : []], {encoding: 'utf8', timeout: spawnTimeoutMilliseconds});
		expect({setting, status, message: stderr.trim().split('\n').at(-1)}).toEqual({
			setting, status: 2, message: `${file}: ${setting}: 127.0.0.1 port ${port} is taken by another process; stop it or choose another port`,
		});
	}

	for (const setting of ['links', 'api']) {
		test(`exits with an error that names the setting: ${setting} of a control host`, () => {
			doTest('control', setting);
		});
	}

	for (const setting of ['callers', 'admin', 'peers']) {
		test(`exits with an error that names the setting: ${setting} of an entry`, () => {
			doTest('entry', setting);
		});
	}
});

describe('guavadeck try, and the operators\' commands', () => {
	test('serve requests, apply, promote, take a zone out of service and report burn rates', async () => {
		const child = spawn(binary, ['try'], {stdio: ['ignore', 'pipe', 'ignore']});
		try {
			const text = await new Promise<string>(resolve => {
				let received = '';
				child.stdout.on('data', (chunk: Uint8Array) => {
					received += new TextDecoder().decode(chunk);
					if (received.split('\n').length > 4) {
						resolve(received);
					}
				});
			});
			const [, base] = /^ready (?<base>http:\S+)$/mv.exec(text) ?? [];
			const [, control] = /^operators (?<control>http:\S+)$/mv.exec(text) ?? [];
			const response = await fetch(`${base}/catalogue`);
			expect(response.status).toEqual(200);

			function doTest(arguments_: readonly string[], code: number, output: RegExp): void {
				const {status, stdout, stderr} = spawnSync(binary, [...arguments_, '--control', control ?? ''], {encoding: 'utf8'});
				expect({arguments_, status, output: output.test(stdout + stderr) ? '' : stdout + stderr}).toEqual({arguments_, status: code, output: ''});
			}

			const document = 'examples/kopano/document.toml';
			doTest(['apply', document], 0, /^trial version 1 accepted/v);
			doTest(['apply', document, '--base', '0', '--change', 'mine'], 1, /trial is at version 1, not at 0/v);
			doTest(['promote', '--source', '9'], 1, /trial has no version 9/v);
			doTest(['zone', 'out', 'south', '--wait'], 0, /production version 2 is in force everywhere/v);
			doTest(['zone', 'out', 'north'], 1, /last zone in service/v);
			doTest(['zone', 'out', 'west'], 2, /"west" is unknown; use one of north, south/v);
			doTest(['zone', 'in', 'south'], 0, /production version 3 accepted/v);
			doTest(['server', 'drain', 'orders/orders-1'], 0, /is draining and receives no new requests/v);
			doTest(['server', 'drain', 'orders/none'], 1, /no such server/v);
			doTest(['status'], 0, /orders\/orders-1 +north +leaving/v);
			doTest(['history'], 0, /VERSION.*\n1 .*\n2 .*\n3 /v);
			doTest(['show'], 0, /"version": 3/v);
			doTest(['burn'], 0, /SERVICE.*BUDGET LEFT/v);
			const pageFile = path.join(folder, 'burn.html');
			doTest(['burn', '--html', pageFile], 0, /wrote/v);
			expect(readFileSync(pageFile, 'utf8').includes('<svg')).toEqual(true);
			doTest(['promote'], 0, /^production version 4 accepted/v);
		} finally {
			child.kill('SIGTERM');
		}
	});
});
