/**
 * Messages of the entry lease. One renewal and one grant carry the right to
 * dispatch, the newest document, the servers, the permits for cold servers and the
 * probing duties.
 */
import {type Announcement, type ServerState} from '../announcement/index.js';
import {type DocumentUpdate, type Environment} from '../configuration/index.js';

/** What an entry saw of one cold or suspect server since its last renewal. */
export type Observation = {
	readonly server: number;
	readonly inFlight: number;
	readonly successes: number;
	readonly sheds: number;
	/** Whether the entry saw a warm server behave like a cold one. */
	readonly isCold: boolean;
};

/** Crashes that requests with one fingerprint caused. */
export type CrashCount = {readonly fingerprint: string; readonly crashes: number};

/** Place of an entry for its peers. */
export type PeerAddress = {readonly name: string; readonly host: string; readonly port: number};

/** A request for a lease. */
export type Renewal = {
	readonly kind: 'renewal';
	readonly entry: string;
	readonly environment: Environment;
	readonly sequence: number;
	/** Sequence of the newest grant that is in force in the entry. */
	readonly acknowledged: number;
	/** Version of the document in force in the entry, 0 before the first. */
	readonly version: number;
	readonly epoch: number;
	readonly revision: number;
	/** Revision of the peers that the entry knows, 0 before the first. */
	readonly peersRevision: number;
	readonly observations: readonly Observation[];
	readonly failedProbes: readonly number[];
	/** Servers that announced themselves at the entry, unchanged, since its last renewal. */
	readonly heard: readonly number[];
	readonly crashes: readonly CrashCount[];
	readonly peer: PeerAddress | undefined;
	/** Whether the entry is stopping and hands everything back. */
	readonly isFinal: boolean;
};

/** A server as entries see it. */
export type ServerView = {
	readonly id: number;
	readonly announcement: Announcement;
	readonly state: ServerState;
	/** Whether the server has been silent or fails its probes. */
	readonly isAbsent: boolean;
	readonly isRemoved: boolean;
};

/** Slots of one cold server that an entry may use, or requests a second where its rate is bounded. */
export type Permit = {readonly server: number; readonly slots: number; readonly requestsPerSecond?: number};

/** A confirmed lease. */
export type Grant = {
	readonly kind: 'grant';
	readonly sequence: number;
	readonly termMilliseconds: number;
	/** Consensus term of the leader; servers' revisions count within it. */
	readonly epoch: number;
	readonly revision: number;
	/** Whether `servers` is the whole list rather than the changes since the renewal's revision. */
	readonly isWhole: boolean;
	readonly servers: readonly ServerView[];
	readonly version: number;
	/** What leads from the renewal's version to `version`, or undefined when they are the same. */
	readonly document: DocumentUpdate | undefined;
	readonly permits: readonly Permit[];
	readonly duties: readonly number[];
	readonly probeMilliseconds: number;
	readonly quarantined: readonly string[];
	/** Zones that operators took out of service, whatever the document says. */
	readonly zonesOut: readonly string[];
	/** Entries of the environment that hold a lease, this one included. */
	readonly entries: number;
	/** Revision of the peers; counts within the epoch. */
	readonly peersRevision: number;
	/** Other entries, or undefined when they are the same as in the renewal's revision. */
	readonly peers: readonly PeerAddress[] | undefined;
};

/** Answer of a control host that cannot grant a lease. */
export type Refusal = {
	readonly kind: 'refusal';
	readonly sequence: number;
	/** Name of the control host that leads, if known. */
	readonly leader: string | undefined;
};

/** Tells entries at once which fingerprints are refused, ahead of their next grant. */
export type QuarantineNotice = {readonly kind: 'quarantined'; readonly fingerprints: readonly string[]};

/** Tells entries to renew at once, because something changed. */
export type Nudge = {readonly kind: 'nudge'};
