/** Handles the messages that arrive on the links of a control host: those of the other control hosts, and the renewals and requests of entries. */
import {performance} from 'node:perf_hooks';
import {type Renewal} from '../lease/index.js';
import {type BurnRateTracker} from '../service-level/index.js';
import {getHostName} from '../storage/index.js';
import {type Link} from '../wire/index.js';
import {type Driver} from './driver.js';
import {type LeaderRequestHandler} from './leader-request-handler.js';
import {type Leadership} from './leadership.js';
import {type MembershipManager} from './membership-manager.js';
import {type ControlInbound, type ControlOutbound} from './message.js';
import {type ControlMetrics} from './metrics.js';
import {type Shutdown} from './shutdown.js';
import {type SnapshotReceiver} from './snapshot-transfer.js';

/** Handles a message that arrived on a link. Throws, or rejects, an error for a message that it cannot handle. */
export type InboundHandler = (link: Link<ControlInbound>, message: ControlInbound) => Promise<void>;

/** Options of `createInboundHandler`. */
export type InboundHandlerOptions = {
	/** Replica of this host. */
	readonly self: string;
	readonly driver: Driver;
	readonly requestHandler: LeaderRequestHandler;
	readonly snapshotReceiver: SnapshotReceiver;
	/** Throws an error if the state machine cannot be restored from the contents of a snapshot. */
	checkSnapshot(data: unknown): void;
	readonly membershipManager: MembershipManager;
	readonly shutdown: Shutdown;
	readonly burnRateTracker: BurnRateTracker | undefined;
	readonly metrics: ControlMetrics;
	getLeadership(): Leadership | undefined;
};

/**
 * Creates the handler of a control host.
 * @param options - Parts of the host that the messages are for.
 */
export function createInboundHandler(options: InboundHandlerOptions): InboundHandler {
	const {
		self, driver, metrics, getLeadership,
	} = options;

	async function renew(link: Link<ControlInbound>, renewal: Renewal): Promise<void> {
		const receivedAt = performance.now();
		const current = getLeadership();
		const isConfirmed = current !== undefined && await driver.confirm(false);
		if (isConfirmed && getLeadership() === current) {
			metrics.countRenewal('granted');
			link.send(current.grant(renewal, receivedAt, performance.now()));
			return;
		}

		metrics.countRenewal('refused');
		const leaderId = driver.replica.getLeader();
		const refusal: ControlOutbound = {kind: 'refusal', sequence: renewal.sequence, leader: leaderId === undefined || leaderId === self ? undefined : getHostName(leaderId)};
		link.send(refusal);
	}

	return async (link, message) => {
		switch (message.kind) {
			case 'consensus': {
				if (message.to === self) {
					if (message.message.kind === 'install') {
						options.checkSnapshot(message.message.snapshot.data);
					}

					driver.receive(message.from, message.message);
				}

				return;
			}

			case 'snapshotPart': {
				const install = message.to === self ? options.snapshotReceiver.receive(message) : undefined;
				if (install !== undefined) {
					options.checkSnapshot(install.snapshot.data);
					driver.receive(message.from, install);
				}

				return;
			}

			case 'join': {
				options.membershipManager.addJoiningReplica(message.replica);
				return;
			}

			case 'availability': {
				options.shutdown.recordAvailability(message);
				return;
			}

			case 'renewal': {
				return renew(link, message);
			}

			case 'request': {
				const answer = await options.requestHandler.handle(message.request);
				link.send({kind: 'reply', id: message.id, answer});
				return;
			}

			case 'burnReport': {
				options.burnRateTracker?.add(message);
			}
		}
	};
}
