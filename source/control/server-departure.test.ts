import {describe, test} from 'node:test';
import {expect} from 'earl';
import {type ControlRequest, type ControlResponse} from './message.js';
import {removeServer, type ServerDepartureOutcome} from './server-departure.js';

/** A boot that the host or the leader knows; undefined if it knows no server. */
type KnownBoot = string | undefined;

// Guards against leave calls without a start time that remove the successor of their sender.
describe('removeServer', () => {
	async function doTest(hostBoots: readonly KnownBoot[], leaderBoot: KnownBoot, awaitedChecks: number, expected: ServerDepartureOutcome['kind'], expectedRequests: readonly KnownBoot[]): Promise<void> {
		const requests: KnownBoot[] = [];
		let reads = 0;
		let checks = 0;
		async function submit(request: ControlRequest): Promise<ControlResponse> {
			const boot = request.kind === 'leave' ? request.known?.boot : 'none';
			requests.push(boot);
			return boot === leaderBoot ? {kind: 'left'} : {kind: 'serverChanged'};
		}

		const outcome = await removeServer({
			name: 'one', getBoot: () => hostBoots[reads++], isAwaited: async () => checks++ < awaitedChecks, submit,
		});
		expect([outcome.kind, requests]).toEqual([expected, [...expectedRequests]]);
	}

	test('removes the boot that the host knows', async () => doTest(['a'], 'a', 1, 'left', ['a']));
	test('removes nothing when no such server is registered', async () => doTest([undefined], undefined, 1, 'left', [undefined]));
	test('is not carried out when the sender has given up', async () => doTest(['a'], 'a', 0, 'abandoned', []));
	test('does not remove a successor that the host does not know yet', async () => doTest(['a', 'b'], 'b', 1, 'abandoned', ['a']));
	test('is repeated by a host that lags while the sender waits', async () => doTest([undefined, 'a'], 'a', 2, 'left', [undefined, 'a']));
});
