/** Ends an entry for its callers: accepts connections for a while, and completes the requests in flight. */
import {setTimeout as delay} from 'node:timers/promises';
import {type EntrySettings} from '../settings/index.js';
import {type CallerServer} from './callers/index.js';
import {type Claims} from './requests/index.js';
import {type Readiness} from './lease/index.js';
import {type EntryState} from './entry-state.js';

const millisecondsPerSecond = 1000;
const drainPollIntervalMilliseconds = 20;

/** Share of the time until the process is killed in which a stopping entry accepts connections. */
const acceptShare = 0.5;

/** Parts of an entry that hold callers' requests. */
export type DrainedParts = {
	readonly settings: EntrySettings;
	readonly state: EntryState;
	readonly readiness: Readiness;
	readonly callerServer: CallerServer;
	readonly claims: Claims;
};

/**
 * Stops to accept requests, and resolves when all requests in flight are complete.
 * @param parts - Parts of the entry.
 */
export async function drainCallers(parts: DrainedParts): Promise<void> {
	const {
		settings, state, readiness, callerServer: {server},
	} = parts;
	state.isDraining = true;
	readiness.logChange();
	await delay(getAcceptMilliseconds(settings));
	const closed = new Promise(resolve => {
		server.close(resolve);
	});
	await waitForOpenRequests(parts);
	// The remaining connections have no request in progress.
	server.closeAllConnections();
	await closed;
}

/** Gets the time for which a stopping entry goes on accepting connections. */
function getAcceptMilliseconds({graceMilliseconds, stopSeconds}: EntrySettings): number {
	return stopSeconds === undefined ? graceMilliseconds : Math.min(graceMilliseconds, stopSeconds * millisecondsPerSecond * acceptShare);
}

async function waitForOpenRequests({state, callerServer: {connections}, claims}: DrainedParts): Promise<void> {
	while (state.inFlight > 0 || connections.getOpenCount() > 0 || claims.getUnsettledCount() > 0) {
		await delay(drainPollIntervalMilliseconds);
	}
}
