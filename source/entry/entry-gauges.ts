/** The gauges of an entry: its requests, lease, zones, stalls, peers and probing duties. */
import {performance} from 'node:perf_hooks';
import {type StallWatch} from '../control/stall-watch.js';
import {type LeaseHolder} from '../lease/index.js';
import {type Link} from '../link/index.js';
import {type QuotaTokens} from '../quota/index.js';
import {type LatenessEstimate} from '../limits/index.js';
import {type SlackPart} from '../retry/index.js';
import {type EntryMetrics} from './reporting/index.js';
import {type Peers} from './peers/index.js';
import {type Prober} from './fleet/index.js';
import {type ZoneView} from './lease/index.js';
import {type EntryState} from './entry-state.js';

const millisecondsPerSecond = 1000;

/** Parts of an entry that the gauges measure. */
export type GaugeSources = {
	readonly state: EntryState;
	readonly lease: LeaseHolder;
	/** Part of the slack that entries share; undefined if they share none. */
	readonly slackPart: SlackPart | undefined;
	readonly quotaTokens: Pick<QuotaTokens, 'getHeld'>;
	readonly zoneView: ZoneView;
	readonly stallWatch: StallWatch;
	readonly lateness: LatenessEstimate;
	readonly prober: Prober;
	/** Links to the other entries; undefined if the entry exchanges no counts. */
	readonly peers: Peers | undefined;
	/** Link of the entry; undefined if its rate is not known. */
	readonly link: Link | undefined;
};

/**
 * Adds the gauges to the metrics of an entry.
 * @param metrics - Metrics of the entry.
 * @param sources - Measured parts of the entry.
 */
export function registerGauges(metrics: EntryMetrics, sources: GaugeSources): void {
	const {
		state, lease, slackPart, quotaTokens, zoneView, stallWatch, lateness, prober, peers, link,
	} = sources;
	metrics.addGauge('guavadeck_in_flight', 'Requests in flight', () => state.inFlight);
	metrics.addGauge('guavadeck_document_version', 'Version of the document in force', () => lease.getVersion());
	metrics.addGauge('guavadeck_lease_seconds', 'Time until the lease ends', () => Math.max(0, lease.getExpiresAt() - performance.now()) / millisecondsPerSecond);
	metrics.addGauge('guavadeck_slack_part', 'Extra attempts beyond the ratio that the leader lends to this entry', () => slackPart?.getPart() ?? 0);
	metrics.addGauge('guavadeck_quota_tokens_held', 'Tokens of quotas that this entry holds, free or taken by requests', quotaTokens.getHeld);
	metrics.addGauge('guavadeck_workspaces_above_share', 'Workspaces that use more of their quota than others', () => state.aboveShare.size);
	metrics.addGauge('guavadeck_zones_revision', 'Revision of the zones that the entry acts on', zoneView.getRevision);
	metrics.addGauge('guavadeck_zones_out', 'Zones out of service that the entry acts on', zoneView.getZonesOutCount);
	metrics.addGauge('guavadeck_grant_age_seconds', 'Time since the renewal of the last grant was sent', zoneView.getGrantAgeSeconds);
	metrics.addGauge('guavadeck_stalls_total', 'Times in which this process did not run', stallWatch.getStallCount);
	metrics.addGauge('guavadeck_stalled_seconds_total', 'Duration of the times in which this process did not run', () => stallWatch.getStalledMilliseconds() / millisecondsPerSecond);
	metrics.addGauge('guavadeck_event_loop_lateness_seconds', 'Mean lateness of the event loop', () => lateness.getMilliseconds() / millisecondsPerSecond);
	metrics.addGauge('guavadeck_peers', 'Peers that counts are exchanged with', () => peers?.getCount() ?? 0);
	metrics.addGauge('guavadeck_exchange_frames_total', 'Count messages sent to peers', () => peers?.getSentFrames() ?? 0);
	if (link !== undefined) {
		metrics.addGauge('guavadeck_large_responses', 'Requests with large responses that are admitted to the link', link.getAdmittedCount);
		metrics.addGauge('guavadeck_large_responses_waiting', 'Requests with large responses that wait for the link', link.getWaitingCount);
		metrics.addGauge('guavadeck_link_queued_bytes', 'Bytes written to callers that the link has not carried yet, estimated from its rate', link.getQueuedBytes);
		metrics.addGauge('guavadeck_link_remaining_bytes', 'Bytes that the admitted large responses are expected to send', link.getRemainingBytes);
	}

	metrics.addGauge('guavadeck_probe_duties', 'Servers that this entry probes', () => prober.schedule.getDuties().length);
}
