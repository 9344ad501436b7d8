/** A round against the quotas of organisations: one sends far more than its quota, another less, while faults affect the gateways and the store. */
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	configuration, endpointOf, largestInWindow, quotaBound, QuotaCallers,
} from '@pomelopick/testing.gateway-fleet';
import type {QuotaCall} from '@pomelopick/testing.gateway-fleet';
import type {Violation} from './call-check.js';
import {createDraw} from './draw.js';
import {startEnvironment} from './environment.js';
import {injectLastingFaults, lastingFaultNames} from './lasting-faults.js';
import {checkQuota} from './quota-check.js';

const DEFAULT_GATEWAYS = 8;
const DEFAULT_SERVERS = 9;
/** Rates of the two organisations as multiples of their quotas. */
const OVERLOAD = 5;
const USUAL = 1 / 1.6;
const CONFIGURATION_VERSION = 100;
/** Time from the configuration to the first fault, in milliseconds: by then all shards have owners whose claims are in every copy of the store. */
const SETTLE_MS = 14_000;
/** Time after the last request in which late executions are still recorded, in milliseconds. */
const AFTER_MS = 2000;
/** Range of the random time added to a fault, in milliseconds: longer than a lease and the time until another instance claims a shard. */
const FAULT_JITTER_MS = 11_000;
const MILLISECONDS_PER_SECOND = 1000;

/** Options of {@link runQuotaRound}. */
export interface RunQuotaRoundOptions {
	readonly seed: number;
	/** Time in which faults are injected, in milliseconds. */
	readonly durationMs: number;
	readonly gateways?: number;
	readonly servers?: number;
}

/** Outcome of a round. */
export interface QuotaRoundResult {
	readonly seed: number;
	/** Largest number of requests in a window, and the bound. */
	readonly largest: number;
	readonly bound: number;
	/** Share of the limit that was used under overload. */
	readonly use: number;
	/** Statuses and reasons of the organisation that stays within its quota, with their numbers. */
	readonly calm: Readonly<Record<string, number>>;
	readonly faults: readonly string[];
	readonly violations: readonly Violation[];
}

const limited = {
	name: 'limited', keys: ['key-of-limited'], ratePerSecond: 50, burst: 50,
};
const calm = {
	name: 'calm', keys: ['key-of-calm'], ratePerSecond: 30, burst: 30,
};

/** Runs one round and checks it. */
export async function runQuotaRound({seed, durationMs, gateways = DEFAULT_GATEWAYS, servers = DEFAULT_SERVERS}: RunQuotaRoundOptions): Promise<QuotaRoundResult> {
	const environment = await startEnvironment({seed, gateways, servers});
	const callers = new QuotaCallers();
	try {
		environment.fleet.write('op/config', configuration({version: CONFIGURATION_VERSION, organisations: [limited, calm]}));
		await sleep(SETTLE_MS);
		const endpoints = environment.members.map(({settings}) => endpointOf(settings.listen.callers));
		const [faults, overloaded, usual] = await Promise.all([
			injectLastingFaults({
				environment, names: lastingFaultNames, jitterMs: FAULT_JITTER_MS, draw: createDraw(seed), endMs: performance.now() + durationMs,
			}),
			callers.send({
				organisation: limited, endpoints, perSecond: limited.ratePerSecond * OVERLOAD, durationMs,
			}),
			callers.send({
				organisation: calm, endpoints, perSecond: calm.ratePerSecond * USUAL, durationMs,
			}),
		]);
		await sleep(AFTER_MS);
		const gatewayFailures = await environment.listGatewayFailures();
		const {records} = environment.fleet;
		return {
			seed,
			largest: largestInWindow({organisation: limited, calls: overloaded, records}),
			bound: quotaBound(limited),
			use: overloaded.filter(({status}) => status === 200).length / (limited.ratePerSecond * durationMs / MILLISECONDS_PER_SECOND),
			calm: countStatuses(usual),
			faults,
			violations: [
				...gatewayFailures,
				...checkQuota({organisation: limited, calls: overloaded, records}),
				...checkQuota({organisation: calm, calls: usual, records}),
			],
		};
	} finally {
		await callers.close();
		await environment.stop();
	}
}

function countStatuses(calls: readonly QuotaCall[]): Readonly<Record<string, number>> {
	const counts: Record<string, number> = {};
	for (const {status, text} of calls) {
		const title = /"title":"(?<title>[a-z-]+)"/u.exec(text)?.groups?.title ?? '';
		const outcome = `${status} ${title}`.trim();
		counts[outcome] = (counts[outcome] ?? 0) + 1;
	}

	return counts;
}
