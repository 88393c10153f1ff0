/**
 * Which entry probes which server. An earlier leader may have granted duties for the servers that were registered then, so these are
 * granted only after its leases have ended.
 */
import {type RegisteredServer} from '../announcement/index.js';
import {type EnvironmentDocument} from '../configuration/index.js';
import {type Grant, type Renewal} from '../lease/index.js';
import {createProbeDuties, getProbeIntervalMilliseconds} from '../measuring/index.js';
import {type StateMachine} from './state-machine.js';

const millisecondsPerSecond = 1000;

/** Probe duties of one leader during one term. */
export type Probing = {
	/** Records a change of a server. */
	update(server: RegisteredServer): void;
	/** Enables the duties for the servers registered under an earlier leader, once that leader's leases have expired. */
	enableInherited(now: number): void;
	/** Sets the entries that probe: the live ones of production, or the given ones while production has none. */
	setProbers(production: readonly string[], liveEntries: readonly string[]): void;
	acknowledge(renewal: Renewal): void;
	expireLease(entry: string): void;
	/** Grants duties to an entry; none before there is a document. */
	grant(renewal: Renewal, document: EnvironmentDocument | undefined): Pick<Grant, 'duties' | 'probeMilliseconds'>;
	getProber(id: number): string | undefined;
	/** Gets the number of probes a second that the granted duties amount to. */
	getPlannedProbes(document: EnvironmentDocument | undefined): number;
};

/** Options of `createProbing`. */
export type ProbingOptions = {
	readonly startedAt: number;
	readonly termMilliseconds: number;
	readonly machine: StateMachine;
	/** Servers that were registered under an earlier leader. */
	readonly inheritedServers: ReadonlySet<number>;
};

/**
 * Creates the duties of a new leader.
 * @param options - Start, term and state machine.
 */
export function createProbing(options: ProbingOptions): Probing {
	const {startedAt, termMilliseconds, machine, inheritedServers} = options;
	const duties = createProbeDuties();
	let isInheritedEnabled = false;
	let probers: readonly string[] | undefined;

	function update(server: RegisteredServer): void {
		const isCurrent = machine.registry.getById(server.id).isJust;
		const isAllowed = isInheritedEnabled || !inheritedServers.has(server.id);
		if (isCurrent && isAllowed && server.state !== 'leaving') {
			duties.add(server.id);
		} else {
			duties.remove(server.id);
		}
	}

	function getInterval(document: EnvironmentDocument | undefined): number {
		return document === undefined ? Number.POSITIVE_INFINITY : getProbeIntervalMilliseconds(document.measuring, duties.getSize());
	}

	return {
		update,
		enableInherited(now) {
			if (isInheritedEnabled || now - startedAt < termMilliseconds) {
				return;
			}

			isInheritedEnabled = true;
			for (const server of machine.registry.getAll()) {
				update(server);
			}
		},
		setProbers(production, liveEntries) {
			const next = production.length > 0 ? production : liveEntries;
			if (next !== probers) {
				probers = next;
				duties.setProbers(next);
			}
		},
		acknowledge(renewal) {
			duties.acknowledge(renewal.entry, renewal.acknowledged, renewal.process);
		},
		expireLease: duties.expireLease,
		grant: (renewal, document) => ({
			duties: document === undefined ? [] : duties.grant(renewal.entry, renewal.sequence, renewal.process),
			probeMilliseconds: getInterval(document),
		}),
		getProber: duties.getProber,
		getPlannedProbes: document => duties.getHeldCount() * millisecondsPerSecond / getInterval(document),
	};
}
