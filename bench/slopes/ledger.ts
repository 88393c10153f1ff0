/** Measures the cost of claims and snapshots for the ledger. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {monitorEventLoopDelay, performance} from 'node:perf_hooks';
import {createStateMachine, stateMachineCodec} from '../../source/control/index.js';
import {openStore} from '../../source/storage/index.js';
import {encode} from '../../source/wire/index.js';
import {type BenchRow} from '../report.js';
import {ledgerLimits} from './fixtures.js';
import {
	getLiveHeapBytes, microsecondsPerMillisecond, nanosecondsPerMillisecond,
} from './measuring.js';

/** Measures the time to make and finish a claim, and the size of a number of finished claims in memory and in a snapshot. */
export function measureClaims(claimCount: number): BenchRow {
	const stateMachine = createStateMachine(ledgerLimits);
	const heapBytesBefore = getLiveHeapBytes();
	let number = 0;
	const startedAt = performance.now();
	for (; number < claimCount; number++) {
		const claim = {
			shard: 0, key: `production/orders/key-${number}`, attempt: `attempt-${number}`, at: number,
		};
		stateMachine.apply({area: 'ledger', command: {kind: 'claim', ...claim, digest: 'a'.repeat(64)}});
		stateMachine.apply({
			area: 'ledger', command: {
				kind: 'finish', ...claim, answer: {status: 200, headers: ['content-type', 'text/plain'], body: new Uint8Array(256)},
			},
		});
	}

	const applyMicroseconds = (performance.now() - startedAt) / claimCount * microsecondsPerMillisecond;
	const heapBytesPerClaim = (getLiveHeapBytes() - heapBytesBefore) / claimCount;
	const snapshotStartedAt = performance.now();
	const encodedSnapshot = encode(stateMachine.takeSnapshot());
	return {
		slope: 'claim',
		claims: claimCount,
		applyMicroseconds,
		heapBytesForEach: heapBytesPerClaim,
		snapshotMilliseconds: performance.now() - snapshotStartedAt,
		snapshotBytesForEach: encodedSnapshot.length / claimCount,
	};
}

/** Measures the time to write a snapshot with a number of claims, and the longest time for which it blocks the event loop. */
export async function measureSnapshots(claimCount: number): Promise<BenchRow> {
	const stateMachine = createStateMachine(ledgerLimits);
	for (let number = 0; number < claimCount; number++) {
		stateMachine.apply({
			area: 'ledger', command: {
				kind: 'claim', shard: 0, key: `production/orders/key-${number}`, attempt: `attempt-${number}`, digest: 'a'.repeat(64), at: number,
			},
		});
	}

	const folder = mkdtempSync(path.join(tmpdir(), 'guavadeck-slopes-'));
	const store = await openStore(folder, stateMachineCodec);
	const eventLoopDelay = monitorEventLoopDelay({resolution: 1});
	eventLoopDelay.enable();
	const startedAt = performance.now();
	await store.prepareSnapshot({
		index: 1, term: 1, membership: {voters: ['a'], learners: []}, data: stateMachine.takeSnapshot(),
	});
	const milliseconds = performance.now() - startedAt;
	eventLoopDelay.disable();
	await store.close();
	rmSync(folder, {recursive: true});
	return {
		slope: 'snapshot', claims: claimCount, milliseconds, longestBlockMilliseconds: eventLoopDelay.max / nanosecondsPerMillisecond,
	};
}
