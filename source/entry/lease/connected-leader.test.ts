import {describe, test} from 'node:test';
import {expect} from 'earl';
import {type ControlClient} from '../../control-client/index.js';
import {keepLease} from './lease-keeper.js';

// Guards against a renewal that the leader never gets, because it was sent before the link to the leader opened: the entry waited 0.8 s for
// the answer to it after a power loss of all hosts.
describe('keepLease: a renewal before the leader is connected', () => {
	function doTest(namedLeader: string | undefined, connected: readonly string[], expected: readonly string[]): void {
		let leader: string | undefined;
		const resentTo: string[] = [];
		const client: Pick<ControlClient, 'sendToLeader' | 'sendTo' | 'setLeader' | 'getLeader'> = {
			sendToLeader: () => 'all',
			sendTo(host) {
				resentTo.push(host);
			},
			setLeader(name) {
				leader = name;
			},
			getLeader: () => leader,
		};
		const keeper = keepLease({
			entry: 'one', environment: 'production', renewMilliseconds: 60_000, peer: undefined, getClient: () => client as ControlClient,
			takeObservations: () => [], getPermits: () => [], takeFailedProbes: () => [], takeUnchangedServers: () => [], getCrashReports: () => [], getEarlierState: () => undefined,
			applyGrant() {
				// No lease is granted in these tests.
			},
			setQuarantined() {
				// No request is quarantined in these tests.
			},
		});
		keeper.handleConnect('a');
		if (namedLeader !== undefined) {
			keeper.receive('a', {kind: 'refusal', sequence: 1, leader: namedLeader});
		}

		for (const host of connected) {
			keeper.handleConnect(host);
		}

		keeper.stop();
		expect(resentTo).toEqual([...expected]);
	}

	test('is sent again to the leader that another host has named', () => {
		doTest('b', ['c', 'b'], ['b']);
	});
	test('is sent again to every host while no leader is known', () => {
		doTest(undefined, ['c', 'b'], ['c', 'b']);
	});
});
