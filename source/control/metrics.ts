/** Prometheus metrics of a control host. */
import {Counter, Registry} from 'prom-client';
import {
	addGauge, addProcessMetrics, addTrafficMetrics, createTrafficMeter, type TrafficMeter,
} from '../telemetry/index.js';
import {type Driver} from './driver.js';
import {type StallWatch} from './stall-watch.js';
import {type StateMachine} from './state-machine.js';
import {type ZoneOrderOutcome} from './zone-order-log.js';

const millisecondsPerSecond = 1000;

/** Metrics of a control host. */
export type ControlMetrics = {
	/** Counts the bytes that are exchanged on links. */
	readonly traffic: TrafficMeter;
	/** Counts a link that an unexpected error ended. */
	countInternalError(): void;
	/** Counts a lease renewal. */
	countRenewal(outcome: 'granted' | 'refused'): void;
	/** Counts an order for a zone that this host received. */
	countZoneOrder(outcome: ZoneOrderOutcome): void;
	/** Gets all metrics in the Prometheus text format. */
	getText(): Promise<string>;
};

/** Options of `createControlMetrics`. */
export type ControlMetricsOptions = {
	readonly driver: Driver;
	/** Replicated state machine. */
	readonly machine: StateMachine;
	/** Watch for times in which the process did not run. */
	readonly stallWatch: StallWatch;
	/** Availability zone of the host. */
	readonly zone: string;
	/** Gets the number of tokens of quotas that entries hold, if this host leads. */
	getOutstandingTokens(): number;
};

/**
 * Creates the metrics of a control host.
 * @param options - Replica, zone and what gauges read.
 */
export function createControlMetrics(options: ControlMetricsOptions): ControlMetrics {
	const {driver, machine, stallWatch, zone, getOutstandingTokens} = options;
	const registry = new Registry();
	const traffic = createTrafficMeter(zone);
	addProcessMetrics(registry);
	addTrafficMetrics(registry, traffic);
	const renewals = new Counter({
		name: 'guavadeck_lease_renewals_total', help: 'Lease renewals received', labelNames: ['outcome'], registers: [registry],
	});
	const zoneOrders = new Counter({
		name: 'guavadeck_zone_orders_total', help: 'Orders for zones that this host received, by outcome', labelNames: ['outcome'], registers: [registry],
	});

	const internalErrors = new Counter({
		name: 'guavadeck_internal_errors_total', help: 'Links that a malformed message or an unexpected error ended', registers: [registry],
	});

	addGauge(registry, 'guavadeck_consensus_term', 'Consensus term', () => driver.replica.getTerm());
	addGauge(registry, 'guavadeck_consensus_commit_index', 'Highest committed index', () => driver.replica.getCommitIndex());
	addGauge(registry, 'guavadeck_consensus_leads', 'Whether this host leads', () => driver.replica.getRole() === 'leader' ? 1 : 0);
	addGauge(registry, 'guavadeck_storage_syncs_total', 'Batches synced to disk', () => driver.getSyncCount());
	addGauge(registry, 'guavadeck_ledger_claims', 'Claims in the ledger', () => machine.ledger.getClaimCount());
	addGauge(registry, 'guavadeck_ledger_released', 'Released attempts that the ledger remembers', () => machine.ledger.getReleaseCount());
	addGauge(registry, 'guavadeck_ledger_answer_bytes', 'Bytes of stored answers', () => machine.ledger.getStoredBytes());
	addGauge(registry, 'guavadeck_registry_servers', 'Servers in the registry', () => machine.registry.getSize());
	addGauge(registry, 'guavadeck_zones_revision', 'Index of the last command for a zone that this host applied', () => machine.getZonesRevision());
	addGauge(registry, 'guavadeck_zones_out', 'Zones that operators took out of service', () => machine.getZonesOut().length);

	addGauge(registry, 'guavadeck_quota_tokens_outstanding', 'Tokens of quotas that entries hold, if this host leads', getOutstandingTokens);
	addGauge(registry, 'guavadeck_stalls_total', 'Times in which this process did not run', stallWatch.getStallCount);
	addGauge(registry, 'guavadeck_stalled_seconds_total', 'Duration of the times in which this process did not run', () => stallWatch.getStalledMilliseconds() / millisecondsPerSecond);

	return {
		traffic,
		countInternalError() {
			internalErrors.inc();
		},
		countRenewal(outcome) {
			renewals.inc({outcome});
		},
		countZoneOrder(outcome) {
			zoneOrders.inc({outcome});
		},
		getText: async () => registry.metrics(),
	};
}
