/** Finds the control hosts and entries that statements refer to, and kills, freezes, stops and restarts their processes. */
import {setTimeout as delay} from 'node:timers/promises';
import {isRunning, type Cluster, type Member} from '../stand-in/cluster.js';
import {waitUntil} from '../stand-in/wait.js';
import {type Violation} from './history.js';
import {type Statement, type Target} from './statement.js';

/** Time after its start within which a process must be ready, in milliseconds. */
export const startTimeoutMilliseconds = 20_000;

type ProcessStatement = Extract<Statement, {readonly kind: 'process'}>;

/** Controls the processes of a scenario. */
export type ProcessController = {
	/** Finds the processes that a target refers to. Waits for a leader if the target is the leader. */
	findMembers(target: Target): Promise<readonly Member[]>;
	/** Runs a statement on all processes that it refers to. */
	run(statement: ProcessStatement): Promise<void>;
};

/** Options of `createProcessController`. */
export type ProcessControllerOptions = {
	getCluster(): Cluster;
	/** Checks whether an entry is ready. */
	isReady(name: string): boolean;
	/** Called after a process was killed or stopped. */
	onExit(name: string): void;
	recordViolation(violation: Violation): void;
};

/**
 * Creates a controller.
 * @param options - Cluster, readiness of its entries, and callbacks.
 */
export function createProcessController(options: ProcessControllerOptions): ProcessController {
	const {getCluster} = options;

	async function findLeader(): Promise<Member> {
		const {controls} = getCluster();
		let leader: Member | undefined;
		await waitUntil('there is a leader', startTimeoutMilliseconds, async () => {
			const status = await getCluster().getStatus();
			leader = controls.find(member => member.name === status?.leader);
			return leader !== undefined;
		});
		return leader!;
	}

	async function findMembers(target: Target): Promise<readonly Member[]> {
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
		options.onExit(member.name);
	}

	async function stop(member: Member): Promise<void> {
		getCluster().signal(member, 'SIGTERM');
		const code = await getCluster().waitForExit(member);
		options.onExit(member.name);
		if (code !== 0) {
			options.recordViolation(`${member.name} exited with code ${code ?? 'none'} after SIGTERM; the expected code is 0`);
		}
	}

	/** Restarts a process. If it still runs, it is stopped gracefully first. */
	async function restart(member: Member, downMilliseconds: number): Promise<void> {
		if (isRunning(member)) {
			await stop(member);
		}

		await delay(downMilliseconds);
		await getCluster().start(member, false);
		if (member.kind === 'entry') {
			await waitUntil(`${member.name} is ready`, startTimeoutMilliseconds, async () => options.isReady(member.name));
		}
	}

	async function runOnMember(statement: ProcessStatement, member: Member): Promise<void> {
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

	/**
	 * Checks whether a statement runs on all of its processes at the same time. Control hosts can be restarted together
	 * because they coordinate their planned stops; entries do not, and are restarted one after the other.
	 */
	function isConcurrent({verb, target}: ProcessStatement): boolean {
		return verb === 'kill' || verb === 'freeze' || verb === 'thaw' || (verb === 'restart' && target.kind === 'allControl');
	}

	return {
		findMembers,
		async run(statement) {
			const members = await findMembers(statement.target);
			if (isConcurrent(statement)) {
				await Promise.all(members.map(async member => runOnMember(statement, member)));
				return;
			}

			for (const member of members) {
				await runOnMember(statement, member);
			}
		},
	};
}
