/** Other ways of server choice, to measure against. Each knows only what its entry instance sees. */
import {request} from 'undici';
import {Left, Right} from 'purify-ts';
import type {BackendServer, BackendServerName} from '@pomelopick/core.types';
import {createLocalPlacement} from '@pomelopick/calls.forwarding';
import type {PlaceCall, PlaceCallOptions} from '@pomelopick/calls.forwarding';
import {createOwnedPlacement} from '@pomelopick/calls.placement';
import type {CreatePlacement, PlacementDependencies} from '@pomelopick/calls.placement';
import {chooseByPowerOfTwo, listDrainedServers} from '@pomelopick/steering.choice';

const REPORT_INTERVAL_MS = 500;
const REPORT_TIMEOUT_MS = 400;
const PROBE_TIMEOUT_MS = 50;
const PROBES = 2;

type ChooseServer = (servers: readonly BackendServer[]) => Promise<BackendServer | undefined>;

/** Ways of placement by name. */
export const policies: Readonly<Record<string, CreatePlacement>> = {
	owner: createOwnedPlacement,
	'power-of-two': async parts => withoutOwner({placeCall: createLocalPlacement(parts)}),
	random: async parts => withoutOwner({placeCall: createChosenPlacement({parts, choose: async servers => servers[parts.draw(Math.max(1, servers.length))]})}),
	'least-reported-load': async parts => createLeastReportedLoad(parts),
	probing: async parts => withoutOwner({placeCall: createChosenPlacement({parts, choose: async servers => chooseByProbing({servers, parts})})}),
};

function createLeastReportedLoad(parts: PlacementDependencies) {
	const reported = new Map<BackendServerName, number>();
	const choose: ChooseServer = async servers => {
		const least = Math.min(...servers.map(server => loadOf(server)));
		const best = servers.filter(server => loadOf(server) === least);
		return best[parts.draw(Math.max(1, best.length))];
	};

	const loadOf = ({name, slots}: BackendServer): number => (reported.get(name) ?? 0) / slots;
	let timer: NodeJS.Timeout | undefined;
	return {
		...withoutOwner({placeCall: createChosenPlacement({parts, choose})}),
		start() {
			timer = setInterval(() => {
				for (const server of parts.currentSet()?.backendServers ?? []) {
					void readReport({server, timeoutMs: REPORT_TIMEOUT_MS, note: inFlight => reported.set(server.name, inFlight)});
				}
			}, REPORT_INTERVAL_MS);
		},
		async stop() {
			clearInterval(timer);
		},
	};
}

async function chooseByProbing({servers, parts}: {readonly servers: readonly BackendServer[]; readonly parts: PlacementDependencies}): Promise<BackendServer | undefined> {
	const probed = new Map<BackendServerName, number>();
	const candidates = Array.from({length: Math.min(PROBES, servers.length)}, () => servers[parts.draw(servers.length)]!);
	await Promise.all(candidates.map(async server => readReport({server, timeoutMs: PROBE_TIMEOUT_MS, note: inFlight => probed.set(server.name, inFlight / server.slots)})));
	return chooseByPowerOfTwo({items: candidates, loadOf: ({name}) => probed.get(name) ?? 1, draw: parts.draw});
}

async function readReport({server: {address, port}, timeoutMs, note}: {readonly server: BackendServer; readonly timeoutMs: number; readonly note: (inFlight: number) => void}): Promise<void> {
	try {
		const response = await request(`http://${address}:${port}/load`, {signal: AbortSignal.timeout(timeoutMs)});
		const {inFlight} = await response.body.json() as {readonly inFlight: number};
		note(inFlight);
	} catch {
		// A report that does not come changes nothing.
	}
}

function createChosenPlacement({parts, choose}: {readonly parts: PlacementDependencies; readonly choose: ChooseServer}): PlaceCall {
	return async ({service, avoidServers}: PlaceCallOptions) => {
		const set = parts.currentSet()!;
		const drained = listDrainedServers(set);
		const server = await choose(set.backendServers.filter(({name, service: served}) => served === service.name && !drained.has(name) && !avoidServers.has(name)));
		if (!server) {
			return Left({reason: 'no-backend-server', execution: 'not-run', detail: 'no server is left to choose'});
		}

		return Right({
			server, failureDomain: set.sites.find(({name}) => name === server.site)!.failureDomain, why: 'baseline', waitedMs: 0, release() {/* Nothing is counted. */},
		});
	};
}

function withoutOwner({placeCall}: {readonly placeCall: PlaceCall}) {
	return {
		placeCall, register() {/* No messages. */}, useSet() {/* Read with each call. */}, start() {/* Nothing runs. */}, async stop() {/* Nothing runs. */},
	};
}
