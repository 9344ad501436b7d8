/** Starts gateways for tests: one in the process of the test, or a process of its own with faulty servers. */
import {readFile} from 'node:fs/promises';
import path from 'node:path';
import {parseGatewaySettings} from '@pomelopick/config.settings';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';
import {startGateway} from '@pomelopick/daemons.gateway';
import type {Gateway} from '@pomelopick/daemons.gateway';
import type {Endpoint} from '@pomelopick/core.types';
import {
	configuration, endpointOf, isReady, startGatewayFleet, startGatewayProcess, startRawServer, until,
} from '@pomelopick/testing.gateway-fleet';
import type {
	FleetOrganisation, GatewayProcess, RawRequest, RawServer,
} from '@pomelopick/testing.gateway-fleet';
import {REPOSITORY_ROOT} from '@pomelopick/testing.repository';

/** A gateway and its log lines. */
export interface LoggedGateway extends Gateway {
	readonly lines: ReadonlyArray<Readonly<Record<string, unknown>>>;
}

/** Returns the largest memory that a process has had, in kilobytes. */
export async function readPeakMemoryKb({processId}: Pick<GatewayProcess, 'processId'>): Promise<number> {
	const text = await readFile(`/proc/${processId}/status`, 'utf8');
	return Number(/VmHWM:\s+(\d+) kB/u.exec(text)?.[1]);
}

/** The flags of the engine with which gateways run. */
const DEPLOY_FLAGS_PATTERN = /^run = "node (?<flags>.*) target\/gateway\.cjs"$/mu;

/** Reads the engine's flags from the deploy file. Without them, the engine lets a process grow by more than 64 MB until it collects garbage. */
export async function readDeployedFlags(): Promise<readonly string[]> {
	return DEPLOY_FLAGS_PATTERN.exec(await readFile(path.join(REPOSITORY_ROOT, 'deploy/system.toml'), 'utf8'))!.groups!.flags!.split(' ');
}

/** Starts a gateway and waits until it is ready. */
export async function startReadyGateway(input: GatewaySettingsInput): Promise<LoggedGateway> {
	const lines: Array<Record<string, unknown>> = [];
	const settings = parseGatewaySettings(input).unsafeCoerce();
	const started = await startGateway({
		settings, output: {
			write(line) {
				lines.push(JSON.parse(line) as Record<string, unknown>);
				return true;
			}, flush() {/* Lines are written at once. */}, writeNow: () => true,
		},
	});
	const gateway = started.unsafeCoerce();
	await until(() => gateway.isReady() && lines.some(({event}) => event === 'server-changed'));
	return {...gateway, lines};
}

/** Starts a gateway process for each settings, and waits until all are ready and each knows all others. */
export async function startConnectedGateways({settings, engineFlags = []}: {readonly settings: readonly GatewaySettingsInput[]; readonly engineFlags?: readonly string[]}): Promise<GatewayProcess[]> {
	const gateways = await Promise.all(settings.map(async own => startGatewayProcess({settings: own, engineFlags})));
	await until(async () => {
		const ready = await Promise.all(settings.map(async own => isReady(own)));
		return ready.every(Boolean) && gateways.every(({lines}) => lines.filter(({event}) => event === 'instance-joined').length >= settings.length);
	});
	return gateways;
}

/** A gateway process that reaches no server, and the fleet that it belongs to. */
export interface GatewayBesideInstance {
	readonly gateway: GatewayProcess;
	/** Its listener for callers. */
	readonly endpoint: Endpoint;
	stop(): Promise<void>;
}

/** A port at which nothing listens. */
const CLOSED_PORT = 9;

/** Starts a gateway that can reach no server, so that it forwards requests to the only other instance, which listens at a port of the loopback address. */
export async function startGatewayBesideInstance({port, organisations}: {readonly port: number; readonly organisations?: readonly FleetOrganisation[]}): Promise<GatewayBesideInstance> {
	const fleet = await startGatewayFleet({servers: []});
	fleet.write('op/config', configuration({version: 2, timeoutSeconds: 1, organisations}));
	for (const name of ['closed-0', 'closed-1', 'closed-2']) {
		fleet.register({server: {name, port: CLOSED_PORT}, failureDomain: 'north-a'});
	}

	const listener = {address: '127.0.0.1', port};
	fleet.write('pomelopick/instances/other', {
		id: 'other', failureDomain: 'north-a', region: 'north', callers: listener, peers: listener,
	});
	const settings = await fleet.settings();
	const gateway = await startGatewayProcess({settings, engineFlags: await readDeployedFlags()});
	await until(async () => await isReady(settings) && gateway.lines.filter(({event}) => event === 'instance-joined').length >= 2);
	return {
		gateway,
		endpoint: endpointOf(settings.listen.callers),
		async stop() {
			await gateway.stop();
			await fleet.stop();
		},
	};
}

/** Options of {@link startGatewayWithRawServers}. */
export interface StartWithRawServersOptions {
	/** Number of servers. */
	readonly servers: number;
	/** Maximum size of a request's body, in bytes. */
	readonly maxBodyBytes?: number;
	/** Handles a request at one of the servers. */
	readonly onRequest: (options: {readonly server: string; readonly request: RawRequest}) => void;
	/** Whether the servers leave the bodies of requests unread. */
	readonly leavesBodies?: boolean;
	/** Bytes of the responses to health checks of a server. By default successes. */
	readonly healthResponse?: (server: string) => string | undefined;
}

/** A gateway process whose servers are faulty. */
export interface GatewayWithRawServers {
	readonly settings: GatewaySettingsInput;
	readonly gateway: GatewayProcess;
	/** Registers a server with a wall-clock time of its start, in milliseconds. */
	registerStart(options: {readonly server: string; readonly startedAtMs: number}): void;
	stop(): Promise<void>;
}

/** Starts a gateway process and the servers that it uses, and waits until it is ready. */
export async function startGatewayWithRawServers({servers, maxBodyBytes, onRequest, leavesBodies, healthResponse}: StartWithRawServersOptions): Promise<GatewayWithRawServers> {
	const fleet = await startGatewayFleet({servers: []});
	fleet.write('op/config', configuration({version: 2, maxBodyBytes}));
	const settings = await fleet.settings();
	const started: RawServer[] = [];
	for (let index = 0; index < servers; index += 1) {
		const name = `server-${index}`;
		const server = await startRawServer({
			name, leavesBodies, onRequest(request) {
				onRequest({server: name, request});
			},
			healthResponse: healthResponse?.(name),
		});
		started.push(server);
		fleet.register({server, failureDomain: 'north-a'});
	}

	const gateway = await startGatewayProcess({settings});
	await until(async () => isReady(settings));
	return {
		settings,
		registerStart({server: name, startedAtMs}) {
			fleet.register({server: started.find(server => server.name === name)!, failureDomain: 'north-a', startedAtMs});
		},
		gateway,
		async stop() {
			await gateway.stop();
			await Promise.all(started.map(async server => server.stop()));
			await fleet.stop();
		},
	};
}
