/** The replicated state machine of the control hosts: configuration, registry and ledger. */
import {
	createRegistry, type RegisteredServer, type Registry, type RegistryCommand, type RegistryImage,
} from '../announcement/index.js';
import {
	createRegister, type ConfigurationAnswer, type ConfigurationCommand, type Register, type RegisterImage,
} from '../configuration/index.js';
import {
	createLedger, type Ledger, type LedgerAnswer, type LedgerCommand, type LedgerImage, type LedgerLimits,
} from '../ledger/index.js';

/** A command of the replicated state machine. */
export type Command
	= | {readonly area: 'configuration'; readonly command: ConfigurationCommand}
		| {readonly area: 'registry'; readonly command: RegistryCommand}
		| {readonly area: 'ledger'; readonly command: LedgerCommand};

/** Answer of the state machine to a command. */
export type CommandAnswer
	= | {readonly area: 'configuration'; readonly answer: ConfigurationAnswer}
		| {readonly area: 'registry'; readonly changed: readonly RegisteredServer[]}
		| {readonly area: 'ledger'; readonly answer: LedgerAnswer};

/** Contents of the state machine, for snapshots. */
export type MachineImage = {
	readonly register: RegisterImage;
	readonly registry: RegistryImage;
	readonly ledger: LedgerImage;
};

/** The replicated state machine. */
export type Machine = {
	readonly register: Register;
	readonly registry: Registry;
	readonly ledger: Ledger;
	apply(command: Command): CommandAnswer;
	getImage(): MachineImage;
	restore(image: MachineImage): void;
};

/**
 * Creates an empty state machine.
 * @param limits - Bounds of the ledger; the same on every control host.
 */
export function createMachine(limits: LedgerLimits): Machine {
	const register = createRegister();
	const registry = createRegistry();
	const ledger = createLedger(limits);
	return {
		register,
		registry,
		ledger,
		apply(command) {
			switch (command.area) {
				case 'configuration': {
					return {area: 'configuration', answer: register.apply(command.command)};
				}

				case 'registry': {
					return {area: 'registry', changed: registry.apply(command.command)};
				}

				case 'ledger': {
					return {area: 'ledger', answer: ledger.apply(command.command)};
				}
			}
		},
		getImage: () => ({
			register: register.getImage(),
			registry: registry.getImage(),
			ledger: ledger.getImage(),
		}),
		restore(image) {
			register.restore(image.register);
			registry.restore(image.registry);
			ledger.restore(image.ledger);
		},
	};
}
