/** Renders configurations in the format in which the platform's operators send them, for tests. */

/** Route of a configuration, by path prefix; every route sends its requests to the service `stock`. */
export type ConfigurationRoute = {readonly path: string; readonly type: 'safe' | 'unsafe' | 'upload'};

/**
 * Renders a configuration as JSON.
 * @param version - Version number, which is written as eight hexadecimal digits.
 * @param routes - Routes in order of listing.
 * @param timeoutMilliseconds - Timeout of each route.
 */
export function renderConfiguration(version: number, routes: readonly ConfigurationRoute[], timeoutMilliseconds = 1200): string {
	return JSON.stringify({
		version: version.toString(16).padStart(8, '0'),
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 1_000_000, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
		},
		listeners: [{
			host: 'shop.example', rules: routes.map(({path, type}) => ({
				name: `r${path}`, route_type: type, target_latency_ms: 250, priority: 1, match: {path_prefix: path}, action: {service: 'stock', timeout_ms: timeoutMilliseconds, max_attempts: 2},
			})),
		}],
		clusters: [{
			name: 'stock', health_path: '/healthz', max_connections: 220, protocol: 'h1', tls: false, warmup_s: 1, warmup_per_s: 9,
		}],
	});
}
