/**
 * Measures the bytes of the messages on links in the plain and in the compact form, and the processor time of encoding and decoding
 * them. A frame counts without what TCP and IP add.
 */
import {type Buffer} from 'node:buffer';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {
	createDialer, createFrameReader, createLinkCoding, encodeFrame, listenForLinks, ownCompactForm, type CompactForm, type LinkIdentity,
} from '../source/wire/index.js';
import {
	entryCount, followerCount, getMessageKinds, shareBetweenZones,
} from './link-messages.js';
import {
	createMaximumTarget, getMedian, type BenchOptions, type BenchReport, type BenchRow, type BenchTarget,
} from './report.js';

const samples = 15;

type Costs = {readonly bytes: number; readonly encodeMicroseconds: number; readonly decodeMicroseconds: number};

/** Measures the processor time of a run. */
function measureProcessorMicroseconds(runs: number, run: () => void): number {
	const before = process.cpuUsage();
	for (let index = 0; index < runs; index++) {
		run();
	}

	return process.cpuUsage(before).user / runs;
}

/** Measures one sample of a kind: all of its messages again and again on one link. */
function measureForm(messages: readonly object[], form: CompactForm | undefined, runs: number): Costs {
	const coding = createLinkCoding(form);
	const reader = createFrameReader();
	reader.setCoding(createLinkCoding(form));
	let frames: Buffer[] = [];
	function encode(): void {
		frames = messages.map(message => encodeFrame(message, coding));
	}

	function decode(): void {
		for (const frame of frames) {
			reader.push(frame);
		}
	}

	// The first messages of a link carry its templates.
	encode();
	decode();
	const encodeMicroseconds = measureProcessorMicroseconds(runs, encode) / messages.length;
	return {bytes: frames.at(-1)!.length, encodeMicroseconds, decodeMicroseconds: measureProcessorMicroseconds(runs, decode) / messages.length};
}

function getMedianCosts(costs: readonly Costs[]): Costs {
	return {
		bytes: costs[0]!.bytes,
		encodeMicroseconds: getMedian(costs.map(cost => cost.encodeMicroseconds)),
		decodeMicroseconds: getMedian(costs.map(cost => cost.decodeMicroseconds)),
	};
}

function getProcessorTime({encodeMicroseconds, decodeMicroseconds}: Costs): number {
	return encodeMicroseconds + decodeMicroseconds;
}

/** Measures the pings of both ends of an unused link in a number of seconds. */
async function countPings(allowsSlowPings: boolean, seconds: number): Promise<number> {
	const identity: LinkIdentity = {
		name: 'bench', sharedKey: 'bench', certificates: undefined, allowsSlowPings,
	};
	let bytes = 0;
	let isOpen = false;
	function onTransfer(transfer: {readonly bytes: number}): void {
		bytes += isOpen ? transfer.bytes / 2 : 0;
	}

	const listener = await listenForLinks<unknown>({
		identity, setting: 'links', host: '127.0.0.1', port: 0, onTransfer, onConnect(link) {
			link.messages.subscribe();
		},
	});
	const dialer = createDialer<unknown>({
		identity, host: '127.0.0.1', port: listener.port, onTransfer, check: message => message, onMessage() {
			// Nothing but pings is sent.
		},
		onFailure({error}) {
			throw error;
		},
		onConnect() {
			// The count begins after the first seconds.
		},
		onDisconnect() {
			// The bench closes the link.
		},
	});
	await delay(3000);
	isOpen = true;
	await delay(seconds * 1000);
	dialer.close();
	await listener.close();
	return bytes / encodeFrame(0).length / seconds;
}

/**
 * Measures bytes and processor time.
 * @param options - Whether to measure fewer samples.
 */
export async function runLinkBytes(options: BenchOptions): Promise<BenchReport> {
	const rows: BenchRow[] = [];
	const targets: BenchTarget[] = [];
	const idleBytes = {plain: 0, compact: 0};
	for (const {name, messages, perSecond, perSecondBetweenZones} of getMessageKinds()) {
		const runs = options.isQuick ? 200 : 1000;
		// Samples of both forms alternate, so that both are measured beside the same load of the machine.
		const pairs = Array.from({length: samples}, () => [measureForm(messages, undefined, runs), measureForm(messages, ownCompactForm, runs)] as const);
		const [plain, compact] = [getMedianCosts(pairs.map(([cost]) => cost)), getMedianCosts(pairs.map(([, cost]) => cost))];
		if (!name.endsWith('serving')) {
			idleBytes.plain += plain.bytes * perSecondBetweenZones;
			idleBytes.compact += compact.bytes * perSecondBetweenZones;
		}

		rows.push({
			message: name, bytesPlain: plain.bytes, bytesCompact: compact.bytes,
			kilobytesPerSecondPlain: plain.bytes * perSecond / 1000, kilobytesPerSecondCompact: compact.bytes * perSecond / 1000,
			betweenZonesPlain: plain.bytes * perSecondBetweenZones / 1000, betweenZonesCompact: compact.bytes * perSecondBetweenZones / 1000,
			encodePlain: plain.encodeMicroseconds, encodeCompact: compact.encodeMicroseconds, decodePlain: plain.decodeMicroseconds, decodeCompact: compact.decodeMicroseconds,
		});
		if (perSecond > 0) {
			targets.push(createMaximumTarget(`processor time of a ${name}, compact to plain`, 1, getProcessorTime(compact) / getProcessorTime(plain)));
		}
	}

	const seconds = options.isQuick ? 10 : 30;
	const [usualPings, slowPings] = await Promise.all([countPings(false, seconds), countPings(true, seconds)]);
	const pingBytes = encodeFrame(0).length * entryCount * followerCount * shareBetweenZones;
	idleBytes.plain += usualPings * pingBytes;
	idleBytes.compact += slowPings * pingBytes;
	rows.push({
		message: 'pings of an unused link', perSecondUsual: usualPings, perSecondSlow: slowPings, betweenZonesUsual: usualPings * pingBytes / 1000, betweenZonesSlow: slowPings * pingBytes / 1000,
	});
	targets.push(createMaximumTarget('bytes of idle entries and control hosts between zones, compact to plain', 0.25, idleBytes.compact / idleBytes.plain));
	return {
		bench: 'link-bytes', seed: options.seed, rows, targets,
	};
}
