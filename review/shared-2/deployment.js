/** A small deployment like saltledger: the site's bounds, three regions of two zones, two services, nine gateways. */
import {Gateway} from './gateways.js';
import {Server} from './servers.js';
import {startStore} from './store.js';

export const HOST = 'barns.example';

export const zones = {
	'inverness-a': 'highland', 'glasgow-a': 'central', 'dumfries-a': 'borders', 'inverness-b': 'highland', 'glasgow-b': 'central', 'dumfries-b': 'borders',
};

/** Bounds of saltledger that a gateway or a check needs, in seconds where they are times. */
export const bounds = {
	'contact-s': 3, 'drain-s': 2.5, 'grace-s': 6, 'config-apply-s': 2.5, 'evacuate-s': 5,
	'retry-budget-ratio': 0.2, 'budget-window-s': 10, 'budget-min-retries': 58, ...Object.fromEntries([['ttl_max_s', 5]]),
};

const machines = ['inverness-a', 'inverness-a', 'glasgow-a', 'glasgow-a', 'dumfries-a', 'dumfries-a', 'inverness-b', 'glasgow-b', 'dumfries-b'];

const serversOfZone = {
	ledger: {
		'inverness-a': 4, 'glasgow-a': 1, 'dumfries-a': 3, 'inverness-b': 4, 'glasgow-b': 1, 'dumfries-b': 3,
	},
	history: {
		'inverness-a': 3, 'glasgow-a': 1, 'dumfries-a': 2, 'inverness-b': 3, 'glasgow-b': 1, 'dumfries-b': 2,
	},
};

const routeColumns = ['name', 'host', 'prefix', 'kind', 'timeout-s', 'target-latency-s', 'priority', 'traffic-split', 'max-attempts', 'sticky', 'home-regions', 'service'];

/** A configuration with the routes `/stock/` and `/report/` (idempotent) and `/book/` (not idempotent). */
export function configuration({version, stock = 'ledger', book = 'ledger', report = 'history'}) {
	return {
		version: version.toString(16).padStart(8, '0'),
		routes: {
			columns: routeColumns,
			rows: [
				['stock', HOST, '/stock/', 'idempotent', 2.5, 0.6, 2, null, 2, true, [], stock],
				['book', HOST, '/book/', 'non_idempotent', 2.5, 0.8, 1, null, 2, true, [], book],
				['report', HOST, '/report/', 'idempotent', 5, 1.5, 2, null, 2, true, [], report],
			],
		},
		services: {
			columns: ['name', 'health-path', 'max-conns', 'protocol', 'tls', 'warmup-s', 'warmup-per-s'],
			rows: [['ledger', '/health', 330, 'h1', false, 3, 2], ['history', '/health', 330, 'h1', false, 3, 2]],
		},
		limits: {
			'max-header-bytes': 16_384, 'max-body-bytes': 67_108_864, 'header-timeout-s': 3, 'idle-timeout-s': 15,
		},
	};
}

/** Starts the store, the servers and the gateways, and resolves when all gateways are ready. */
export async function startDeployment({
	add, folder, record, onLine, machineZones = machines, serverCounts = serversOfZone,
}) {
	const store = add(await startStore());
	store.put('op/config', configuration({version: 3}));
	const servers = Object.entries(serverCounts).flatMap(([service, counts]) => Object.entries(counts).flatMap(([zone, count]) => Array.from({length: count}, (_, index) => add(new Server({
		id: `i-${service}-${zone}-${index}`, service, zone, store, record,
	})))));
	await Promise.all(servers.map(async server => server.start()));
	const gateways = machineZones.map((zone, index) => add(new Gateway({
		name: `edge-${zone}-${index}`, zone, zones, bounds, store, folder, record, onLine,
	})));
	await Promise.all(gateways.map(async gateway => gateway.start()));
	await Promise.all(gateways.map(async gateway => gateway.untilReady()));
	return {store, servers, gateways};
}
