/** Kills, freezes, stops and restarts the processes of a scenario. */
import {setTimeout as delay} from 'node:timers/promises';
import {isRunning, type Cluster, type Member} from '../stand-in/cluster.js';
import {waitUntil} from '../stand-in/wait.js';
import {type Violation} from './history.js';
import {type Statement, type Target} from './statement.js';

/** Longest time until a process serves, in milliseconds. */
export const startLimitMilliseconds = 20_000;

type ProcessStatement = Extract<Statement, {readonly kind: 'process'}>;

/** The processes of a scenario. */
export type Processes = {
	find(target: Target): Promise<readonly Member[]>;
	/** Does what a statement says to all of its processes. */
	run(statement: ProcessStatement): Promise<void>;
};

/** What processes need of a scenario. */
export type ProcessesOptions = {
	getCluster(): Cluster;
	isReady(entry: string): boolean;
	/** Notes that an entry has ended. */
	ended(entry: string): void;
	violate(violation: Violation): void;
};

/**
 * Creates the processes of a scenario.
 * @param options - System, and what its entries are known to be.
 */
export function createProcesses(options: ProcessesOptions): Processes {
	const {getCluster} = options;

	async function findLeader(): Promise<Member> {
		const {controls} = getCluster();
		let found: Member | undefined;
		await waitUntil('there is a leader', startLimitMilliseconds, async () => {
			const status = await getCluster().getStatus();
			found = controls.find(member => member.name === status?.leader);
			return found !== undefined;
		});
		return found!;
	}

	async function find(target: Target): Promise<readonly Member[]> {
		const {controls, entries} = getCluster();
		switch (target.kind) {
			case 'allControl': {
				return controls;
			}

			case 'allEntries': {
				return entries;
			}

			case 'control': {
				return [controls[target.number - 1]!];
			}

			case 'entry': {
				return [entries[target.number - 1]!];
			}

			case 'leader': {
				return [await findLeader()];
			}
		}
	}

	async function kill(member: Member): Promise<void> {
		getCluster().signal(member, 'SIGKILL');
		await getCluster().waitForExit(member);
		options.ended(member.name);
	}

	async function stop(member: Member): Promise<void> {
		getCluster().signal(member, 'SIGTERM');
		const code = await getCluster().waitForExit(member);
		options.ended(member.name);
		if (code !== 0) {
			options.violate(`${member.name} ended a graceful stop with code ${code ?? 'none'}`);
		}
	}

	/** Starts a process again; one that still runs is stopped gracefully first. */
	async function restart(member: Member, downMilliseconds: number): Promise<void> {
		if (isRunning(member)) {
			await stop(member);
		}

		await delay(downMilliseconds);
		await getCluster().start(member, false);
		if (member.kind === 'entry') {
			await waitUntil(`${member.name} is ready`, startLimitMilliseconds, async () => options.isReady(member.name));
		}
	}

	async function runOn(statement: ProcessStatement, member: Member): Promise<void> {
		switch (statement.verb) {
			case 'kill': {
				await kill(member);
				return;
			}

			case 'freeze': {
				getCluster().signal(member, 'SIGSTOP');
				return;
			}

			case 'thaw': {
				getCluster().signal(member, 'SIGCONT');
				return;
			}

			case 'lose': {
				await kill(member);
				getCluster().deleteData(member);
				return;
			}

			case 'restart': {
				await restart(member, statement.downMilliseconds);
				return;
			}

			case 'stop': {
				await stop(member);
			}
		}
	}

	/** Control hosts wait for each other when they restart; entries are restarted one by one. */
	function isTogether({verb, target}: ProcessStatement): boolean {
		return verb === 'kill' || verb === 'freeze' || verb === 'thaw' || (verb === 'restart' && target.kind === 'allControl');
	}

	return {
		find,
		async run(statement) {
			const members = await find(statement.target);
			if (isTogether(statement)) {
				await Promise.all(members.map(async member => runOn(statement, member)));
				return;
			}

			for (const member of members) {
				await runOn(statement, member);
			}
		},
	};
}
