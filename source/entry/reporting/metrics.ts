/** Counters, gauges and histograms of an entry. */
import {Counter, Histogram, Registry} from 'prom-client';
import {type HedgeObstacle} from '../../retry/index.js';
import {
	addGauge, addProcessMetrics, addTrafficMetrics, createTrafficMeter, type TrafficMeter,
} from '../../telemetry/index.js';
import {type Verdict} from '../../verdict/index.js';
import {type DiscardReason} from '../servers/index.js';

const latencyBucketsSeconds = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10];

/** How a hedge ended. */
export type HedgeOutcome = 'won' | 'cancelled' | 'failed';

/** Metrics of an entry. */
export type EntryMetrics = {
	readonly registry: Registry;
	/** Counts the bytes that are exchanged with servers, control hosts and peers. */
	readonly traffic: TrafficMeter;
	/** Counts an answered request and records its latency. */
	countRequest(service: string, verdict: Verdict['kind'], seconds: number): void;
	countAttempt(service: string, kind: 'first' | 'retry' | 'hedge'): void;
	/** Counts the end of a hedge: it answered the request, was cancelled since the other attempt did, or failed. */
	countHedge(service: string, outcome: HedgeOutcome): void;
	/** Counts a request whose hedge is withheld; once for each reason that follows another one. */
	countWithheldHedge(service: string, reason: HedgeObstacle): void;
	countRefusal(reason: string): void;
	/** Counts a request that is refused at once, because it yields to others or the event loop is late. */
	countYield(reason: 'above-share' | 'low-priority' | 'late-entry'): void;
	countProbe(isHealthy: boolean): void;
	countEjection(service: string): void;
	/** Counts a server that says that it leaves, or that it wants a pause. */
	countWithdrawal(service: string, kind: 'leaving' | 'pause'): void;
	countDiscardedAnswer(reason: DiscardReason): void;
	/** Counts a token of a quota that a request took. */
	countQuotaToken(): void;
	/** Counts a question for tokens to the leader. */
	countQuotaQuestion(isAnswered: boolean): void;
	/** Counts a request that an unexpected error ended. */
	countInternalError(): void;
	/** Adds a gauge whose value is read on each scrape. */
	addGauge(name: string, help: string, read: () => number): void;
};

/**
 * Creates the metrics of an entry.
 * @param zone - Availability zone of the entry.
 */
export function createEntryMetrics(zone: string): EntryMetrics {
	const registry = new Registry();
	const traffic = createTrafficMeter(zone);
	addProcessMetrics(registry);
	addTrafficMetrics(registry, traffic);
	const latencyHistogram = new Histogram({
		name: 'guavadeck_request_seconds', help: 'Time from a request to the end of its answer', labelNames: ['service'], buckets: latencyBucketsSeconds, registers: [registry],
	});
	const requests = new Counter({
		name: 'guavadeck_requests_total', help: 'Requests by verdict', labelNames: ['service', 'verdict'], registers: [registry],
	});
	const attempts = new Counter({
		name: 'guavadeck_attempts_total', help: 'Attempts on servers', labelNames: ['service', 'kind'], registers: [registry],
	});
	const hedges = new Counter({
		name: 'guavadeck_hedges_total', help: 'Hedges by their end', labelNames: ['service', 'outcome'], registers: [registry],
	});
	const withheldHedges = new Counter({
		name: 'guavadeck_hedges_withheld_total', help: 'Requests whose hedge was withheld, by reason', labelNames: ['service', 'reason'], registers: [registry],
	});
	const refusals = new Counter({
		name: 'guavadeck_refusals_total', help: 'Answers that the entry made itself, by reason', labelNames: ['reason'], registers: [registry],
	});
	const yields = new Counter({
		name: 'guavadeck_yields_total', help: 'Requests that were refused at once, by reason', labelNames: ['reason'], registers: [registry],
	});
	const probes = new Counter({
		name: 'guavadeck_probes_total', help: 'Probes sent', labelNames: ['result'], registers: [registry],
	});
	const ejections = new Counter({
		name: 'guavadeck_ejections_total', help: 'Servers ejected for failures', labelNames: ['service'], registers: [registry],
	});
	const withdrawals = new Counter({
		name: 'guavadeck_withdrawals_total', help: 'Servers that said in a response that they leave or want a pause', labelNames: ['service', 'kind'], registers: [registry],
	});
	const discardedAnswers = new Counter({
		name: 'guavadeck_discarded_answers_total', help: 'Answers of servers that were discarded, by reason', labelNames: ['reason'], registers: [registry],
	});
	const quotaTokens = new Counter({
		name: 'guavadeck_quota_tokens_total', help: 'Tokens of quotas that requests took', registers: [registry],
	});
	const quotaQuestions = new Counter({
		name: 'guavadeck_quota_questions_total', help: 'Questions to the leader for tokens of quotas', labelNames: ['outcome'], registers: [registry],
	});
	const internalErrors = new Counter({
		name: 'guavadeck_internal_errors_total', help: 'Requests and links that an unexpected error ended', registers: [registry],
	});
	const latencyByService = new Map<string, Histogram.Internal<'service'>>();

	return {
		registry,
		traffic,
		countRequest(service, verdict, seconds) {
			requests.inc({service, verdict});
			const histogram = latencyByService.get(service) ?? latencyHistogram.labels(service);
			latencyByService.set(service, histogram);
			histogram.observe(seconds);
		},
		countAttempt(service, kind) {
			attempts.inc({service, kind});
		},
		countHedge(service, outcome) {
			hedges.inc({service, outcome});
		},
		countWithheldHedge(service, reason) {
			withheldHedges.inc({service, reason});
		},
		countRefusal(reason) {
			refusals.inc({reason});
		},
		countYield(reason) {
			yields.inc({reason});
		},
		countProbe(isHealthy) {
			probes.inc({result: isHealthy ? 'healthy' : 'failed'});
		},
		countEjection(service) {
			ejections.inc({service});
		},
		countWithdrawal(service, kind) {
			withdrawals.inc({service, kind});
		},
		countDiscardedAnswer(reason) {
			discardedAnswers.inc({reason});
		},
		countQuotaToken() {
			quotaTokens.inc();
		},
		countQuotaQuestion(isAnswered) {
			quotaQuestions.inc({outcome: isAnswered ? 'answered' : 'unanswered'});
		},
		countInternalError() {
			internalErrors.inc();
		},
		addGauge(name, help, read) {
			addGauge(registry, name, help, read);
		},
	};
}
