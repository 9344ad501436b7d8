/** Plays random callers and servers against one gateway process, and checks that it lives and answers. */
import {performance} from 'node:perf_hooks';
import fc from 'fast-check';
import {
	callGateway, configuration, endpointOf, isReady, startGatewayFleet, startGatewayProcess, until,
} from '@pomelopick/testing.gateway-fleet';
import {playCaller} from './peer-caller.js';
import {callerPlays} from './peer-plays.js';
import type {CallerPlay, ServerPlay} from './peer-plays.js';
import {startPeerServer} from './peer-server.js';

const SERVERS = 4;
const CALLERS_AT_ONCE = 40;
/** Time that a plain read states as its deadline, and in which it has to be answered, in milliseconds. */
const READ_DEADLINE_MS = 3000;
const READ_SLACK_MS = 500;
/** Maximum time until a plain read succeeds after a batch, in milliseconds. */
const SUCCESS_TIMEOUT_MS = 10_000;
const RETRY_PAUSE_MS = 50;
const PATH_PATTERN = /\/play-(\d+)/u;

/** Options of {@link runPeerRound}. */
export interface RunPeerRoundOptions {
	readonly seed: number;
	readonly durationMs: number;
	/** Seeds of batches that are played before the drawn ones. */
	readonly firstSeeds?: readonly number[];
}

/** Result of a round. */
export interface PeerRoundResult {
	readonly seed: number;
	readonly callers: number;
	readonly requests: number;
	/** Longest time that a plain read took, in milliseconds. */
	readonly slowestReadMs: number;
	/** What was broken, and by which callers; undefined if nothing was. */
	readonly violation: {readonly what: string; readonly plays: readonly CallerPlay[]} | undefined;
}

/** Plays batches of callers until the time is over or something is broken. */
export async function runPeerRound({seed, durationMs, firstSeeds = []}: RunPeerRoundOptions): Promise<PeerRoundResult> {
	const serverPlays = new Map<number, ServerPlay>();
	const fleet = await startGatewayFleet({servers: []});
	fleet.write('op/config', configuration({version: 2}));
	const servers = await Promise.all(Array.from({length: SERVERS}, async (_, index) => startPeerServer({
		name: `server-${index}`, findPlay: path => serverPlays.get(Number(PATH_PATTERN.exec(path)?.[1] ?? -1)),
	})));
	for (const server of servers) {
		fleet.register({server, failureDomain: 'north-a'});
	}

	const settings = await fleet.settings();
	const endpoint = endpointOf(settings.listen.callers);
	const gateway = await startGatewayProcess({settings});
	let callers = 0;
	let requests = 0;
	let slowestReadMs = 0;

	const playBatch = async (plays: readonly CallerPlay[]): Promise<void> => {
		serverPlays.clear();
		await Promise.all(plays.map(async play => {
			callers += 1;
			const first = requests;
			requests += play.requests.length;
			for (const [index, {server}] of play.requests.entries()) {
				serverPlays.set(first + index, server);
			}

			await playCaller({
				endpoint, play, name: `caller-${callers}`, pathOf: index => `/${play.requests[index]!.method === 'GET' ? 'read' : 'write'}/play-${first + index}`,
			});
		}));
	};

	const findFault = async (): Promise<string | undefined> => {
		const endsAtMs = performance.now() + SUCCESS_TIMEOUT_MS;
		for (;;) {
			const sentAtMs = performance.now();
			const {status, text} = await callGateway({endpoint, path: '/read/plain', timeLeftMs: READ_DEADLINE_MS});
			const tookMs = performance.now() - sentAtMs;
			slowestReadMs = Math.max(slowestReadMs, tookMs);
			if (gateway.errors.length > 0 || gateway.hasExited()) {
				return `the process wrote or ended: ${gateway.errors.join('')}`;
			}

			if (status === 0 || tookMs > READ_DEADLINE_MS + READ_SLACK_MS) {
				return `a plain read was answered ${status} after ${Math.round(tookMs)} ms`;
			}

			if (status === 200) {
				return undefined;
			}

			if (performance.now() > endsAtMs) {
				return `plain reads are still answered ${status}: ${text}`;
			}

			await new Promise(resolve => {
				setTimeout(resolve, RETRY_PAUSE_MS);
			});
		}
	};

	try {
		await until(async () => isReady(settings));
		const endsAtMs = performance.now() + durationMs;
		for (let batch = 0; batch < firstSeeds.length || performance.now() < endsAtMs; batch += 1) {
			const batchSeed = firstSeeds[batch] ?? seed + batch - firstSeeds.length;
			const plays = fc.sample(callerPlays, {seed: batchSeed, numRuns: CALLERS_AT_ONCE});
			await playBatch(plays);
			const what = await findFault();
			if (what !== undefined) {
				return {
					seed: batchSeed, callers, requests, slowestReadMs: Math.round(slowestReadMs), violation: {what, plays},
				};
			}
		}

		return {
			seed, callers, requests, slowestReadMs: Math.round(slowestReadMs), violation: undefined,
		};
	} finally {
		await gateway.stop();
		for (const server of servers) {
			server.stop();
		}

		await fleet.stop();
	}
}
