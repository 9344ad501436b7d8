/** Configuration of the test fleet, in the platform's format. */

const columns = ['name', 'host', 'prefix', 'kind', 'timeout-s', 'target-latency-s', 'priority', 'traffic-split', 'max-attempts', 'sticky', 'home-regions', 'service'];

/** Host of all routes. */
export const HOST = 'fleet.example';

/** Maximum number of attempts of a request, unless a test states another. */
export const MAX_ATTEMPTS = 2;

/** An organisation of callers. */
export interface FleetOrganisation {
	readonly name: string;
	readonly keys: readonly string[];
	/** Priority of its requests; undefined: that of the route. */
	readonly priority?: number;
	/** Limit of its requests, in requests per second, and the burst beyond it; undefined: none. */
	readonly ratePerSecond?: number;
	readonly burst?: number;
	/** Regions that may serve its requests; all by default. */
	readonly homeRegions?: readonly string[];
}

/** Options of {@link configuration}. */
export interface ConfigurationOptions {
	readonly version: number;
	/** Timeout of a request, in seconds. */
	readonly timeoutSeconds?: number;
	/** Maximum number of attempts of a request. */
	readonly maxAttempts?: number;
	/** Maximum size of a request's body, in bytes. */
	readonly maxBodyBytes?: number;
	/** Organisations of the callers; undefined: callers are not authenticated. */
	readonly organisations?: readonly FleetOrganisation[];
	/** Prefixes of additional read routes that need no key. */
	readonly publicRoutes?: readonly string[];
	/** Prefixes of additional routes for uploads. */
	readonly uploads?: readonly string[];
	/** Additional routes, as rows in the platform's format. */
	readonly routes?: ReadonlyArray<readonly unknown[]>;
}

const organisationColumns = ['name', 'api-keys', 'priority', 'rate-per-s', 'burst', 'home-regions'];

/** Returns a configuration with a read route `/read/` and a write route `/write/` to the service `ledger`. */
export function configuration(options: ConfigurationOptions): Record<string, unknown> {
	const {version, timeoutSeconds = 2, maxAttempts: mostServers = MAX_ATTEMPTS, maxBodyBytes = 100_000, organisations, publicRoutes = [], uploads = [], routes = []} = options;
	return {
		version: version.toString(16).padStart(8, '0'),
		routes: {
			columns: publicRoutes.length > 0 ? [...columns, 'public'] : columns, rows: [
				['read', HOST, '/read/', 'idempotent', timeoutSeconds, 0.5, 2, null, mostServers, true, [], 'ledger'],
				['write', HOST, '/write/', 'non_idempotent', timeoutSeconds, 0.5, 1, null, mostServers, true, [], 'ledger'],
				...publicRoutes.map(prefix => [prefix, HOST, prefix, 'idempotent', timeoutSeconds, 0.5, 2, null, mostServers, true, [], 'ledger', true]),
				...uploads.map(prefix => [prefix, HOST, prefix, 'upload', timeoutSeconds, 0.5, 1, null, mostServers, true, [], 'ledger']),
				...routes,
			],
		},
		services: {
			columns: ['name', 'health-path', 'max-conns', 'protocol', 'tls', 'warmup-s', 'warmup-per-s'],
			rows: [['ledger', '/health', 300, 'h1', false, 3, 4], ['archive', '/health', 300, 'h1', false, 3, 4]],
		},
		...(organisations && {tenants: {columns: organisationColumns, rows: organisations.map(organisation => toRow(organisation))}}),
		limits: {
			'max-header-bytes': 16_384, 'max-body-bytes': maxBodyBytes, 'header-timeout-s': 3, 'idle-timeout-s': 15,
		},
	};
}

function toRow({name, keys, priority, ratePerSecond, burst, homeRegions = []}: FleetOrganisation): readonly unknown[] {
	return [name, keys, priority ?? null, ratePerSecond ?? null, burst ?? null, homeRegions];
}
