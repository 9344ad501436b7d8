/** Configuration of the test fleet, in the platform's format. */

const columns = ['name', 'host', 'prefix', 'kind', 'timeout-s', 'target-latency-s', 'priority', 'traffic-split', 'max-attempts', 'sticky', 'home-regions', 'service'];

/** Host of all routes. */
export const HOST = 'fleet.example';

/** Maximum number of attempts of a request, unless a test states another. */
export const MAX_ATTEMPTS = 2;

/** Options of {@link configuration}. */
export interface ConfigurationOptions {
	readonly version: number;
	/** Timeout of a request, in seconds. */
	readonly timeoutSeconds?: number;
	/** Maximum number of attempts of a request. */
	readonly maxAttempts?: number;
	/** Maximum size of a request's body, in bytes. */
	readonly maxBodyBytes?: number;
	/** Additional routes, as rows in the platform's format. */
	readonly routes?: ReadonlyArray<readonly unknown[]>;
}

/** Returns a configuration with a read route `/read/` and a write route `/write/` to the service `ledger`. */
export function configuration({version, timeoutSeconds = 2, maxAttempts: mostServers = MAX_ATTEMPTS, maxBodyBytes = 100_000, routes = []}: ConfigurationOptions): Record<string, unknown> {
	return {
		version: version.toString(16).padStart(8, '0'),
		routes: {
			columns, rows: [
				['read', HOST, '/read/', 'idempotent', timeoutSeconds, 0.5, 2, null, mostServers, true, [], 'ledger'],
				['write', HOST, '/write/', 'non_idempotent', timeoutSeconds, 0.5, 1, null, mostServers, true, [], 'ledger'],
				...routes,
			],
		},
		services: {
			columns: ['name', 'health-path', 'max-conns', 'protocol', 'tls', 'warmup-s', 'warmup-per-s'],
			rows: [['ledger', '/health', 300, 'h1', false, 3, 4], ['archive', '/health', 300, 'h1', false, 3, 4]],
		},
		limits: {
			'max-header-bytes': 16_384, 'max-body-bytes': maxBodyBytes, 'header-timeout-s': 3, 'idle-timeout-s': 15,
		},
	};
}
