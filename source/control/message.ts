/** Messages between control hosts, and between entries and control hosts. */
import {type Announcement, type ServerKey} from '../announcement/index.js';
import {
	type ConfigurationCommand, type ConfigurationResult, type Environment, type Version,
} from '../configuration/index.js';
import {type ReplicaMessage} from '../consensus/index.js';
import {
	type Grant, type Nudge, type QuarantineNotice, type QuotaReport, type Refusal, type Renewal,
} from '../lease/index.js';
import {type LedgerResult, type LedgerCommand} from '../ledger/index.js';
import {type BurnReport} from '../service-level/index.js';
import {type SnapshotPart} from './snapshot-transfer.js';

/** Request that only the leader can answer. */
export type ControlRequest
	= | {readonly kind: 'announce'; readonly announcement: Announcement}
		| {readonly kind: 'configure'; readonly command: ConfigurationCommand}
		| {readonly kind: 'ledger'; readonly command: LedgerCommand}
	/**
	 * Permanently removes a server, which is identified by its name and boot time. A call without a boot time is bound to the boot that
	 * the host knew, which hosts of earlier releases do not send.
	 */
		| {readonly kind: 'leave'; readonly name: string; readonly bornAt: number | undefined; readonly known?: {readonly boot: string | undefined}}
	/** Reads the revision of the zones that are out of service. */
		| {readonly kind: 'readZones'}
	/**
	 * Takes a zone out of service or puts it back, if it was not ordered since the given revision of the zones. The order is confirmed if
	 * its sender has sent it again together with this revision. Hosts of earlier releases send neither a revision nor the id of the order.
	 */
		| {readonly kind: 'moveZone'; readonly zone: string; readonly isOut: boolean; readonly revision?: number; readonly isConfirmed?: boolean; readonly order?: string}
	/** Drains a server if it still has the given boot; hosts of earlier releases send none. */
		| {readonly kind: 'drain'; readonly key: ServerKey; readonly boot?: string}
		| {readonly kind: 'crash'; readonly fingerprint: string; readonly server: number}
		| {readonly kind: 'clearCrashes'; readonly fingerprint: string}
		| {readonly kind: 'readVersion'; readonly environment: Environment}
		| {readonly kind: 'readHistory'; readonly environment: Environment}
		| {readonly kind: 'readInForce'; readonly environment: Environment; readonly version: number}
		| {readonly kind: 'readStatus'}
		| QuotaQuestion;

/** Question of an entry's process for tokens of a workspace, sent when requests wait for them. Asked twice, it lends nothing more. */
export type QuotaQuestion = {
	readonly kind: 'quota';
	readonly environment: Environment;
	readonly process: string;
	/** Newest consensus term that the process knows. A leader of an earlier one must not answer. */
	readonly epoch: number;
	readonly report: QuotaReport;
	readonly waiting: number;
	/** Requests that were refused since the last question. */
	readonly refused: number;
};

/** Response to a request. */
export type ControlResponse
	= | {readonly kind: 'announced'; readonly state: string}
		| {readonly kind: 'configured'; readonly answer: ConfigurationResult}
	/** The command would be stored as another one than it is, so it was not proposed. */
		| {readonly kind: 'notStorable'}
		| {readonly kind: 'ledger'; readonly answer: LedgerResult}
		| {readonly kind: 'drained'; readonly isKnown: boolean}
		| {readonly kind: 'left'}
	/** Another boot of the server is registered than the one that the call is bound to. */
		| {readonly kind: 'serverChanged'}
		| {readonly kind: 'zones'; readonly revision: number}
		| {readonly kind: 'zoneMoved'}
	/** The zone was ordered since the given revision, or is being changed. */
		| {readonly kind: 'zonesChanged'}
	/** A later order may have overtaken this one, so its sender must confirm it. */
		| {readonly kind: 'zoneUnconfirmed'}
		| {readonly kind: 'crashes'; readonly count: number}
		| {readonly kind: 'version'; readonly version: Version | undefined}
		| {readonly kind: 'history'; readonly versions: readonly Version[]}
		| {readonly kind: 'inForce'; readonly isInForce: boolean}
		| {readonly kind: 'status'; readonly status: ClusterStatus}
		| {readonly kind: 'quota'; readonly epoch: number; readonly granted: number; readonly total: number; readonly held: number; readonly retryMilliseconds: number}
		| {readonly kind: 'notLeader'; readonly leader: string | undefined}
	/** It is not known whether the request has taken effect. */
		| {readonly kind: 'unknown'};

/** Status of a control host. */
export type ReplicaStatus = {
	readonly replica: string;
	readonly role: 'leader' | 'voter' | 'learner';
	readonly matchIndex: number;
	/** Time since the last response of the replica to the leader, in milliseconds; at least a minute if it has not responded to this leader. */
	readonly silentMilliseconds: number;
};

/** Status of an entry. */
export type EntryStatus = {
	readonly entry: string;
	readonly environment: string;
	readonly version: number;
	/** Time until the lease expires, in milliseconds; negative if it has expired. */
	readonly leaseMilliseconds: number;
};

/** Status of a server. */
export type ServerStatus = {
	readonly key: ServerKey;
	readonly id: number;
	/** Id that the server generated when it started. */
	readonly boot: string;
	readonly zone: string;
	readonly state: string;
	readonly isAbsent: boolean;
	readonly slots: number;
	/** Slots of a cold server that can be granted, and those that entries hold; undefined where permits grant no slots. */
	readonly permits: {readonly capacity: number; readonly held: number} | undefined;
	readonly prober: string | undefined;
};

/** Status of the cluster, as printed by `guavadeck status`. */
export type ClusterStatus = {
	readonly leader: string;
	readonly term: number;
	readonly commitIndex: number;
	readonly versions: {readonly trial: number; readonly production: number};
	readonly replicas: readonly ReplicaStatus[];
	readonly entries: readonly EntryStatus[];
	readonly servers: readonly ServerStatus[];
	readonly claims: number;
	readonly quarantined: readonly string[];
	/** Probes per second planned for the current duties, and the configured budget. */
	readonly measuring: {readonly planned: number; readonly budget: number};
};

/** Request with the id that its reply repeats. */
export type RequestMessage = {readonly kind: 'request'; readonly id: number; readonly request: ControlRequest};

/** Reply to a request. */
export type ReplyMessage = {readonly kind: 'reply'; readonly id: number; readonly answer: ControlResponse};

/** Consensus message between replicas. */
export type ConsensusMessage = {readonly kind: 'consensus'; readonly from: string; readonly to: string; readonly message: ReplicaMessage};

/** Request of a replica to join the replicated log. */
export type JoinMessage = {readonly kind: 'join'; readonly replica: string};

/** Availability of a control host: it serves, waits until the other voters form a quorum so that it can stop, or is stopping. */
export type Availability = 'serving' | 'asking' | 'stopping';

/** Announces the availability of a control host to the others, or answers the announcement of one that asks to stop. */
export type AvailabilityMessage = {readonly kind: 'availability'; readonly replica: string; readonly availability: Availability; readonly isAnswer?: true};

/** Informs connected processes of the control hosts and the leader. */
export type Directory = {
	readonly kind: 'directory';
	/** Names of the control hosts that are members of the replicated log. */
	readonly hosts: readonly string[];
	/** Log index of the membership entry; a higher index is newer. */
	readonly index: number;
	readonly leader: string | undefined;
};

/** Message that a control host receives. */
export type ControlInbound = ConsensusMessage | SnapshotPart | JoinMessage | AvailabilityMessage | Renewal | RequestMessage | BurnReport;

/** Message that a control host sends on a link that it accepted. */
export type ControlOutbound = ReplyMessage | Grant | Refusal | Nudge | QuarantineNotice | Directory;

export {type BurnSummary} from '../service-level/index.js';
