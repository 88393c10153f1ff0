/** Waits for the states of servers and control hosts that a scenario expects. */
import {type Cluster} from '../stand-in/cluster.js';
import {waitUntil} from '../stand-in/wait.js';

/** Time without a message from a replica after which it counts as unresponsive, in milliseconds. */
const maximumSilenceMilliseconds = 300;

/**
 * Waits until every server is warm.
 * @param cluster - Running system.
 * @param milliseconds - Time after which the wait fails.
 */
export async function waitForWarmServers(cluster: Cluster, milliseconds: number): Promise<void> {
	await waitUntil('every server is warm', milliseconds, async () => {
		const status = await cluster.getStatus();
		return status?.servers.every(server => server.state === 'warm') ?? false;
	});
}

/** Options of `waitForMembers`. */
export type MembersExpectation = {readonly cluster: Cluster; readonly number: number; readonly milliseconds: number};

/**
 * Waits until there is exactly a number of replicas, all of them voters that respond.
 * @param expectation - Running system, number of replicas and time after which the wait fails.
 */
export async function waitForMembers({cluster, number, milliseconds}: MembersExpectation): Promise<void> {
	await waitUntil(`there are exactly ${number} replicas, all of them voters that respond`, milliseconds, async () => {
		const status = await cluster.getStatus();
		const replicas = status?.replicas ?? [];
		const responsive = replicas.filter(replica => replica.role !== 'learner' && replica.silentMilliseconds < maximumSilenceMilliseconds);
		return replicas.length === number && responsive.length === number;
	});
}
