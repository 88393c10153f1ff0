/** Slopes of the ledger: claims and snapshots. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {monitorEventLoopDelay, performance} from 'node:perf_hooks';
import {createStateMachine, stateMachineCodec} from '../../source/control/index.js';
import {openStore} from '../../source/storage/index.js';
import {encode} from '../../source/wire/index.js';
import {type BenchRow} from '../report.js';
import {ledgerLimits} from './sample.js';
import {
	getLiveHeapBytes, microsecondsPerMillisecond, nanosecondsPerMillisecond,
} from './measuring.js';

/** Claims in the ledger, and what they leave behind. */
export function measureClaims(claims: number): BenchRow {
	const machine = createStateMachine(ledgerLimits);
	const before = getLiveHeapBytes();
	let next = 0;
	const startedAt = performance.now();
	for (; next < claims; next++) {
		const common = {
			shard: 0, key: `production/orders/key-${next}`, attempt: `attempt-${next}`, at: next,
		};
		machine.apply({area: 'ledger', command: {kind: 'claim', ...common, digest: 'a'.repeat(64)}});
		machine.apply({
			area: 'ledger', command: {
				kind: 'finish', ...common, answer: {status: 200, headers: ['content-type', 'text/plain'], body: new Uint8Array(256)},
			},
		});
	}

	const microseconds = (performance.now() - startedAt) / claims * microsecondsPerMillisecond;
	const bytes = (getLiveHeapBytes() - before) / claims;
	const snapshotStartedAt = performance.now();
	const encodedSnapshot = encode(machine.takeSnapshot());
	return {
		slope: 'claim', claims, applyMicroseconds: microseconds, heapBytesForEach: bytes,
		snapshotMilliseconds: performance.now() - snapshotStartedAt, snapshotBytesForEach: encodedSnapshot.length / claims,
	};
}

/** A snapshot beside the running log, and the longest time for which it holds up the loop. */
export async function measureSnapshots(claims: number): Promise<BenchRow> {
	const machine = createStateMachine(ledgerLimits);
	for (let number = 0; number < claims; number++) {
		machine.apply({
			area: 'ledger', command: {
				kind: 'claim', shard: 0, key: `production/orders/key-${number}`, attempt: `attempt-${number}`, digest: 'a'.repeat(64), at: number,
			},
		});
	}

	const folder = mkdtempSync(path.join(tmpdir(), 'guavadeck-slopes-'));
	const store = await openStore(folder, stateMachineCodec);
	const delay = monitorEventLoopDelay({resolution: 1});
	delay.enable();
	const startedAt = performance.now();
	await store.prepareSnapshot({
		index: 1, term: 1, membership: {voters: ['a'], learners: []}, data: machine.takeSnapshot(),
	});
	const milliseconds = performance.now() - startedAt;
	delay.disable();
	await store.close();
	rmSync(folder, {recursive: true});
	return {
		slope: 'snapshot', claims, milliseconds, longestBlockMilliseconds: delay.max / nanosecondsPerMillisecond,
	};
}
