/** A control host: replica, links, leases and the operators' interface in one process. */
import {createServer, type Server} from 'node:http';
import {performance} from 'node:perf_hooks';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {interval, type Subscription} from 'rxjs';
import {Result} from 'true-myth';
import {type RegisteredServer} from '../announcement/index.js';
import {type Environment} from '../configuration/index.js';
import {type ReplicaMessage} from '../consensus/index.js';
import {createControlClient} from '../control-client/index.js';
import {type Renewal} from '../lease/index.js';
import {createRandom} from '../randomness/index.js';
import {type BurnRateTracker} from '../service-level/index.js';
import {getSeeds, type ControlSettings, type Security} from '../settings/index.js';
import {
	getHostName, openStore,
} from '../storage/index.js';
import {type Log} from '../telemetry/index.js';
import {listen, listenForLinks, type Link} from '../wire/index.js';
import {createApi, type Api, type ApiOptions} from './api.js';
import {startDriver, type RoleChange} from './driver.js';
import {createLeaderRequestHandler} from './leader-request-handler.js';
import {createLeadership, type Leadership} from './leadership.js';
import {createStateMachine, stateMachineCodec} from './state-machine.js';
import {createHostDiscovery} from './host-discovery.js';
import {createMembershipManager} from './membership-manager.js';
import {createControlMetrics} from './metrics.js';
import {createShutdown} from './shutdown.js';
import {createSnapshotReceiver, createSnapshotSender} from './snapshot-transfer.js';
import {
	type ControlResponse, type ControlInbound, type ControlOutbound, type ControlRequest,
} from './message.js';

const housekeepingMilliseconds = 100;
const nudgeMilliseconds = 25;
const joinMilliseconds = 500;
const unfinishedCheckMilliseconds = 10;
const forwardAttemptMilliseconds = 200;
const millisecondsPerHour = 3_600_000;

/** A running control host. */
export type Control = {
	readonly apiPort: number;
	readonly linksPort: number;
	/** Takes settings that were read again; of them the seeds change while it runs. */
	reload(next: ControlSettings): void;
	/** Waits until the others can spare this host, hands leadership over and stops. */
	stop(): Promise<void>;
};

/** Options of `startControl`. */
export type ControlOptions = {
	readonly settings: ControlSettings;
	readonly security: Security;
	readonly log: Log;
	readonly seed: number;
	/** Whether the blank data folder belongs to a founding member; only for the very first start. */
	readonly founding: boolean;
	/** Serves operators and servers in another protocol than the product's own. */
	readonly createApi?: (options: ApiOptions) => Api;
	/** Called when the process can't go on. */
	failed(error: Error): void;
};

/**
 * Starts a control host.
 * @param options - Settings, keys and log.
 */
export async function startControl(options: ControlOptions): Promise<Result<Control, string>> {
	const {settings, security, log} = options;
	const neighbourhood = createHostDiscovery(settings, options.founding);
	const opened = await neighbourhood.openFolder();
	if (opened.isErr) {
		return Result.err(opened.error);
	}

	const folder = opened.value;
	const self = folder.replica;
	const machine = createStateMachine({
		retentionMilliseconds: settings.ledger.retentionHours * millisecondsPerHour,
		maximumClaims: settings.ledger.maximumClaims,
		maximumStoredBytes: settings.ledger.maximumStoredBytes,
	});
	const links = new Set<Link<ControlInbound>>();
	// What keeps service levels is loaded only where they are kept, since its histograms take memory.
	const burnBook: BurnRateTracker | undefined = settings.serviceLevels ? await loadBurnBook() : undefined;
	let leadership: Leadership | undefined;
	let nudge: NodeJS.Timeout | undefined;
	let lastUrgency = 0;
	let lastVersions = '';

	const driver = startDriver({
		id: self,
		founders: neighbourhood.getFounders(folder),
		store: await openStore(path.join(settings.dataFolder, 'log'), stateMachineCodec),
		machine,
		electionMilliseconds: settings.election.timeoutMilliseconds,
		heartbeatMilliseconds: settings.election.heartbeatMilliseconds,
		snapshotEvery: settings.snapshotEvery,
		snapshotBytes: settings.snapshotBytes,
		random: createRandom(options.seed),
		send: sendConsensus,
		failed: options.failed,
	});
	const leader = createLeaderRequestHandler({
		driver,
		machine,
		getLeadership: () => leadership,
		announceQuarantine(fingerprints) {
			for (const link of links) {
				link.send({kind: 'quarantined', fingerprints});
			}
		},
	});
	const client = createControlClient({
		identity: {...security.link, name: neighbourhood.name},
		hosts: neighbourhood.getOthers(driver.replica.getMembership(), []),
		received(_host, message) {
			// Replies are taken by the client; of the rest only the directory concerns control hosts.
			if (message.kind === 'directory') {
				members.learn(message);
			}
		},
		lost(host) {
			log.warn({host}, 'control host lost');
		},
		opened(host) {
			log.info({host}, 'control host reached');
			members.askToJoin();
			client.sendTo(host, shutdown.getAvailability());
		},
	});
	const sender = createSnapshotSender({
		self,
		codec: stateMachineCodec,
		send(to, part) {
			client.sendTo(getHostName(to), part);
		},
		getBacklogBytes: to => client.getBacklogBytes(getHostName(to)),
	});
	const receiver = createSnapshotReceiver(stateMachineCodec);
	const shutdown = createShutdown({
		self,
		driver,
		log,
		electionMilliseconds: settings.election.timeoutMilliseconds,
		patienceMilliseconds: settings.stopPatienceMilliseconds,
		broadcast: client.broadcast,
		async readStatus() {
			const answer = await answerOnce({kind: 'readStatus'});
			return answer.kind === 'status' ? answer.status : undefined;
		},
	});
	const members = createMembershipManager({
		self, driver, neighbourhood, client, links, log,
	});
	const metrics = createControlMetrics(driver, machine);

	function sendConsensus(to: string, message: ReplicaMessage): void {
		if (message.kind === 'install') {
			void sender.send(to, message);
			return;
		}

		client.sendTo(getHostName(to), {
			kind: 'consensus', from: self, to, message,
		});
	}

	async function renew(link: Link<ControlInbound>, renewal: Renewal): Promise<void> {
		const receivedAt = performance.now();
		const current = leadership;
		const isConfirmed = current !== undefined && await driver.confirm(false);
		if (isConfirmed && leadership === current) {
			metrics.renewed('granted');
			link.send(current.grant(renewal, receivedAt, performance.now()));
			return;
		}

		metrics.renewed('refused');
		const known = driver.replica.getLeader();
		const refusal: ControlOutbound = {kind: 'refusal', sequence: renewal.sequence, leader: known === undefined || known === self ? undefined : getHostName(known)};
		link.send(refusal);
	}

	function receive(link: Link<ControlInbound>, message: ControlInbound): void {
		switch (message.kind) {
			case 'consensus': {
				if (message.to === self) {
					driver.receive(message.from, message.message);
				}

				return;
			}

			case 'snapshotPart': {
				const install = message.to === self ? receiver.receive(message) : undefined;
				if (install !== undefined) {
					driver.receive(message.from, install);
				}

				return;
			}

			case 'join': {
				members.join(message.replica);
				return;
			}

			case 'availability': {
				shutdown.receive(message);
				return;
			}

			case 'renewal': {
				void renew(link, message);
				return;
			}

			case 'request': {
				void leader.handle(message.request).then(answer => {
					link.send({kind: 'reply', id: message.id, answer});
				});
				return;
			}

			case 'burnReport': {
				burnBook?.add(message);
			}
		}
	}

	const listener = await listenForLinks<ControlInbound>({
		identity: {...security.link, name: neighbourhood.name},
		setting: 'links',
		host: settings.links.host,
		port: settings.links.port,
		opened(link) {
			links.add(link);
			members.greet(link);
			link.messages.subscribe({
				next(message) {
					receive(link, message);
				},
				complete() {
					links.delete(link);
				},
			});
		},
	});

	function nudgeWhenUrgent(): void {
		const versions = `${machine.register.getCurrentNumber('trial')} ${machine.register.getCurrentNumber('production')}`;
		const urgency = leadership?.getUrgentRevision() ?? 0;
		if (leadership === undefined || (urgency === lastUrgency && versions === lastVersions)) {
			return;
		}

		lastUrgency = urgency;
		lastVersions = versions;
		for (const link of links) {
			link.send({kind: 'nudge'});
		}
	}

	/** Nudges once for all changes that come close together. */
	function planNudge(): void {
		if (leadership === undefined || nudge !== undefined) {
			return;
		}

		nudge = setTimeout(() => {
			nudge = undefined;
			nudgeWhenUrgent();
		}, nudgeMilliseconds);
	}

	function keepHouse(): void {
		members.announce();
		if (leadership === undefined) {
			return;
		}

		nudgeWhenUrgent();

		for (const command of leadership.tick(performance.now())) {
			void driver.propose({area: 'registry', command});
		}

		members.change();
	}

	/** Tells which servers changed by what was committed. */
	function logServers(servers: readonly RegisteredServer[]): void {
		const changes = servers.map(({key, state, announcement, id}) => `${key} at ${announcement.host}:${announcement.port} ${machine.registry.getById(id).isJust ? state : 'gone'}`);
		log.info({commitIndex: driver.replica.getCommitIndex(), zonesOut: machine.getZonesOut(), changes}, 'servers committed');
	}

	function changeRole(change: RoleChange): void {
		const {role, term, leader: leaderId} = change;
		log.info({role, term, leader: leaderId}, 'role changed');
		client.setLeader(leaderId === undefined || leaderId === self ? undefined : getHostName(leaderId));
		if (role !== 'leader') {
			leadership = undefined;
		}
	}

	function lead(term: number): void {
		lastUrgency = -1;
		leadership = createLeadership({
			epoch: term, startedAt: performance.now(), termMilliseconds: settings.lease.termMilliseconds, machine, getWallClock: Date.now,
		});
		planNudge();
	}

	const subscription: Subscription = driver.roleChanges.subscribe(changeRole);
	subscription.add(driver.leadershipStarts.subscribe(lead));
	subscription.add(driver.applied.subscribe(answer => {
		switch (answer.area) {
			case 'registry':
			case 'zones': {
				logServers(answer.changed);
				leadership?.updateServers(answer.changed, performance.now());
				break;
			}

			case 'configuration': {
				log.info({answer: answer.answer, commitIndex: driver.replica.getCommitIndex()}, 'configuration committed');
				leadership?.updateDocuments(performance.now());
				break;
			}

			case 'ledger': {
				// Claims concern nobody but the one who asked.
				break;
			}
		}

		planNudge();
	}));
	subscription.add(interval(housekeepingMilliseconds).subscribe(keepHouse));
	subscription.add(interval(joinMilliseconds).subscribe(members.askToJoin));

	/** Answers a request here or at the host that is believed to lead. */
	async function answerOnce(request: ControlRequest): Promise<ControlResponse> {
		const own = await leader.handle(request);
		return own.kind === 'notLeader' ? client.submit(request, forwardAttemptMilliseconds) : own;
	}

	/** Answers a request here or at the leader, also when an election is under way. */
	async function forward(request: ControlRequest): Promise<ControlResponse> {
		const until = performance.now() + settings.forwardMilliseconds;
		for (;;) {
			const answer = await answerOnce(request);
			const isAnswered = answer.kind !== 'notLeader' && answer.kind !== 'unknown';
			if (isAnswered || performance.now() > until) {
				return answer;
			}
		}
	}

	const api = (options.createApi ?? createApi)({
		operatorKey: security.operatorKey,
		submit: forward,
		getBurn(environment: Environment) {
			const current = machine.register.getCurrent(environment);
			return current.isJust ? burnBook?.getSummary(environment, current.value.document, Date.now()) : undefined;
		},
		getMetrics: metrics.getText,
		isReady: () => driver.replica.getLeader() !== undefined,
		getLeaderHost() {
			const leaderId = driver.replica.getLeader();
			return leaderId === undefined ? undefined : getHostName(leaderId);
		},
	});
	let unfinished = 0;
	const server: Server = createServer((request, response) => {
		unfinished++;
		response.once('close', () => {
			unfinished--;
		});
		void api(request, response);
	});
	const apiPort = await listen(server, {setting: 'api', ...settings.api});

	async function finishRequests(): Promise<void> {
		const until = performance.now() + settings.forwardMilliseconds + forwardAttemptMilliseconds;
		while (unfinished > 0 && performance.now() < until) {
			await delay(unfinishedCheckMilliseconds);
		}
	}

	log.info({replica: self, commitIndex: driver.replica.getCommitIndex()}, 'control host started');
	return Result.ok({
		apiPort,
		linksPort: listener.port,
		reload(next) {
			neighbourhood.setSeeds(getSeeds(next));
			members.link();
		},
		async stop() {
			await shutdown.prepare();
			subscription.unsubscribe();
			clearTimeout(nudge);
			const closed = new Promise(resolve => {
				server.close(resolve);
			});
			await finishRequests();
			// What is left are connections on which no request is under way.
			server.closeAllConnections();
			await closed;
			client.close();
			await listener.close();
			await driver.stop();
			folder.unlock();
			log.info({replica: self}, 'control host stopped');
		},
	});
}

async function loadBurnBook(): Promise<BurnRateTracker> {
	const {createBurnRateTracker: createBurnBook} = await import('../service-level/burn-rate-tracker.js');
	return createBurnBook();
}
