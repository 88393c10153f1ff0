import {describe, test} from 'node:test';
import {expect} from 'earl';
import {announcementSchema} from '../announcement/index.js';
import {type Driver} from './driver.js';
import {createLeaderRequestHandler} from './leader-request-handler.js';
import {type Leadership} from './leadership.js';
import {type ControlResponse} from './message.js';
import {createStateMachine} from './state-machine.js';

// A host that does not know a server yet hands on its leave call without a boot.
describe('createLeaderRequestHandler: the leave call of a server that has just been registered', () => {
	/** Sends the call to a leader that applies the registration before or during the call, or never, or that has not applied what was committed before its term. */
	async function doTest(registeredAt: 'before' | 'during' | 'never', isApplied: boolean, expected: ControlResponse['kind']): Promise<void> {
		const machine = createStateMachine({
			retentionMilliseconds: 1000, maximumClaims: 10, maximumAnswerBytes: 10, maximumStoredBytes: 10,
		});

		function register(when: typeof registeredAt): void {
			if (registeredAt === when) {
				machine.apply({
					area: 'registry', command: {
						kind: 'announced', at: 0, announcement: announcementSchema.parse({
							service: 'stock', name: 'one', host: '10.0.0.1', port: 1, zone: 'north', slots: 4, connections: 100, boot: 'b', state: 'cold', bornAt: 5,
						}),
					},
				});
			}
		}

		const leadership: Pick<Leadership, 'epoch'> = {epoch: 1};
		const driver = {
			replica: {getRole: () => 'leader', getLeader: () => 'host:1/a'},
			async confirm() {
				register('during');
				return true;
			},
		};
		register('before');
		const handler = createLeaderRequestHandler({
			driver: driver as unknown as Driver,
			machine,
			getLeadership: () => isApplied ? leadership as Leadership : undefined,
			broadcastQuarantine() {
				// No request is quarantined in these tests.
			},
		});
		const {kind} = await handler.handle({
			kind: 'leave', name: 'one', bornAt: undefined, known: {boot: undefined},
		});
		expect(kind).toEqual(expected);
	}

	test('is acknowledged if no such server is registered', async () => doTest('never', true, 'left'));
	test('is not acknowledged if the server is registered', async () => {
		await doTest('before', true, 'serverChanged');
		await doTest('during', true, 'unknown');
	});
	test('is not decided on by a leader that may not know the server yet', async () => doTest('never', false, 'notLeader'));
	test('removes nothing of a leader that may know an earlier boot', async () => doTest('before', false, 'notLeader'));
});
