/** Applies the grants of the control hosts to the parts of an entry: document, servers, permits, zones, peers and probing duties. */
import {performance} from 'node:perf_hooks';
import {type EnvironmentDocument} from '../../configuration/index.js';
import {type Grant, type LeaseHolder} from '../../lease/index.js';
import {type Random} from '../../randomness/index.js';
import {type QuotaTokens} from '../../quota/index.js';
import {type SlackPart} from '../../retry/index.js';
import {type Log} from '../../telemetry/index.js';
import {createWorkspaceIndex} from '../../workspace/index.js';
import {type CallerServer} from '../callers/index.js';
import {type CrashTracker} from '../crashes/index.js';
import {type EntryState} from '../entry-state.js';
import {type Fleet, type Prober, drainQueues} from '../fleet/index.js';
import {type Peers} from '../peers/index.js';
import {createRouter} from '../routing/index.js';
import {type EarlierStateKeeper} from './earlier-state.js';
import {type Readiness} from './readiness.js';
import {type ZoneView} from './zone-view.js';

/** Maximum number of changed servers that are named in one log line. */
const maximumLoggedServers = 40;

/** Parts of an entry that a grant changes. */
export type GrantTargets = {
	readonly state: EntryState;
	readonly fleet: Fleet;
	/** Part of the slack that entries share; undefined if they share none. */
	readonly slackPart: SlackPart | undefined;
	/** Tokens of quotas; undefined in tests without any. */
	readonly quotaTokens?: QuotaTokens | undefined;
	readonly zoneView: ZoneView;
	readonly prober: Prober;
	readonly crashTracker: CrashTracker;
	readonly earlierState: EarlierStateKeeper;
	/** Links to the other entries; undefined if the entry exchanges no counts. */
	readonly peers: Peers | undefined;
	readonly callerServer: Pick<CallerServer, 'applyLimits'>;
	readonly lease: LeaseHolder;
	readonly readiness: Pick<Readiness, 'mayUsePermits'>;
	readonly random: Random;
	readonly log: Log;
};

/** A grant as it was received. */
export type ReceivedGrant = {
	readonly grant: Grant;
	/** Document that the grant carries, if its version is new. */
	readonly document: EnvironmentDocument | undefined;
	/** Control host that sent the grant. */
	readonly host: string;
};

/**
 * Applies a grant.
 * @param targets - Parts of the entry.
 * @param received - Grant with its document and sender.
 */
export function applyGrant(targets: GrantTargets, received: ReceivedGrant): void {
	const {
		state, fleet, slackPart, quotaTokens, zoneView, prober, crashTracker, earlierState, peers, lease, readiness,
	} = targets;
	const {grant, document, host} = received;
	const kept = earlierState.record(grant, lease.getRenewedAt());
	if (document !== undefined) {
		applyDocument(targets, document, grant.version);
	}

	updateServers(targets, grant);
	fleet.markAbsent(kept?.absent ?? []);
	state.entryCount = Math.max(1, grant.entries, kept?.entries ?? 0);
	fleet.setZonesOutOfService(grant.zonesOut);
	zoneView.recordGrant(grant, host, lease.getRenewedAt());
	const mayUsePermits = readiness.mayUsePermits(lease.getRenewedAt());
	fleet.setPermits(mayUsePermits ? grant.permits : []);
	slackPart?.apply(mayUsePermits ? grant.slack : undefined);
	quotaTokens?.applyGrant(grant, {
		now: performance.now(), renewedAt: lease.getRenewedAt(), leaseEndsAt: lease.getExpiresAt(), mayUse: mayUsePermits,
	});
	state.aboveShare = grant.aboveShare === undefined ? state.aboveShare : new Set(grant.aboveShare);
	if (grant.peers !== undefined) {
		fleet.setConnectionShare(grant.peers.length + 1);
		peers?.setAddresses(grant.peers);
	}

	prober.schedule.assign(grant.duties, grant.probeMilliseconds, performance.now());
	crashTracker.setQuarantined([...grant.quarantined, ...kept?.quarantined ?? []]);
	drainQueues(fleet);
	if (document !== undefined) {
		state.documentChanges.next();
	}
}

function applyDocument(targets: GrantTargets, document: EnvironmentDocument, version: number): void {
	const {
		state, fleet, callerServer, random, log,
	} = targets;
	// Created before anything changes, so that a document that it cannot use changes nothing.
	const router = createRouter(document.services, document.routes, random);
	const workspaces = document.workspaces === undefined ? undefined : createWorkspaceIndex(document.workspaces);
	state.document = document;
	state.router = router;
	state.workspaces = workspaces;
	targets.quotaTokens?.setWorkspaces(document.workspaces ?? []);
	callerServer.applyLimits(document.clientLimits);
	fleet.setDocument(document);
	log.info({version}, 'document in force');
}

/** Applies the servers of a grant. An entry that lacks a listed server asks for the whole list again. */
function updateServers({fleet, lease, log}: GrantTargets, grant: Grant): void {
	const {listed, servers, isWhole} = grant;
	if (isWhole || servers.length > 0) {
		fleet.update(servers, isWhole);
		logServerChanges(log, grant);
	}

	if (listed === undefined) {
		return;
	}

	if (!fleet.retain(listed, servers)) {
		log.warn({epoch: grant.epoch, listed: listed.length, known: fleet.getSize()}, 'the list of servers is incomplete; asking for all of them');
		lease.forgetServers();
	}
}

/** Logs the servers that a grant changes, with its epoch and revision. A full list is logged only as its length. */
function logServerChanges(log: Log, grant: Grant): void {
	const {
		epoch, revision, isWhole, servers,
	} = grant;
	const changes = servers.slice(0, maximumLoggedServers).map(({announcement, state, isAbsent, isRemoved}) => `${announcement.name} ${isRemoved ? 'gone' : state}${isAbsent ? ', absent' : ''}`);
	log.info({
		epoch, revision, isWhole, servers: servers.length, changes: isWhole ? [] : changes,
	}, 'servers changed');
}
