/** Replicated state machine of the control hosts: configuration, server registry, zones out of service and ledger. */
import {
	createRegistry, type RegisteredServer, type Registry, type RegistryCommand, type RegistrySnapshot,
} from '../announcement/index.js';
import {
	createRegister, type ConfigurationCommand, type ConfigurationResult, type Register, type RegisterSnapshot,
} from '../configuration/index.js';
import {
	createLedger, type Ledger, type LedgerResult, type LedgerCommand, type LedgerSnapshot, type LedgerLimits,
} from '../ledger/index.js';
import {createZoneOrders, type ZoneOrders, type ZoneOrdersSnapshot} from './zone-orders.js';

/** Takes a zone out of service or puts it back, without a change of the configuration document. */
export type ZoneCommand = {
	readonly area: 'zones';
	readonly zone: string;
	readonly isOut: boolean;
	readonly at: number;
	/** Id of the order, for the logs; missing from hosts of earlier releases. */
	readonly order?: string;
	/** Name of the host that proposed the command, for the logs; missing from hosts of earlier releases. */
	readonly proposer?: string;
};

/** A command of the replicated state machine. */
export type Command
	= | {readonly area: 'configuration'; readonly command: ConfigurationCommand}
		| {readonly area: 'registry'; readonly command: RegistryCommand}
		| ZoneCommand
		| {readonly area: 'ledger'; readonly command: LedgerCommand};

/** Result of a command. */
export type CommandResult
	= | {readonly area: 'configuration'; readonly answer: ConfigurationResult}
		| {readonly area: 'registry'; readonly changed: readonly RegisteredServer[]}
		| {readonly area: 'zones'; readonly command: ZoneCommand; readonly changed: readonly RegisteredServer[]}
		| {readonly area: 'ledger'; readonly answer: LedgerResult};

/** Serializable snapshot of the state machine. */
export type StateMachineSnapshot = ZoneOrdersSnapshot & {
	readonly register: RegisterSnapshot;
	readonly registry: RegistrySnapshot;
	readonly ledger: LedgerSnapshot;
};

/** The replicated state machine. */
export type StateMachine = {
	readonly register: Register;
	readonly registry: Registry;
	readonly ledger: Ledger;
	readonly zoneOrders: Omit<ZoneOrders, 'apply' | 'restore'>;
	/** Gets the zones that operators took out of service, sorted by name. */
	getZonesOut(): readonly string[];
	/** Gets the index of the last command for a zone in the replicated log, or 0 if there was none. */
	getZonesRevision(): number;
	/**
	 * Applies a committed command.
	 * @param command - Committed command.
	 * @param index - Index of the command in the replicated log.
	 */
	apply(command: Command, index?: number): CommandResult;
	takeSnapshot(): StateMachineSnapshot;
	restore(snapshot: StateMachineSnapshot): void;
};

/**
 * Creates an empty state machine.
 * @param limits - Limits of the ledger; must be the same on every control host.
 */
export function createStateMachine(limits: LedgerLimits): StateMachine {
	const register = createRegister();
	const registry = createRegistry();
	const ledger = createLedger(limits);
	const zoneOrders = createZoneOrders();

	/**
	 * Takes a zone out of service or puts it back. The servers of a zone that is put back are marked cold, since they may have
	 * cooled down while the zone was out of service.
	 */
	function setZoneOut({zone, isOut, at}: ZoneCommand, index: number | undefined): readonly RegisteredServer[] {
		const isChanged = zoneOrders.apply({zone, isOut}, index);
		return isChanged && !isOut ? registry.apply({kind: 'zoneCooled', zone, at}, index) : [];
	}

	return {
		register,
		registry,
		ledger,
		zoneOrders,
		getZonesOut: zoneOrders.getZonesOut,
		getZonesRevision: zoneOrders.getRevision,
		apply(command, index) {
			switch (command.area) {
				case 'configuration': {
					return {area: 'configuration', answer: register.apply(command.command)};
				}

				case 'registry': {
					return {area: 'registry', changed: registry.apply(command.command, index)};
				}

				case 'zones': {
					return {area: 'zones', command, changed: setZoneOut(command, index)};
				}

				case 'ledger': {
					return {area: 'ledger', answer: ledger.apply(command.command)};
				}
			}
		},
		takeSnapshot: () => ({
			register: register.takeSnapshot(),
			registry: registry.takeSnapshot(),
			ledger: ledger.takeSnapshot(),
			...zoneOrders.takeSnapshot(),
		}),
		restore(snapshot) {
			register.restore(snapshot.register);
			registry.restore(snapshot.registry);
			ledger.restore(snapshot.ledger);
			zoneOrders.restore(snapshot);
		},
	};
}

const itemsPerPart = 2000;

/** One part of a split snapshot. */
type StateMachineSnapshotPart
	= | {readonly kind: 'head'; readonly image: StateMachineSnapshot}
		| {readonly kind: 'claims'; readonly claims: LedgerSnapshot['claims']}
		| {readonly kind: 'releases'; readonly releases: LedgerSnapshot['releases']};

/** Splits snapshots into parts with a bounded number of claims or releases, which make up most of a snapshot, and joins the parts again. */
export const stateMachineCodec = {
	/**
	 * Splits a snapshot.
	 * @param data - Snapshot of a state machine.
	 */
	* split(data: unknown): Iterable<StateMachineSnapshotPart> {
		const snapshot = data as StateMachineSnapshot;
		const {claims, releases} = snapshot.ledger;
		yield {kind: 'head', image: {...snapshot, ledger: {claims: [], releases: []}}};
		for (let from = 0; from < claims.length; from += itemsPerPart) {
			yield {kind: 'claims', claims: claims.slice(from, from + itemsPerPart)};
		}

		for (let from = 0; from < releases.length; from += itemsPerPart) {
			yield {kind: 'releases', releases: releases.slice(from, from + itemsPerPart)};
		}
	},
	/**
	 * Joins the parts of a snapshot.
	 * @param parts - Parts in the order in which `split` yielded them.
	 */
	join(parts: Iterable<unknown>): StateMachineSnapshot {
		const snapshotParts = [...parts] as readonly StateMachineSnapshotPart[];
		const head = snapshotParts.find(part => part.kind === 'head');
		if (head === undefined) {
			throw new Error('the snapshot has no part of kind "head"');
		}

		return {
			...head.image,
			ledger: {
				claims: snapshotParts.flatMap(part => part.kind === 'claims' ? part.claims : []),
				releases: snapshotParts.flatMap(part => part.kind === 'releases' ? part.releases : []),
			},
		};
	},
};
