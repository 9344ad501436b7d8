/** The operator's configuration of the cases, in the platform's format. */

export const HOST = 'ledger.example';
/** Requests a second that a server bears while it is cold, and time for which it is cold, in seconds. */
export const WARMUP_PER_S = 2;
const WARMUP_S = 3;

/** Routes of the deployment: reads that may be repeated, and bookings that may not. */
export const ledgerRoutes = [
	{
		name: 'stock-check', prefix: '/stock/', kind: 'idempotent', service: 'ledger',
	},
	{
		name: 'tonnage-booking', prefix: '/booking/', kind: 'non_idempotent', service: 'ledger',
	},
];

const routeColumns = ['name', 'host', 'prefix', 'kind', 'timeout-s', 'target-latency-s', 'priority', 'traffic-split', 'max-attempts', 'sticky', 'home-regions', 'service'];
const serviceColumns = ['name', 'health-path', 'max-conns', 'protocol', 'tls', 'warmup-s', 'warmup-per-s'];

/** Returns a configuration. A route goes to one service or splits its traffic between several. */
export function configuration({version, routes, services, healthPath = '/health'}) {
	return {
		version: version.toString(16).padStart(8, '0'),
		routes: {
			columns: routeColumns,
			rows: routes.map(({name, prefix, kind, split = null, service = null}) => [name, HOST, prefix, kind, 2.5, 0.8, 1, split, 2, true, [], service]),
		},
		services: {columns: serviceColumns, rows: services.map(name => [name, healthPath, 330, 'h1', false, WARMUP_S, WARMUP_PER_S])},
		limits: {
			'max-header-bytes': 16_384, 'max-body-bytes': 67_108_864, 'header-timeout-s': 3, 'idle-timeout-s': 15,
		},
	};
}
