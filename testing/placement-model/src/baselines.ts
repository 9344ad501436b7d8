/** Placements to compare with: what a plain load balancer would do. */
import {chooseOwners} from '@pomelopick/core.rendezvous';
import type {BackendServerName, RegisteredServer} from '@pomelopick/core.types';
import type {CreatePolicy, ModelPlacement, ModelRequest} from './policy.js';

const RETRY_AFTER_MS = 300;
/** Time after which what a server said of its load counts for nothing, in milliseconds. */
const LOAD_MEMORY_MS = 1000;

/** What one instance knows of a server: its own requests there, and the last word on those of others. */
interface KnownLoad {
	inFlight: number;
	others: number;
	saidAtMs: number;
}

/** Chooses the candidate with the least load that is known; `listCandidates` names those that a request may go to. */
function createLeastLoaded(listCandidates: (options: {readonly servers: readonly RegisteredServer[]; readonly request: ModelRequest}) => readonly RegisteredServer[]): CreatePolicy {
	return ({world, region}) => {
		const loads = new Map<BackendServerName, KnownLoad>(world.servers.map(({name}) => [name, {inFlight: 0, others: 0, saidAtMs: 0}]));
		const local = world.serversOf(region);
		const loadOf = (name: BackendServerName, nowMs: number): number => {
			const {inFlight, others, saidAtMs} = loads.get(name)!;
			return inFlight + (nowMs - saidAtMs < LOAD_MEMORY_MS ? others : 0);
		};

		return {
			place({request, nowMs}) {
				const candidates = listCandidates({servers: local, request}).filter(({name}) => !request.avoid.has(name));
				const [best] = candidates.toSorted((left, right) => loadOf(left.name, nowMs) - loadOf(right.name, nowMs));
				return best ? send({load: loads.get(best.name)!, server: best.name}) : {retryAfterMs: RETRY_AFTER_MS};
			},
		};
	};
}

function send({load, server}: {readonly load: KnownLoad; readonly server: BackendServerName}): ModelPlacement {
	load.inFlight += 1;
	return {
		server, onEnd({load: {running, waiting}, nowMs}) {
			load.inFlight -= 1;
			load.others = Math.max(0, running + waiting - 1 - load.inFlight);
			load.saidAtMs = nowMs;
		},
	};
}

interface ListRankedOptions {
	readonly servers: readonly RegisteredServer[];
	readonly request: ModelRequest;
	readonly count: number;
}

/** The servers that rank first for the object of a request. */
function listRanked({servers, request: {kind, object}, count}: ListRankedOptions): readonly RegisteredServer[] {
	const byName = new Map(servers.map(server => [server.name as string, server]));
	return chooseOwners({key: `${kind.name}\0${object}`, instances: [...byName.keys()].map(id => ({id})), count}).map(({id}) => byName.get(id)!);
}

/** Any server of the region, the least loaded first. */
export const createLeastInFlight: CreatePolicy = createLeastLoaded(({servers}) => servers);

/** The less loaded one of two servers that an object has in the region. */
export const createTwoServers: CreatePolicy = createLeastLoaded(({servers, request}) => listRanked({servers, request, count: 2}));

/** The one server that an object has in the region, however loaded it is. */
export const createOneServer: CreatePolicy = createLeastLoaded(({servers, request}) => listRanked({servers, request, count: 1}));
