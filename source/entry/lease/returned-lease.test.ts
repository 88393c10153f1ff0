import {describe, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {type ControlClient} from '../../control-client/index.js';
import {type Renewal} from '../../lease/index.js';
import {keepLease, type LeaseKeeper} from './lease-keeper.js';

describe('keepLease: a returned lease', () => {
	/** Returns the lease, lets something happen, and gets which of the renewals were final. */
	async function doTest(act: (keeper: LeaseKeeper) => void): Promise<void> {
		const renewals: Renewal[] = [];
		const client: Pick<ControlClient, 'getLeader' | 'sendToLeader' | 'setLeader'> = {
			getLeader: () => 'leader',
			sendToLeader(message) {
				renewals.push(message as Renewal);
				return 'leader';
			},
			setLeader() {
				// The test has one leader.
			},
		};
		const keeper = keepLease({
			entry: 'one', environment: 'production', renewMilliseconds: 30, peer: undefined, getClient: () => client as ControlClient,
			takeObservations: () => [], getPermits: () => [], takeFailedProbes: () => [], takeUnchangedServers: () => [], getCrashReports: () => [], getEarlierState: () => undefined,
			applyGrant() {
				// The test looks at renewals only.
			},
			setQuarantined() {
				// No request is quarantined in these tests.
			},
		});
		keeper.renew();
		keeper.release();
		keeper.receive('leader', {kind: 'refusal', sequence: 2, leader: undefined});
		act(keeper);
		await delay(100);
		keeper.stop();
		expect(renewals.map(({isFinal}) => isFinal)).toEqual([false, true]);
	}

	test('is not asked for again when a renewal would be due', async () => {
		await doTest(() => undefined);
	});
	test('is not asked for again after a nudge, a suspension or a new connection', async () => {
		await doTest(keeper => {
			keeper.receive('leader', {kind: 'nudge'});
		});
		await doTest(keeper => {
			keeper.expedite();
		});
		await doTest(keeper => {
			keeper.handleConnect('leader');
		});
	});
});
