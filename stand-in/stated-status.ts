/** What a stand-in server states about itself, by its behaviour. */
import {type Behaviour} from './behaviour.js';
import {type RequestOutcome, type StatedWithdrawal} from './request-record.js';
import {type StatusReport} from './responses.js';

/**
 * Gets the state that a server announces.
 * @param behaviour - Behaviour of the server.
 */
export function getAnnouncedState(behaviour: Behaviour): StatusReport['state'] {
	if (behaviour.isLeaving) {
		return 'leaving';
	}

	return behaviour.isCold ? 'cold' : 'warm';
}

/**
 * Gets the load that a server reports: the number of requests in flight, unless the behaviour sets another one.
 * @param behaviour - Behaviour of the server.
 * @param inFlight - Number of requests in flight.
 */
export function getReportedLoad(behaviour: Behaviour, inFlight: number): number {
	return behaviour.reportedLoad ?? inFlight;
}

/**
 * Gets the status that a server reports in its responses.
 * @param behaviour - Behaviour of the server.
 * @param inFlight - Number of requests in flight.
 */
export function getStatusReport(behaviour: Behaviour, inFlight: number): StatusReport {
	return {state: behaviour.statesLeaving ? 'leaving' : getAnnouncedState(behaviour), load: getReportedLoad(behaviour, inFlight)};
}

/**
 * Gets the withdrawal that the response to a request states; only a refusal asks for a pause.
 * @param behaviour - Behaviour of the server.
 * @param outcome - Outcome of the request.
 */
export function getStatedWithdrawal(behaviour: Behaviour, outcome: RequestOutcome): StatedWithdrawal | undefined {
	if (outcome === 'shed' && behaviour.pauseMilliseconds > 0) {
		return {kind: 'pause', milliseconds: behaviour.pauseMilliseconds};
	}

	return getStatusReport(behaviour, 0).state === 'leaving' ? {kind: 'leaving'} : undefined;
}
