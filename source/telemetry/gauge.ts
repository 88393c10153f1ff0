/** Gauges whose values are read only when the metrics are scraped, so nothing runs in between. */
import {Gauge, type Registry} from 'prom-client';

/**
 * Adds a gauge to a registry.
 * @param registry - Registry of the process.
 * @param name - Name of the metric.
 * @param help - What the value is.
 * @param read - Reads the current value.
 */
export function addGauge(registry: Registry, name: string, help: string, read: () => number): void {
	// eslint-disable-next-line no-new
	new Gauge({
		name,
		help,
		registers: [registry],
		collect() {
			this.set(read());
		},
	});
}
