/** Guards against requests that gateways take late in a planned stop and cut at its end. */
import assert from 'node:assert/strict';
import {randomInt} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
	configuration, endpointOf, guaranteesNotRun, HOST, isReady, PipeliningCaller, startGatewayFleet, startGatewayProcess, until,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet, GatewayProcess, PipelinedResponse} from '@pomelopick/testing.gateway-fleet';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';

const SHUTDOWN_SECONDS = 6;
const GATEWAYS = 3;
/** Time between the signals to two gateways, and before the first, in milliseconds. */
const SIGNAL_GAP_MS = 1500;
const POLL_MS = 10;
const MAX_SEED = 2_147_483_647;
const TIME_LEFT_MS = 12_000;
/** Time from the signal until which a request must be sent to be cut at the end, and after which it may be cut, in milliseconds. */
const LAST_CUTTABLE_SEND_MS = 3000;
const STILL_WORKING_MS = 5000;
/** Time after its sending in which a request that is not passed on may cross the close of its connection, in milliseconds. */
const CROSSING_MS = 200;

/** How a caller uses its connections. */
interface CallerKind {
	readonly name: string;
	readonly count: number;
	/** Number of requests that are sent at once. */
	readonly depth: number;
	/** Number of turns for which a connection is used. */
	readonly turns: number;
}

const callerKinds: readonly CallerKind[] = [
	{
		name: 'kept', count: 6, depth: 1, turns: Number.POSITIVE_INFINITY,
	},
	{
		name: 'new', count: 6, depth: 1, turns: 1,
	},
	{
		name: 'pipelined', count: 6, depth: 3, turns: Number.POSITIVE_INFINITY,
	},
];

/** Kinds of requests: their route and the range of their work, in milliseconds. The timeout of `/long/` is longer than a stop. */
const requestKinds = [
	{
		path: '/read/x', method: 'GET', minWorkMs: 1, maxWorkMs: 300,
	},
	{
		path: '/read/x', method: 'GET', minWorkMs: 100, maxWorkMs: 3000,
	},
	{
		path: '/write/x', method: 'POST', minWorkMs: 100, maxWorkMs: 3000,
	},
	{
		path: '/long/x', method: 'POST', minWorkMs: 500, maxWorkMs: 8000,
	},
] as const;

/** A request that was sent to a gateway. */
interface SentRequest {
	readonly requestId: string;
	readonly gateway: number;
	readonly kind: string;
	readonly isBehindAnother: boolean;
	readonly workMs: number;
	readonly sentAtMs: number;
	readonly caller: PipeliningCaller;
}

describe('gateways that are stopped as planned one after the other', () => {
	const seed = Number(process.env.POMELOPICK_TEST_SEED ?? randomInt(MAX_SEED));
	const generator = xoroshiro128plus(seed);
	const draw = (least: number, most: number): number => uniformInt(generator, least, most);
	const sent: SentRequest[] = [];
	const signalledAtMs: number[] = [];
	const gateways: GatewayProcess[] = [];
	const settings: GatewaySettingsInput[] = [];
	let fleet: GatewayFleet;

	before(async () => {
		fleet = await startGatewayFleet({servers: ['north-a', 'north-a', 'north-a', 'north-b', 'north-b', 'north-b', 'south-a', 'south-a']});
		fleet.write('op/config', configuration({
			version: 2, timeoutSeconds: 4, routes: [['long', HOST, '/long/', 'non_idempotent', 10, 3, 1, null, 2, true, [], 'ledger']],
		}));
		for (let index = 0; index < GATEWAYS; index += 1) {
			settings.push(await fleet.settings({instance: `gateway-${index}`, shutdownSeconds: SHUTDOWN_SECONDS}));
			gateways.push(await startGatewayProcess({settings: settings[index]!}));
		}

		await until(async () => {
			const states = await Promise.all(settings.map(async input => isReady(input)));
			return states.every(Boolean);
		});
	});
	after(async () => {
		await Promise.all(gateways.map(async gateway => gateway.stop()));
		await fleet.stop();
	});

	/** Sends requests over one connection until it ends or its turns are used up. */
	const useConnection = async ({kind, gateway, name}: {readonly kind: CallerKind; readonly gateway: number; readonly name: string}): Promise<void> => {
		const caller = new PipeliningCaller(endpointOf(settings[gateway]!.listen.callers));
		for (let turn = 0; turn < kind.turns && caller.endedAtMs === undefined; turn += 1) {
			for (let index = 0; index < kind.depth; index += 1) {
				const {path, method, minWorkMs, maxWorkMs} = requestKinds[draw(0, requestKinds.length - 1)]!;
				const workMs = draw(minWorkMs, maxWorkMs);
				const requestId = `${name}-${sent.length}`;
				caller.send({
					requestId, path, method, body: method === 'POST' ? 'x' : '', workMs, timeLeftMs: TIME_LEFT_MS,
				});
				sent.push({
					requestId, gateway, kind: `${kind.name} ${path}`, isBehindAnother: index > 0, workMs, sentAtMs: performance.now(), caller,
				});
			}

			const expected = (turn + 1) * kind.depth;
			while (caller.endedAtMs === undefined && caller.responses.length < expected) {
				await sleep(POLL_MS);
			}
		}

		caller.close();
		await until(() => caller.endedAtMs !== undefined);
	};

	const runCaller = async ({kind, gateway, index}: {readonly kind: CallerKind; readonly gateway: number; readonly index: number}): Promise<void> => {
		while (!gateways[gateway]!.hasExited()) {
			await useConnection({kind, gateway, name: `${gateway}-${kind.name}-${index}`});
		}
	};

	const findResponse = ({caller, requestId}: SentRequest): PipelinedResponse | undefined => caller.responses.find(response => response.requestId === requestId && response.isComplete);

	/** Whether the end of the stop may cut a request: it was sent early, and its server was still at work on it near the end. */
	const mayBeCut = ({gateway, requestId, sentAtMs, caller}: SentRequest): boolean => {
		const signalAtMs = signalledAtMs[gateway]!;
		return sentAtMs <= signalAtMs + LAST_CUTTABLE_SEND_MS && caller.endedAtMs! > signalAtMs + STILL_WORKING_MS && fleet.executionsOf(requestId)[0]!.wasCancelled;
	};

	/** Whether a gateway read a request, and its connection did not close while the request was on its way. */
	const wasRead = ({gateway, requestId, sentAtMs, caller}: SentRequest): boolean => caller.endedAtMs! > sentAtMs + CROSSING_MS && gateways[gateway]!.lines.some(line => line.requestId === requestId);

	const describeAll = (requests: readonly SentRequest[]): readonly string[] => requests.map(request => {
		const sentAfterMs = Math.round(request.sentAtMs - signalledAtMs[request.gateway]!);
		return `${request.requestId} ${request.kind}, sent ${sentAfterMs} ms after the signal, work ${request.workMs} ms: ${findResponse(request)?.status ?? 'no response'}`;
	});

	it(`answer every request that they pass on, and refuse the others as not run (seed ${seed})`, async () => {
		process.stdout.write(`seed ${seed}, again with POMELOPICK_TEST_SEED=${seed}\n`);
		const callers = gateways.flatMap((_, gateway) => callerKinds.flatMap(kind => Array.from({length: kind.count}, async (_unused, index) => runCaller({kind, gateway, index}))));
		for (const gateway of gateways) {
			await sleep(SIGNAL_GAP_MS);
			signalledAtMs.push(performance.now());
			gateway.signal('SIGTERM');
		}

		await Promise.all(callers);
		const passedOn = sent.filter(({requestId}) => fleet.executionsOf(requestId).length > 0);
		const lost = passedOn.filter(request => findResponse(request)?.status !== 200 && !mayBeCut(request));
		const falselyRefused = passedOn.filter(request => guaranteesNotRun(findResponse(request)?.status ?? 0));
		const unanswered = sent.filter(request => !passedOn.includes(request) && findResponse(request) === undefined && wasRead(request) && !request.isBehindAnother);
		const found = {lost: describeAll(lost), falselyRefused: describeAll(falselyRefused), unanswered: describeAll(unanswered)};
		assert.deepEqual(found, {lost: [], falselyRefused: [], unanswered: []});
		const late = passedOn.filter(({gateway, sentAtMs}) => sentAtMs > signalledAtMs[gateway]!);
		assert.ok(late.length > 0);
		const exitCodes = await Promise.all(gateways.map(async ({exited}) => exited));
		assert.deepEqual(exitCodes, gateways.map(() => 0));
	});
});
