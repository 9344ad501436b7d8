/** Sends drawn arrivals to a fleet at their times, whatever the answers do. */
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {Agent, request} from 'undici';
import type {Endpoint} from '@pomelopick/core.types';
import type {Fleet} from '@pomelopick/testing.fleet';
import type {Arrival} from './workload.js';

const TICK_MS = 1;
const NANOSECONDS_PER_MILLISECOND = 1_000_000;
const LOOK_UP_INTERVAL_MS = 2000;
const LOOK_UP_TIMEOUT_MS = 1000;
const ANSWER_GRACE_MS = 1500;
const MOST_TRIES = 3;

/** How one call ended. */
export interface CallResult {
	readonly arrival: Arrival;
	/** From the drawn time of arrival to the final answer, in milliseconds. */
	readonly latencyMs: number;
	readonly ended: 'answered' | 'refused' | 'silent';
	readonly reason: string | undefined;
	/** Time from sending to the answer at the last try, in milliseconds. */
	readonly lastTryMs: number;
}

/** Options of {@link runLoad}. */
export interface RunLoadOptions {
	readonly fleet: Fleet;
	readonly arrivals: readonly Arrival[];
	/** Loopback address of each caller. */
	readonly callers: readonly string[];
	readonly timeoutMs: number;
}

interface CallerState {
	readonly address: string;
	readonly agent: Agent;
	endpoints: readonly Endpoint[];
	untilMs: number;
}

/** What a load gave. */
export interface LoadResult {
	readonly results: readonly CallResult[];
	/** Wall clock at which the arrivals began, in milliseconds. */
	readonly startedAtMs: number;
	/** Longest time for which this process itself stood still, in milliseconds; it lies in the latencies. */
	readonly longestStallMs: number;
}

/** Runs the arrivals and waits for all their answers. */
export async function runLoad({fleet, arrivals, callers, timeoutMs}: RunLoadOptions): Promise<LoadResult> {
	const states = callers.map((address): CallerState => ({
		address, agent: new Agent({localAddress: address, connections: 256, pipelining: 1}), endpoints: [], untilMs: 0,
	}));
	await Promise.all(states.map(async state => lookUp({fleet, state})));
	const delay = monitorEventLoopDelay({resolution: 1});
	delay.enable();
	const startedAtMs = performance.now();
	const results: Array<Promise<CallResult>> = [];
	let next = 0;
	await new Promise<void>(resolve => {
		const timer = setInterval(() => {
			const elapsedMs = performance.now() - startedAtMs;
			while (next < arrivals.length && arrivals[next]!.atMs <= elapsedMs) {
				const arrival = arrivals[next]!;
				results.push(send({
					fleet, state: states[arrival.caller]!, arrival, dueMs: startedAtMs + arrival.atMs, timeoutMs,
				}));
				next += 1;
			}

			if (next === arrivals.length) {
				clearInterval(timer);
				resolve();
			}
		}, TICK_MS);
	});
	const ended = await Promise.all(results);
	await Promise.all(states.map(async ({agent}) => agent.destroy()));
	return {results: ended, startedAtMs: performance.timeOrigin + startedAtMs, longestStallMs: Math.round(delay.max / NANOSECONDS_PER_MILLISECOND)};
}

interface SendOptions {
	readonly fleet: Fleet;
	readonly state: CallerState;
	readonly arrival: Arrival;
	readonly dueMs: number;
	readonly timeoutMs: number;
}

async function send({fleet, state, arrival, dueMs, timeoutMs}: SendOptions): Promise<CallResult> {
	for (let tries = 1; ; tries += 1) {
		if (performance.now() > state.untilMs) {
			state.untilMs = performance.now() + LOOK_UP_INTERVAL_MS;
			void lookUp({fleet, state});
		}

		const endpoint = state.endpoints[0];
		const triedAtMs = performance.now();
		const timeLeftMs = Math.max(1, Math.floor(dueMs + timeoutMs - triedAtMs));
		const answer = await tryOnce({
			state, endpoint, arrival, timeLeftMs,
		});
		const endedAtMs = performance.now();
		if (answer.ended !== 'silent' || tries === MOST_TRIES) {
			return {
				arrival, latencyMs: endedAtMs - dueMs, lastTryMs: endedAtMs - triedAtMs, ...answer,
			};
		}

		state.endpoints = state.endpoints.filter(other => other !== endpoint);
		if (state.endpoints.length === 0) {
			await lookUp({fleet, state});
		}
	}
}

interface TryOptions {
	readonly state: CallerState;
	readonly endpoint: Endpoint | undefined;
	readonly arrival: Arrival;
	readonly timeLeftMs: number;
}

async function tryOnce({state, endpoint, arrival, timeLeftMs}: TryOptions): Promise<Pick<CallResult, 'ended' | 'reason'>> {
	if (!endpoint) {
		return {ended: 'silent', reason: 'no entry instance is known'};
	}

	try {
		const response = await request(`http://${endpoint.address}:${endpoint.port}/v1/services/${arrival.service}/items?workMs=${arrival.workMs}&from=${state.address}`, {
			dispatcher: state.agent, headers: {'x-request-timeout-ms': String(timeLeftMs)}, signal: AbortSignal.timeout(timeLeftMs + ANSWER_GRACE_MS),
		});
		const body = await response.body.json() as {readonly title?: string};
		return response.statusCode === 200 ? {ended: 'answered', reason: undefined} : {ended: 'refused', reason: body.title ?? String(response.statusCode)};
	} catch (error) {
		return {ended: 'silent', reason: (error as Error).message};
	}
}

async function lookUp({fleet, state}: {readonly fleet: Fleet; readonly state: CallerState}): Promise<void> {
	for (const {instance, child} of fleet.entries) {
		if (child.hasExited()) {
			continue;
		}

		try {
			const {address, port} = instance.callers;
			const response = await request(`http://${address}:${port}/v1/entries?service=${fleet.configurationSet().services[0]!.name}&client=${state.address}`, {signal: AbortSignal.timeout(LOOK_UP_TIMEOUT_MS)});
			const answer = await response.body.json() as {readonly entries?: readonly Endpoint[]};
			if (answer.entries && answer.entries.length > 0) {
				state.endpoints = answer.entries;
				return;
			}
		} catch {
			// The next instance is asked.
		}
	}
}
