/** Creates and wires the connections to backend servers and the parts that find out which servers can be reached. */
import {setTimeout as startTimeout} from 'node:timers/promises';
import {BackendConnections, checkOnConnection} from '@pomelopick/calls.connections';
import type {LiveView} from '@pomelopick/calls.live';
import {ConnectionCheck, ContactMonitor} from '@pomelopick/calls.relay';
import type {ContactMonitorOptions, RelayServer} from '@pomelopick/calls.relay';
import type {GatewaySettings} from '@pomelopick/config.settings';
import type {CallCounters, DecisionLog} from '@pomelopick/core.telemetry';
import type {KnownServer, ViewConfirmation} from '@pomelopick/steering.servers';
import type {RateLimitParts} from './create-rate-limits.js';
import type {ServerNoticeParts} from './create-server-notices.js';

/** Minimum number of connections that this instance may open to a server. */
const MIN_CONNECTIONS = 4;
/** Share of a server's connections that all instances together use; the rest is a reserve for connections that the server counts late. */
const CONNECTION_SHARE = 0.7;

/** Options of {@link createServerContact}. */
export interface CreateServerContactOptions extends Pick<ContactMonitorOptions, 'contacts' | 'unsent' | 'onUnreachable'> {
	readonly view: LiveView;
	/** How well the store confirms the view. */
	readonly confirmation: () => ViewConfirmation;
	/** Regions by failure domain. */
	readonly regions: GatewaySettings['regions'];
	readonly permits: RateLimitParts['permits'];
	readonly readHealthAnswer: ServerNoticeParts['readHealthAnswer'];
	readonly counters: CallCounters;
	readonly log: DecisionLog;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** The parts that are used from outside. */
export interface ServerContactParts {
	readonly connections: BackendConnections;
	readonly contactMonitor: ContactMonitor;
	readonly connectionCheck: ConnectionCheck;
	/** Maximum number of connections that this instance may open to a server. */
	readonly maxConnections: (known: KnownServer) => number;
}

/** Creates the parts. */
export function createServerContact({view, confirmation, regions, contacts, unsent, permits, readHealthAnswer, onUnreachable, counters, log, now}: CreateServerContactOptions): ServerContactParts {
	/** Number of instances among which a server's connections are divided: the maximum seen at the same time, and at least one for each failure domain (the keys of `regions`). */
	const countInstances = (): number => Math.max(view.instances.maxCount, regions.size);
	const maxConnections = ({server: {service}}: KnownServer): number => {
		const max = view.routeSet?.services.find(({name}) => name === service)?.maxConnections ?? 0;
		return Math.max(MIN_CONNECTIONS, Math.floor(max * CONNECTION_SHARE / countInstances()));
	};

	const toRelayServer = (known: KnownServer): RelayServer => ({...known.server, connections: maxConnections(known)});
	const connections = new BackendConnections({
		now,
		probeIntervalMs: 0,
		maxPerServer: server => server.connections,
		onReplaced({server, connections: count}) {
			counters.add('connections.replaced', count);
			log.line('connections-replaced', {server, count});
		},
		onHealthAnswer({server: {name}, ...answer}) {
			readHealthAnswer({name, ...answer});
		},
		onIdleReset({name, address, port}) {
			const known = view.servers.findEntry(name);
			if (known?.server.address === address && known.server.port === port) {
				contactMonitor.lose({server: toRelayServer(known), detail: 'an idle connection was reset'});
			}
		},
	});
	const contactMonitor = new ContactMonitor({
		contacts,
		checkHealth: async server => connections.checkHealth(server),
		listServers: service => view.servers.listUsable(service).map(known => toRelayServer(known)),
		isRegistered: ({name, startedAtMs}) => view.servers.findEntry(name)?.server.startedAtMs === startedAtMs && view.servers.findEntry(name) !== undefined,
		unsent,
		onUnreachable,
		counters,
		log,
		sleep: async milliseconds => startTimeout(milliseconds, undefined, {ref: false}),
		now,
	});
	const connectionCheck = new ConnectionCheck({
		view: confirmation,
		isCold: known => permits.isCold(view.servers.findEntry(known.server.name) ?? known),
		hasWarmupRate: ({server: {service}}) => view.routeSet?.services.find(({name}) => name === service)?.warmupRequestsPerSecond !== undefined,
		ask: checkOnConnection,
		onAnswer({known: {server: {name}}, ...answer}) {
			readHealthAnswer({name, ...answer});
		},
		onNoAnswer(known) {
			contactMonitor.lose({server: toRelayServer(known), detail: 'no answer to a health check on a new connection'});
		},
		counters,
		now,
	});
	return {
		connections, contactMonitor, connectionCheck, maxConnections,
	};
}
