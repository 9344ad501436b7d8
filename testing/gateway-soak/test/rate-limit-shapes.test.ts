import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {runRateLimitRound} from '@pomelopick/testing.gateway-soak';
import type {RateLimitStep, SoakEnvironment} from '@pomelopick/testing.gateway-soak';

const LIMITED_FROM_MS = 2000;
const SERVERS = 12;
const FAULT_MS = 2500;
const OUTAGE_MS = 4500;

const nameLimits = (atMs: number, limits: ReadonlyArray<string | undefined>): RateLimitStep => ({
	atMs,
	run({fleet}) {
		for (const [server, limit] of limits.entries()) {
			fleet.servers[server]!.nameRateLimit(limit);
		}
	},
});

const freeze = async ({members, disturbances}: SoakEnvironment): Promise<void> => {
	const frozen = members.slice(0, members.length / 2);
	const fromMs = performance.now();
	for (const {process} of frozen) {
		process.signal('SIGSTOP');
	}

	await sleep(FAULT_MS);
	for (const {process, settings} of frozen) {
		process.signal('SIGCONT');
		disturbances.push({
			subject: settings.instance, fault: 'pause', fromMs, toMs: performance.now(),
		});
	}
};

const cutFromStore = async ({members, disturbances}: SoakEnvironment): Promise<void> => {
	const cut = members.slice(members.length / 2);
	const fromMs = performance.now();
	for (const {storePath} of cut) {
		storePath.set({cut: true});
	}

	await sleep(2 * FAULT_MS);
	for (const {storePath, settings} of cut) {
		storePath.set({cut: false});
		disturbances.push({
			subject: settings.instance, fault: 'store-path-cut', fromMs, toMs: performance.now(),
		});
	}
};

const setStorePaths = ({isCut}: {readonly isCut: boolean}) => ({members}: SoakEnvironment): void => {
	for (const {storePath} of members) {
		storePath.set({frozen: isCut});
		if (!isCut) {
			storePath.cutConnections();
		}
	}
};

describe('rate limits that servers name', () => {
	it('are kept by the undisturbed gateways while others freeze and are cut off from the store (seed 32111)', async () => {
		const {violations, uses} = await runRateLimitRound({
			seed: 32_111, durationMs: 15_000, steps: [nameLimits(LIMITED_FROM_MS, ['2', '2.9']), {atMs: 5000, run: freeze}, {atMs: 8000, run: cutFromStore}],
		});
		assert.deepEqual(violations, [], JSON.stringify(uses));
	});

	it('bind retries and hedges too (seed 32112)', async () => {
		const {violations, uses} = await runRateLimitRound({
			seed: 32_112, durationMs: 12_000, steps: [nameLimits(LIMITED_FROM_MS, ['2', '2.9', '2', '12'])], plays: ['whole', 'whole', 'slow', 'shed', 'failure', 'reset'],
		});
		assert.deepEqual(violations, [], JSON.stringify(uses));
	});

	it('are used by callers while all servers name one and the load is above their sum (seed 32113)', async () => {
		const limit = 4;
		const durationMs = 12_000;
		const {violations, uses, calls, arrivals, startMs} = await runRateLimitRound({
			seed: 32_113, durationMs, steps: [nameLimits(LIMITED_FROM_MS, Array.from({length: SERVERS}, () => String(limit)))], callerRetries: 1,
		});
		assert.deepEqual(violations, [], JSON.stringify(uses));
		assert.deepEqual(new Set(calls.map(({answer: {status}}) => status)), new Set([200, 503]));
		const refused = calls.filter(({answer: {status}}) => status === 503);
		assert.ok(refused.every(({answer: {headers}}) => Number(headers['retry-after']) > 0), 'a refusal names no time');
		const limitedMs = durationMs - LIMITED_FROM_MS;
		for (const [server, list] of arrivals) {
			const inTime = list.filter(({atMs}) => atMs >= startMs + LIMITED_FROM_MS && atMs < startMs + durationMs).length;
			assert.ok(inTime >= limit * limitedMs / 1000 / 2, `${server} got ${inTime} requests, less than half of its limit`);
		}
	});

	it('stay with a server that started anew and named them while the store was unavailable (seed 40115)', async () => {
		const limited = [0, 1, 2, 3];
		const restartAndName = async (environment: SoakEnvironment): Promise<void> => {
			await Promise.all(limited.map(async number => {
				const restarted = environment.restartBehindCut({
					number, durationMs: 300, registersAfterMs: OUTAGE_MS, warmupMs: 0,
				});
				await sleep(400);
				environment.fleet.servers[number]!.nameRateLimit('1');
				await restarted;
			}));
		};

		const {violations, uses} = await runRateLimitRound({
			seed: 40_115, durationMs: 14_000, gateways: 12, perSecond: 400, plays: ['slow'], steps: [
				{atMs: LIMITED_FROM_MS, run: setStorePaths({isCut: true})},
				{
					atMs: LIMITED_FROM_MS + 500, run(environment) {
						void restartAndName(environment);
					},
				},
				{atMs: LIMITED_FROM_MS + OUTAGE_MS, run: setStorePaths({isCut: false})},
			],
		});
		assert.deepEqual(violations, [], JSON.stringify(uses));
		assert.equal(uses.length, limited.length, 'servers whose limit applied');
		assert.ok(uses.every(({all, allowed}) => all <= allowed), `requests of all gateways: ${JSON.stringify(uses)}`);
	});

	it('free the server as soon as they end (seed 32114)', async () => {
		const endMs = 7000;
		const durationMs = 12_000;
		const {violations, arrivals, startMs} = await runRateLimitRound({
			seed: 32_114, durationMs, steps: [nameLimits(LIMITED_FROM_MS, ['2']), nameLimits(endMs, [undefined])],
		});
		assert.deepEqual(violations, []);
		const arrivalsBetween = (fromMs: number, toMs: number): number => arrivals.get('server-0')!.filter(({atMs}) => atMs >= startMs + fromMs && atMs < startMs + toMs).length;
		const limited = arrivalsBetween(4000, endMs);
		const free = arrivalsBetween(endMs + 2000, durationMs);
		assert.ok(free > 2 * limited, `${limited} requests in the last 3 s with the limit, ${free} in the last 3 s`);
	});
});
