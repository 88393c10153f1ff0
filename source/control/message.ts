/** Messages between control hosts, and between entries and control hosts. */
import {type Announcement, type ServerKey} from '../announcement/index.js';
import {
	type ConfigurationAnswer, type ConfigurationCommand, type Environment, type Version,
} from '../configuration/index.js';
import {type ReplicaMessage} from '../consensus/index.js';
import {
	type Grant, type Nudge, type QuarantineNotice, type Refusal, type Renewal,
} from '../lease/index.js';
import {type LedgerResult, type LedgerCommand} from '../ledger/index.js';
import {type BurnReport} from '../service-level/index.js';
import {type SnapshotPart} from './snapshot-transfer.js';

/** Something that only the leader can answer. */
export type ControlRequest
	= | {readonly kind: 'announce'; readonly announcement: Announcement}
		| {readonly kind: 'configure'; readonly command: ConfigurationCommand}
		| {readonly kind: 'ledger'; readonly command: LedgerCommand}
	/** A server leaves for good, by its name and the time of its boot. */
		| {readonly kind: 'leave'; readonly name: string; readonly bornAt: number | undefined}
		| {readonly kind: 'moveZone'; readonly zone: string; readonly isOut: boolean}
		| {readonly kind: 'drain'; readonly key: ServerKey}
		| {readonly kind: 'crash'; readonly fingerprint: string; readonly server: number}
		| {readonly kind: 'clearCrashes'; readonly fingerprint: string}
		| {readonly kind: 'readVersion'; readonly environment: Environment}
		| {readonly kind: 'readHistory'; readonly environment: Environment}
		| {readonly kind: 'readInForce'; readonly environment: Environment; readonly version: number}
		| {readonly kind: 'readStatus'};

/** The leader's answer to a request. */
export type ControlResponse
	= | {readonly kind: 'announced'; readonly state: string}
		| {readonly kind: 'configured'; readonly answer: ConfigurationAnswer}
		| {readonly kind: 'ledger'; readonly answer: LedgerResult}
		| {readonly kind: 'drained'; readonly isKnown: boolean}
		| {readonly kind: 'left'}
		| {readonly kind: 'zoneMoved'}
		| {readonly kind: 'crashes'; readonly count: number}
		| {readonly kind: 'version'; readonly version: Version | undefined}
		| {readonly kind: 'history'; readonly versions: readonly Version[]}
		| {readonly kind: 'inForce'; readonly isInForce: boolean}
		| {readonly kind: 'status'; readonly status: ClusterStatus}
		| {readonly kind: 'notLeader'; readonly leader: string | undefined}
	/** The request may or may not have taken effect. */
		| {readonly kind: 'unknown'};

/** A control host in the status. */
export type ReplicaStatus = {
	readonly replica: string;
	readonly role: 'leader' | 'voter' | 'learner';
	readonly matchIndex: number;
	/** Time since the replica last answered the leader in milliseconds. */
	readonly silentMilliseconds: number;
};

/** An entry in the status. */
export type EntryStatus = {
	readonly entry: string;
	readonly environment: string;
	readonly version: number;
	/** Time until the lease ends in milliseconds; negative when it has ended. */
	readonly leaseMilliseconds: number;
};

/** A server in the status. */
export type ServerStatus = {
	readonly key: ServerKey;
	readonly id: number;
	readonly zone: string;
	readonly state: string;
	readonly isAbsent: boolean;
	readonly slots: number;
	/** Slots that a cold server can carry, and those that entries hold; undefined for others. */
	readonly permits: {readonly capacity: number; readonly held: number} | undefined;
	readonly prober: string | undefined;
};

/** What `guavadeck status` shows. */
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
	/** Probes a second that the duties in force may cost, and the budget. */
	readonly measuring: {readonly planned: number; readonly budget: number};
};

/** A request with the id that its reply carries. */
export type RequestMessage = {readonly kind: 'request'; readonly id: number; readonly request: ControlRequest};

/** The reply to a request. */
export type ReplyMessage = {readonly kind: 'reply'; readonly id: number; readonly answer: ControlResponse};

/** A message of the replicated log. */
export type ConsensusMessage = {readonly kind: 'consensus'; readonly from: string; readonly to: string; readonly message: ReplicaMessage};

/** Asks to take part in the replicated log. */
export type JoinMessage = {readonly kind: 'join'; readonly replica: string};

/** What a control host is about to do: serve on, stop as soon as the others can spare it, or stop now. */
export type Availability = 'serving' | 'asking' | 'stopping';

/** Tells the other control hosts what this one is about to do. */
export type AvailabilityMessage = {readonly kind: 'availability'; readonly replica: string; readonly availability: Availability};

/** Tells whoever connects which control hosts there are, and which one leads. */
export type Directory = {
	readonly kind: 'directory';
	/** Names of the members' hosts. */
	readonly hosts: readonly string[];
	/** Index in the log of the membership that names them; a higher one is newer. */
	readonly index: number;
	readonly leader: string | undefined;
};

/** A message that a control host receives. */
export type ControlInbound = ConsensusMessage | SnapshotPart | JoinMessage | AvailabilityMessage | Renewal | RequestMessage | BurnReport;

/** A message that a control host sends on a link that it accepted. */
export type ControlOutbound = ReplyMessage | Grant | Refusal | Nudge | QuarantineNotice | Directory;

export {type BurnSummary} from '../service-level/index.js';
