import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {describe, test} from 'node:test';
import {expect} from 'earl';
import {type Snapshot} from '../consensus/index.js';
import {openStore} from '../storage/index.js';
import {createStateMachine, stateMachineCodec, type StateMachineSnapshot} from './state-machine.js';
import {createSnapshotReceiver, createSnapshotSender, type SnapshotPart} from './snapshot-transfer.js';

const limits = {
	retentionMilliseconds: 1_000_000, maximumClaims: 100_000, maximumAnswerBytes: 1_000_000, maximumStoredBytes: 1_000_000,
};

function createStateMachineSnapshot(claims: number): StateMachineSnapshot {
	const machine = createStateMachine(limits);
	for (let number = 0; number < claims; number++) {
		machine.apply({
			area: 'ledger', command: {
				kind: 'claim', shard: 0, key: `k${number}`, attempt: `a${number}`, digest: 'd', at: number,
			},
		});
		machine.apply({
			area: 'ledger', command: {
				kind: 'release', shard: 0, key: `k${number}`, attempt: number % 2 === 0 ? `a${number}` : 'other', at: number,
			},
		});
	}

	return machine.takeSnapshot();
}

function createSnapshot(claims: number): Snapshot {
	return {
		index: 5, term: 1, membership: {voters: ['a', 'b'], learners: []}, data: createStateMachineSnapshot(claims),
	};
}

describe('stateMachineCodec', () => {
	function doTest(claims: number): void {
		const snapshot = createStateMachineSnapshot(claims);
		expect(stateMachineCodec.join(stateMachineCodec.split(snapshot))).toEqual(snapshot);
	}

	test('preserves an empty snapshot', () => {
		doTest(0);
	});
	test('preserves a snapshot of several parts', () => {
		doTest(9000);
	});
});

describe('createSnapshotSender and createSnapshotReceiver', () => {
	async function doTest(change: (parts: readonly SnapshotPart[]) => readonly SnapshotPart[], isWhole: boolean): Promise<void> {
		const parts: SnapshotPart[] = [];
		const sender = createSnapshotSender({
			self: 'a', codec: stateMachineCodec, getBacklogBytes: () => 0, send(_, part) {
				parts.push(part);
			},
		});
		const snapshot = createSnapshot(9000);
		await sender.send('b', {
			kind: 'install', term: 1, snapshot, round: 3,
		});
		const receiver = createSnapshotReceiver(stateMachineCodec);
		const received = change(parts).map(part => receiver.receive(part)).find(install => install !== undefined);
		expect(received?.snapshot).toEqual(isWhole ? snapshot : undefined);
	}

	test('transfer a complete snapshot', async () => doTest(parts => parts, true));
	test('discard a transfer with a missing part', async () => doTest(parts => parts.filter((_, index) => index !== 1), false));
	test('discard a transfer whose parts arrive out of order', async () => doTest(parts => [parts[1]!, parts[0]!, ...parts.slice(2)], false));
});

describe('openStore with stateMachineCodec', () => {
	test('restores a prepared snapshot of several parts', async () => {
		const folder = mkdtempSync(path.join(tmpdir(), 'guavadeck-transfer-'));
		const snapshot = createSnapshot(9000);
		const store = await openStore(folder, stateMachineCodec);
		await store.prepareSnapshot(snapshot);
		await store.persist([{kind: 'persistSnapshot', snapshot}]);
		await store.close();
		const reopened = await openStore(folder, stateMachineCodec);
		expect(reopened.storedState.snapshot).toEqual(snapshot);
		await reopened.close();
		rmSync(folder, {recursive: true});
	});
});
