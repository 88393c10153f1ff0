/** The registry commands that a leader proposes by itself: servers that have cooled, have become warm, or are gone. */
import {type RegistryCommand} from '../announcement/index.js';
import {type ColdServers} from './cold-servers.js';
import {type ServerPresence} from './server-presence.js';
import {type StateMachine} from './state-machine.js';

/** Time without an announcement after which a server is removed from the registry, in milliseconds. */
export const removalTimeoutMilliseconds = 600_000;

/** Time without an announcement after which a leaving server is removed from the registry, in milliseconds. */
const leavingRemovalTimeoutMilliseconds = 60_000;

/** Commands that are due. */
export type DueCommands = {
	/** Gets the commands that are due, except those proposed within the last lease term, which may not be committed yet. */
	take(now: number): readonly RegistryCommand[];
	/** Records that a server changed, so that the next command for it is proposed at once. */
	recordChange(id: number): void;
};

/** Options of `createDueCommands`. */
export type DueCommandsOptions = {
	readonly termMilliseconds: number;
	readonly machine: StateMachine;
	readonly presence: ServerPresence;
	readonly coldServers: ColdServers;
	/** Gets the wall-clock time in milliseconds. */
	getWallClock(): number;
};

/**
 * Creates due commands of which none was proposed.
 * @param options - Term, state machine and servers.
 */
export function createDueCommands(options: DueCommandsOptions): DueCommands {
	const {termMilliseconds, machine, presence, coldServers, getWallClock} = options;
	const proposedAt = new Map<number, number>();

	function getDueCommands(now: number): readonly RegistryCommand[] {
		const at = getWallClock();
		const commands: RegistryCommand[] = coldServers.getCooled().map(id => ({kind: 'cooled', id, at}));
		for (const id of coldServers.getWarmed(now)) {
			commands.push({kind: 'warmed', id, at});
		}

		for (const id of presence.getExpired(now)) {
			const isLeaving = machine.registry.getById(id).map(server => server.state === 'leaving').unwrapOr(false);
			if (presence.getSilenceMilliseconds(id, now) > (isLeaving ? leavingRemovalTimeoutMilliseconds : removalTimeoutMilliseconds)) {
				commands.push({kind: 'removed', id, at});
			}
		}

		return commands;
	}

	return {
		take(now) {
			const due = getDueCommands(now).filter(command => 'id' in command && now - (proposedAt.get(command.id) ?? Number.NEGATIVE_INFINITY) > termMilliseconds);
			for (const command of due) {
				if ('id' in command) {
					proposedAt.set(command.id, now);
				}
			}

			return due;
		},
		recordChange(id) {
			proposedAt.delete(id);
		},
	};
}
