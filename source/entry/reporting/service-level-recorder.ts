/** Counts the requests of an entry against the service levels, and reports the counts to the control hosts. */
import {type Service} from '../../configuration/index.js';
import {type ControlClient} from '../../control-client/index.js';
import {type ServiceLevelCounter} from '../../service-level/counter.js';
import {periodMilliseconds} from '../../service-level/report.js';
import {type EntrySettings} from '../../settings/index.js';
import {type Verdict} from '../../verdict/index.js';

/** Records the service levels of an entry. */
export type ServiceLevelRecorder = {
	/** Counts a request that has ended, unless the caller caused its refusal. */
	record(service: Service, verdict: Verdict, milliseconds: number): void;
	/** Sends the counts since the last report to the control hosts. */
	report(client: ControlClient): void;
};

/**
 * Creates a recorder, which counts nothing if the settings leave service levels out.
 * @param settings - Settings of the entry.
 */
export async function createServiceLevelRecorder(settings: EntrySettings): Promise<ServiceLevelRecorder> {
	const counter = settings.serviceLevels ? await loadServiceLevelCounter(settings) : undefined;
	return {
		record(service, verdict, milliseconds) {
			if (!isCausedByCaller(verdict)) {
				counter?.record(service.name, milliseconds, isFailure(verdict), milliseconds > service.objective.latencyMilliseconds);
			}
		},
		report(client) {
			if (counter !== undefined) {
				client.broadcast(counter.takeReport(Math.floor(Date.now() / periodMilliseconds) * periodMilliseconds));
			}
		},
	};
}

/** Loads the service level counter only if service levels are counted, since its histograms take memory. */
async function loadServiceLevelCounter(settings: EntrySettings): Promise<ServiceLevelCounter> {
	const {createServiceLevelCounter} = await import('../../service-level/counter.js');
	return createServiceLevelCounter(settings.name, settings.environment);
}

function isFailure(verdict: Verdict): boolean {
	return verdict.kind === 'ran' ? verdict.status >= 500 : true;
}

/** Checks whether the caller caused a refusal, so that it does not count against the service level. */
function isCausedByCaller(verdict: Verdict): boolean {
	if (verdict.kind === 'ran') {
		return false;
	}

	switch (verdict.reason) {
		case 'already-ran':
		case 'bad-request':
		case 'body-too-large':
		case 'caller-left':
		case 'headers-too-large':
		case 'in-progress':
		case 'key-mismatch':
		case 'quota':
		case 'unknown-key':
		case 'unknown-service': {
			return true;
		}

		case 'answer-malformed':
		case 'answer-mismatched':
		case 'answer-truncated':
		case 'answer-unproven':
		case 'connection-lost':
		case 'crashes-servers':
		case 'deadline':
		case 'draining':
		case 'internal-error':
		case 'lease-expired':
		case 'ledger-full':
		case 'ledger-unavailable':
		case 'link-busy':
		case 'no-server':
		case 'overload':
		case 'quota-unavailable':
		case 'server-shed':
		case 'server-withdrawn':
		case 'unreachable':
		case 'unsendable': {
			return false;
		}
	}
}
