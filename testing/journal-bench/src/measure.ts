/** Drives one way of keeping outcomes at a steady rate and measures it. */
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {build} from 'hdr-histogram-js';
import {
	Journal, JournalKeyGuard, OwnerCalls,
} from '@pomelopick/calls.journal';
import type {KeyGuard} from '@pomelopick/calls.forwarding';
import type {
	Endpoint, FailureDomainName, Instance, InstanceId, ServiceName,
} from '@pomelopick/core.types';
import {PeerClients, startPeerServer} from '@pomelopick/peer.transport';
import {PlatformStore} from '@pomelopick/platform.store';
import type {KeyValueStore} from '@pomelopick/platform.store';
import {createKey} from '@pomelopick/testing.callers';
import {getJson} from '@pomelopick/testing.fleet';
import {IntentPerCall} from './intent-per-call.js';
import {PrivateStore} from './private-store.js';

const INSTANCES = 8;
const WORK_MS = 20;
const DEADLINE_MS = 3000;
const BODY_BYTES = 600;
const TICK_MS = 5;
const CALL_TIMEOUT_MS = 400;
const SETTLE_MS = 300;
const WARM_UP_MS = 2000;
const WARM_UP_CALLS_PER_SECOND = 100;

/** A way of keeping outcomes. */
export type Way = 'intent-per-call' | 'journal' | 'memory-only';

/** Options of {@link measure}. */
export interface MeasureOptions {
	readonly way: Way;
	readonly platform: Endpoint;
	/** Keyed calls that arrive in a second at all instances together. */
	readonly callsPerSecond: number;
	readonly durationMs: number;
	readonly shards?: number;
}

/** What a way costs and what it loses when one owner ends without notice. */
export interface Measurement {
	readonly calls: number;
	readonly granted: number;
	readonly refused: number;
	/** Time from the question to the grant, in milliseconds. */
	readonly grantP50Ms: number;
	readonly grantP99Ms: number;
	readonly storeWritesPerSecond: number;
	readonly storeReadsPerSecond: number;
	readonly storeBytesPerSecond: number;
	/** Of the calls granted, what copies at other instances were told after one instance had ended. */
	readonly copiesReplayed: number;
	readonly copiesUnknown: number;
	readonly copiesRunAgain: number;
}

interface Node {
	readonly guard: KeyGuard;
	stop(): Promise<void>;
}

interface PlatformCounts {
	readonly reads: number;
	readonly writes: number;
	readonly bytes: number;
}

/** Measures one way. */
export async function measure({way, platform, callsPerSecond, durationMs, shards}: MeasureOptions): Promise<Measurement> {
	const instances: Instance[] = [];
	const nodes = new Map<InstanceId, Node>();
	for (let index = 0; index < INSTANCES; index += 1) {
		const id = `entry-${index}` as InstanceId;
		nodes.set(id, await startNode({
			id, way, platform, instances, shards,
		}));
	}

	await drive({guards: [...nodes.values()].map(({guard}) => guard), callsPerSecond: WARM_UP_CALLS_PER_SECOND, durationMs: WARM_UP_MS});
	const countsOf = async (): Promise<PlatformCounts> => getJson<PlatformCounts>({endpoint: platform, path: '/stand-in/counters'});
	const before = await countsOf();
	const load = await drive({guards: [...nodes.values()].map(({guard}) => guard), callsPerSecond, durationMs});
	const after = await countsOf();
	const perSecond = (name: keyof PlatformCounts): number => Math.round((after[name] - before[name]) * 1000 / durationMs);
	// One instance ends without notice; it is also taken from the list, as the platform would after a while.
	const gone = instances[0]!.id;
	await nodes.get(gone)!.stop();
	nodes.delete(gone);
	instances.shift();
	const copies = await sendCopies({guards: [...nodes.values()].map(({guard}) => guard), keys: load.grantedKeys});
	await Promise.all([...nodes.values()].map(async node => node.stop()));
	return {
		...load.counts, storeWritesPerSecond: perSecond('writes'), storeReadsPerSecond: perSecond('reads'), storeBytesPerSecond: perSecond('bytes'), ...copies,
	};
}

interface StartNodeOptions {
	readonly id: InstanceId;
	readonly way: Way;
	readonly platform: Endpoint;
	readonly instances: Instance[];
	readonly shards: number | undefined;
}

async function startNode({id, way, platform, instances, shards}: StartNodeOptions): Promise<Node> {
	const now = (): number => performance.now();
	const store: KeyValueStore = way === 'memory-only' ? new PrivateStore() : new PlatformStore({endpoint: platform, callTimeoutMs: CALL_TIMEOUT_MS});
	const peers = new PeerClients();
	const onEvent = (): void => undefined;
	const journal = new Journal({
		store, onEvent, now, wallClock: () => Date.now(), countInstances: () => instances.length, shards,
	});
	const server = await startPeerServer({
		endpoint: {address: '127.0.0.1', port: 0}, register(router) {
			journal.register(router);
		},
	});
	instances.push({
		id, failureDomain: 'north-1' as FailureDomainName, state: 'live', callers: server.endpoint, peers: server.endpoint, operators: server.endpoint,
	});
	const owners = new OwnerCalls({
		self: id, journal, peers, liveInstances: () => instances, now, onEvent,
	});
	return {
		guard: way === 'intent-per-call'
			? new IntentPerCall({store})
			: new JournalKeyGuard({
				owners, now, onEvent, shards,
			}),
		async stop() {
			journal.stop();
			peers.close();
			await server.stop();
			await store.close();
		},
	};
}

interface Load {
	readonly counts: Pick<Measurement, 'calls' | 'granted' | 'refused' | 'grantP50Ms' | 'grantP99Ms'>;
	readonly grantedKeys: readonly string[];
}

/** Calls arrive evenly whatever becomes of those before; the work takes its time between grant and outcome. */
async function drive({guards, callsPerSecond, durationMs}: {readonly guards: readonly KeyGuard[]; readonly callsPerSecond: number; readonly durationMs: number}): Promise<Load> {
	const histogram = build({highestTrackableValue: 60_000_000});
	const grantedKeys: string[] = [];
	const running: Array<Promise<void>> = [];
	let refused = 0;
	const call = async (guard: KeyGuard): Promise<void> => {
		const key = createKey();
		const askedAtMs = performance.now();
		const begun = await begin({guard, key});
		if (begun.isLeft()) {
			refused += 1;
			return;
		}

		histogram.recordValue(Math.round((performance.now() - askedAtMs) * 1000));
		const run = begun.unsafeCoerce();
		await sleep(WORK_MS);
		if (run.kind === 'run') {
			grantedKeys.push(key);
			await run.finish({status: 200, headers: {'content-type': 'application/json'}, body: new Uint8Array(BODY_BYTES)});
		}
	};

	const startedAtMs = performance.now();
	for (let sent = 0; performance.now() - startedAtMs < durationMs;) {
		const due = Math.floor((performance.now() - startedAtMs) * callsPerSecond / 1000);
		for (; sent < due; sent += 1) {
			running.push(call(guards[sent % guards.length]!));
		}

		await sleep(TICK_MS);
	}

	await Promise.all(running);
	await sleep(SETTLE_MS);
	return {
		counts: {
			calls: running.length, granted: grantedKeys.length, refused, grantP50Ms: histogram.getValueAtPercentile(50) / 1000, grantP99Ms: histogram.getValueAtPercentile(99) / 1000,
		},
		grantedKeys,
	};
}

/** Sends a copy of each granted call to another instance. */
async function sendCopies({guards, keys}: {readonly guards: readonly KeyGuard[]; readonly keys: readonly string[]}): Promise<Pick<Measurement, 'copiesReplayed' | 'copiesUnknown' | 'copiesRunAgain'>> {
	const counts = {copiesReplayed: 0, copiesUnknown: 0, copiesRunAgain: 0};
	const most = Math.min(keys.length, 400);
	for (let index = 0; index < most; index += 1) {
		const begun = await begin({guard: guards[index % guards.length]!, key: keys[Math.floor(index * keys.length / most)]!});
		begun.caseOf({
			Left() {
				counts.copiesUnknown += 1;
			},
			Right({kind}) {
				counts[kind === 'run' ? 'copiesRunAgain' : 'copiesReplayed'] += 1;
			},
		});
	}

	return counts;
}

async function begin({guard, key}: {readonly guard: KeyGuard; readonly key: string}): ReturnType<KeyGuard['begin']> {
	return guard.begin({
		key, service: 'ledger' as ServiceName, fingerprint: 'same', deadlineMs: performance.now() + DEADLINE_MS, signal: new AbortController().signal,
	});
}
