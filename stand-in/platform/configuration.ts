/** Configurations of the platform's operator for tests, as its page on the protocol writes them. */

/** A route of a configuration; all of them lead to the service `stock`. */
export type ConfiguredRoute = {readonly path: string; readonly type: 'safe' | 'unsafe'};

/**
 * Writes a configuration.
 * @param version - Its version.
 * @param routes - Its routes.
 * @param timeoutMilliseconds - Timeout of each route.
 */
export function configure(version: number, routes: readonly ConfiguredRoute[], timeoutMilliseconds = 1200): string {
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
