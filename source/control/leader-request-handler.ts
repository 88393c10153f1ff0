/** Handles the requests that only the leader may answer. */
import {performance} from 'node:perf_hooks';
import {type Announcement, getServerKey} from '../announcement/index.js';
import {type ConfigurationCommand} from '../configuration/index.js';
import {type LedgerCommand} from '../ledger/index.js';
import {quarantineCrashThreshold} from '../quarantine/index.js';
import {getHostName} from '../storage/index.js';
import {type Driver} from './driver.js';
import {type ProposalOutcome} from './proposals.js';
import {type Leadership} from './leadership.js';
import {getReplicaStatuses} from './replica-statuses.js';
import {isStorable} from './storable-command.js';
import {type Command, type CommandResult, type StateMachine} from './state-machine.js';
import {
	type ClusterStatus, type ControlResponse, type ControlRequest, type QuotaQuestion,
} from './message.js';

/** Handles requests; responds with `notLeader` while its replica does not lead. */
export type LeaderRequestHandler = {
	handle(request: ControlRequest): Promise<ControlResponse>;
};

/** Options of `createLeaderRequestHandler`. */
export type LeaderRequestHandlerOptions = {
	readonly driver: Driver;
	readonly machine: StateMachine;
	getLeadership(): Leadership | undefined;
	/** Sends the quarantined fingerprints to all entries. */
	broadcastQuarantine(fingerprints: readonly string[]): void;
};

/**
 * Creates the handler of a control host.
 * @param options - Driver, state machine and access to the current leadership.
 */
export function createLeaderRequestHandler(options: LeaderRequestHandlerOptions): LeaderRequestHandler {
	const {driver, machine, getLeadership} = options;
	const zoneChanges = new Map<string, {readonly term: number}>();
	let quotaConfirmation: Promise<void> | undefined;

	function getNotLeaderResponse(): ControlResponse {
		const leader = driver.replica.getLeader();
		return {kind: 'notLeader', leader: leader === undefined ? undefined : getHostName(leader)};
	}

	async function propose(command: Command, toResponse: (result: CommandResult) => ControlResponse): Promise<ControlResponse> {
		const outcome: ProposalOutcome = await driver.propose(command);
		switch (outcome.kind) {
			case 'applied': {
				return toResponse(outcome.result);
			}

			case 'notLeader': {
				return getNotLeaderResponse();
			}

			case 'unknown': {
				return {kind: 'unknown'};
			}
		}
	}

	async function announce(announcement: Announcement): Promise<ControlResponse> {
		if (machine.registry.isStale(announcement)) {
			return {kind: 'announced', state: 'superseded'};
		}

		if (machine.registry.isTransition(announcement)) {
			const response = await propose({area: 'registry', command: {kind: 'announced', announcement, at: Date.now()}}, () => ({kind: 'announced', state: ''}));
			if (response.kind !== 'announced') {
				return response;
			}
		}

		const server = machine.registry.get(getServerKey(announcement));
		if (server.isNothing) {
			return {kind: 'unknown'};
		}

		getLeadership()?.recordAnnouncement(server.value.id, announcement, performance.now());
		return {kind: 'announced', state: server.value.state};
	}

	async function configure(command: ConfigurationCommand): Promise<ControlResponse> {
		const encoded = machine.register.encodeAsDelta({...command, at: Date.now()});
		if (!isStorable(encoded)) {
			return {kind: 'notStorable'};
		}

		return propose({area: 'configuration', command: encoded}, result => result.area === 'configuration' ? {kind: 'configured', answer: result.answer} : {kind: 'unknown'});
	}

	async function runLedgerCommand(command: LedgerCommand): Promise<ControlResponse> {
		return propose({area: 'ledger', command: {...command, at: Date.now()}}, result => result.area === 'ledger' ? {kind: 'ledger', answer: result.answer} : {kind: 'unknown'});
	}

	async function drain(key: string, boot: string | undefined): Promise<ControlResponse> {
		const registered = machine.registry.get(key).map(server => server.announcement.boot).unwrapOr(undefined);
		if (registered === undefined || registered !== (boot ?? registered)) {
			return {kind: 'drained', isKnown: false};
		}

		return propose({
			area: 'registry', command: {
				kind: 'drained', key, boot: registered, at: Date.now(),
			},
		}, () => ({kind: 'drained', isKnown: true}));
	}

	async function leave({name, bornAt, known}: ControlRequest & {readonly kind: 'leave'}): Promise<ControlResponse> {
		if (getLeadership() === undefined) {
			// A server that an earlier leader registered may not be known yet.
			return getNotLeaderResponse();
		}

		const registered = machine.registry.getByName(name).map(server => server.announcement).unwrapOr(undefined);
		if (bornAt === undefined && known !== undefined && known.boot !== registered?.boot) {
			return {kind: 'serverChanged'};
		}

		if (bornAt === undefined && registered === undefined) {
			return readConfirmed(() => machine.registry.getByName(name).isJust ? {kind: 'unknown'} : {kind: 'left'});
		}

		return propose({
			area: 'registry', command: {
				kind: 'left', name, bornAt: bornAt ?? registered?.bornAt, at: Date.now(),
			},
		}, () => ({kind: 'left'}));
	}

	/** Checks whether a zone was ordered since a revision, or the revision is none of this log. */
	function isOutdated(zone: string, revision: number): boolean {
		return revision > machine.getZonesRevision() || machine.zoneOrders.isOrderedSince(zone, revision);
	}

	/**
	 * Changes a zone if it was not ordered since the given revision, and no other change of it is in progress. An acknowledged order
	 * moves the revision even if it changes nothing, so older orders that are under way are refused from then on.
	 */
	async function moveZone({zone, isOut, revision, isConfirmed, order}: Extract<ControlRequest, {readonly kind: 'moveZone'}>): Promise<ControlResponse> {
		if (getLeadership() === undefined) {
			// The commands of earlier terms are not applied yet, so the revision is not known.
			return getNotLeaderResponse();
		}

		const term = driver.replica.getTerm();
		if (zoneChanges.get(zone)?.term === term || (revision !== undefined && isOutdated(zone, revision))) {
			return {kind: 'zonesChanged'};
		}

		if (isConfirmed !== true && machine.zoneOrders.mayBeOvertaken({zone, isOut})) {
			return {kind: 'zoneUnconfirmed'};
		}

		const change = {term};
		zoneChanges.set(zone, change);
		const response = await propose({
			area: 'zones', zone, isOut, at: Date.now(), proposer: getHostName(driver.replica.getLeader() ?? ':'), ...(order === undefined ? {} : {order}),
		}, () => ({kind: 'zoneMoved'}));
		if (zoneChanges.get(zone) === change) {
			zoneChanges.delete(zone);
		}

		return response;
	}

	async function readConfirmed(toResponse: (leadership: Leadership) => ControlResponse): Promise<ControlResponse> {
		const isConfirmed = await driver.confirm(true);
		const leadership = getLeadership();
		return isConfirmed && leadership !== undefined ? toResponse(leadership) : getNotLeaderResponse();
	}

	/** Confirms the leadership for all questions that wait for it. */
	async function confirmQuotas(leadership: Leadership): Promise<void> {
		const startedAt = performance.now();
		if (await driver.confirm(true)) {
			leadership.quotas.confirm(startedAt);
		}
	}

	async function answerQuota(question: QuotaQuestion): Promise<ControlResponse> {
		const leadership = getLeadership();
		if (leadership === undefined) {
			return getNotLeaderResponse();
		}

		if (!leadership.quotas.isConfirmed(performance.now())) {
			quotaConfirmation ??= confirmQuotas(leadership).finally(() => {
				quotaConfirmation = undefined;
			});
			await quotaConfirmation;
		}

		return getLeadership() === leadership ? leadership.quotas.answer(question, performance.now()) : getNotLeaderResponse();
	}

	/** Counts a crash. A new quarantine is sent to the entries before the response, so that it precedes the answer to the caller. */
	function reportCrash(leadership: Leadership, fingerprint: string, server: number): ControlResponse {
		const now = performance.now();
		const count = leadership.reportCrash(fingerprint, server, now);
		if (count >= quarantineCrashThreshold) {
			options.broadcastQuarantine(leadership.getQuarantined(now));
		}

		return {kind: 'crashes', count};
	}

	function getStatus(leadership: Leadership): ClusterStatus {
		const now = performance.now();
		const current = machine.register.getCurrent('production');
		return {
			leader: getHostName(driver.replica.getLeader() ?? ':'),
			term: driver.replica.getTerm(),
			commitIndex: driver.replica.getCommitIndex(),
			versions: {trial: machine.register.getCurrentNumber('trial'), production: machine.register.getCurrentNumber('production')},
			replicas: getReplicaStatuses(driver.replica, now),
			entries: leadership.getEntries(now),
			servers: leadership.getServers(now),
			claims: machine.ledger.getClaimCount(),
			quarantined: leadership.getQuarantined(now),
			measuring: {
				planned: leadership.getPlannedProbes(),
				budget: current.isJust ? current.value.document.measuring.probesPerSecond : 0,
			},
		};
	}

	return {
		async handle(request) {
			if (driver.replica.getRole() !== 'leader') {
				return getNotLeaderResponse();
			}

			switch (request.kind) {
				case 'announce': {
					return announce(request.announcement);
				}

				case 'configure': {
					return configure(request.command);
				}

				case 'leave': {
					return leave(request);
				}

				case 'readZones': {
					return readConfirmed(() => ({kind: 'zones', revision: machine.getZonesRevision()}));
				}

				case 'moveZone': {
					return moveZone(request);
				}

				case 'ledger': {
					return runLedgerCommand(request.command);
				}

				case 'quota': {
					return answerQuota(request);
				}

				case 'drain': {
					return drain(request.key, request.boot);
				}

				case 'crash': {
					return readConfirmed(leadership => reportCrash(leadership, request.fingerprint, request.server));
				}

				case 'clearCrashes': {
					getLeadership()?.clearCrashes(request.fingerprint);
					return {kind: 'crashes', count: 0};
				}

				case 'readVersion': {
					return readConfirmed(() => ({kind: 'version', version: machine.register.getCurrent(request.environment).unwrapOr(undefined as never)}));
				}

				case 'readHistory': {
					return readConfirmed(() => ({kind: 'history', versions: machine.register.getHistory(request.environment)}));
				}

				case 'readInForce': {
					return readConfirmed(leadership => ({kind: 'inForce', isInForce: leadership.isInForce(request.environment, request.version, performance.now())}));
				}

				case 'readStatus': {
					return readConfirmed(leadership => ({kind: 'status', status: getStatus(leadership)}));
				}
			}
		},
	};
}
