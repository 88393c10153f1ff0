/** What the keeper of an entry's lease needs from the other parts of the entry. */
import {type Environment, type EnvironmentDocument} from '../../configuration/index.js';
import {type ControlClient} from '../../control-client/index.js';
import {
	type CrashReport, type EarlierState, type Grant, type Observation, type PeerAddress, type Permit, type QuotaReport, type SlackReport,
} from '../../lease/index.js';

/** Options of `keepLease`. */
export type LeaseKeeperOptions = {
	readonly entry: string;
	readonly environment: Environment;
	readonly renewMilliseconds: number;
	/** Address on which other entries reach this one; undefined if it exchanges no counts. */
	readonly peer: PeerAddress | undefined;
	getClient(): ControlClient;
	/** Counts the time for which the host was suspended. Called before a renewal is sent and before a grant is judged. */
	observeSuspension?(): void;
	takeObservations(): readonly Observation[];
	/** Gets the permits for cold servers that the entry holds. */
	getPermits(): readonly Permit[];
	/** Gets the report on the part of the slack that entries share, if they share one. */
	getSlackReport?(now: number): SlackReport | undefined;
	/** Gets the reports on the tokens of quotas, if the document has any. */
	getQuotaReports?(renewal: {readonly sequence: number; readonly isFinal: boolean}, now: number): readonly QuotaReport[] | undefined;
	/** Checks whether a new leader has to learn of tokens that the entry holds. */
	isQuotaReportOwed?(): boolean;
	takeFailedProbes(): readonly number[];
	takeUnchangedServers(): readonly number[];
	/** Gets the crashes that were reported lately. */
	getCrashReports(): readonly CrashReport[];
	/** Gets what the entry keeps from earlier leaders, or undefined once the current one knows it. */
	getEarlierState(): EarlierState | undefined;
	/** Applies a grant of a control host, with its document if the grant carries a new version. Runs before the grant is acknowledged. */
	applyGrant(grant: Grant, document: EnvironmentDocument | undefined, host: string): void;
	/** Replaces the fingerprints of quarantined requests. */
	setQuarantined(fingerprints: readonly string[]): void;
};
