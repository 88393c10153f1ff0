/** Memory and processor time of the process. */
import process from 'node:process';
import {type Registry} from 'prom-client';
import {addGauge} from './gauge.js';

const microsecondsPerSecond = 1_000_000;

/**
 * Adds the metrics of the process to a registry, under the standard names of Prometheus clients.
 * @param registry - Registry of the process.
 */
export function addProcessMetrics(registry: Registry): void {
	addGauge(registry, 'process_resident_memory_bytes', 'Resident memory', () => process.memoryUsage.rss());
	addGauge(registry, 'nodejs_heap_size_used_bytes', 'Heap in use', () => process.memoryUsage().heapUsed);
	addGauge(registry, 'process_cpu_seconds_total', 'Processor time', () => {
		const {user, system} = process.cpuUsage();
		return (user + system) / microsecondsPerSecond;
	});
}
