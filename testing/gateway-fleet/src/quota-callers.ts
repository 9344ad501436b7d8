/** Callers of one organisation that send at a fixed rate, and what servers ran of it in any window. */
import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {Pool} from 'undici';
import type {Endpoint} from '@pomelopick/core.types';
import {HOST} from './configuration.js';
import type {FleetOrganisation} from './configuration.js';
import type {ExecutionRecord} from './serve-request.js';

const MILLISECONDS_PER_SECOND = 1000;
const TIME_LEFT_MS = 2000;
/** Time between two checks of which requests are due, in milliseconds. */
const SEND_PAUSE_MS = 5;
/** Window in which a quota is judged, in milliseconds, as the users specify it. */
const WINDOW_MS = 5000;
/** Excess over the quota that the users allow in a window: a share of the quota, and a number of requests. */
const OVERAGE = 0.1;
const SLACK = 20;

/** A request and its outcome. */
export interface QuotaCall {
	readonly requestId: string;
	readonly sentAtMs: number;
	readonly endpoint: Endpoint;
	/** 0: no response. */
	status: number;
	retryAfter: string | undefined;
	text: string;
}

/** Options of {@link QuotaCallers.send}. */
export interface SendAtRateOptions {
	readonly organisation: FleetOrganisation;
	readonly endpoints: readonly Endpoint[];
	readonly perSecond: number;
	readonly durationMs: number;
	/** Ends the sending before that time is over. */
	readonly end?: AbortSignal;
}

/** Sends the requests of callers over connections that are kept. */
export class QuotaCallers {
	/** All requests that were sent, in their order. */
	readonly calls: QuotaCall[] = [];
	readonly #pools = new Map<string, Pool>();

	/** Sends at a fixed rate, at the endpoints in turn; resolves with the outcomes once all are known. */
	async send({organisation, endpoints, perSecond, durationMs, end}: SendAtRateOptions): Promise<readonly QuotaCall[]> {
		const startMs = performance.now();
		const running: Array<Promise<QuotaCall>> = [];
		while (performance.now() - startMs < durationMs && !end?.aborted) {
			const due = (performance.now() - startMs) * perSecond / MILLISECONDS_PER_SECOND;
			while (running.length < due) {
				running.push(this.#call({organisation, endpoint: endpoints[running.length % endpoints.length]!}));
			}

			await sleep(SEND_PAUSE_MS);
		}

		return Promise.all(running);
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		await Promise.all([...this.#pools.values()].map(async pool => pool.destroy()));
	}

	async #call({organisation: {keys, name}, endpoint}: {readonly organisation: FleetOrganisation; readonly endpoint: Endpoint}): Promise<QuotaCall> {
		const call: QuotaCall = {
			requestId: `${name}-${randomUUID()}`, sentAtMs: performance.now(), endpoint, status: 0, retryAfter: undefined, text: '',
		};
		this.calls.push(call);
		try {
			const response = await this.#poolOf(endpoint).request({
				method: 'GET',
				path: `/read/${call.requestId}`,
				headers: {
					host: HOST, 'x-request-id': call.requestId, 'x-deadline-ms': String(TIME_LEFT_MS), authorization: `Bearer ${keys[0]!}`,
				},
			});
			call.status = response.statusCode;
			call.retryAfter = response.headers['retry-after'] as string | undefined;
			call.text = await response.body.text();
		} catch {
			call.status = 0;
		}

		return call;
	}

	/** The number of connections is not limited, so that no request waits here after it counts as sent. */
	#poolOf({address, port}: Endpoint): Pool {
		const origin = `http://${address}:${port}`;
		const pool = this.#pools.get(origin) ?? new Pool(origin);
		this.#pools.set(origin, pool);
		return pool;
	}
}

/** What ran at servers, and when. */
export interface RunRecords {
	readonly executions: ReadonlyArray<Pick<ExecutionRecord, 'requestId' | 'atMs'>>;
}

/** Largest number of requests of an organisation that were both sent by callers and ran at a server within one window. */
export function largestInWindow({organisation, calls, records}: {readonly organisation: Pick<FleetOrganisation, 'name'>; readonly calls: readonly QuotaCall[]; readonly records: RunRecords}): number {
	const sentAt = new Map(calls.map(({requestId, sentAtMs}) => [requestId, sentAtMs]));
	const runs = records.executions
		.filter(({requestId}) => requestId.startsWith(`${organisation.name}-`) && sentAt.has(requestId))
		.map(({requestId, atMs}) => ({sentAtMs: sentAt.get(requestId)!, atMs}))
		.sort((left, right) => left.atMs - right.atMs);
	let largest = 0;
	let first = 0;
	for (const [index, {atMs: endMs}] of runs.entries()) {
		while (runs[first]!.atMs < endMs - WINDOW_MS) {
			first += 1;
		}

		const count = runs.slice(first, index + 1).filter(({sentAtMs}) => sentAtMs >= endMs - WINDOW_MS).length;
		largest = Math.max(largest, count);
	}

	return largest;
}

/** Number of requests that an organisation may have run in one window. */
export function quotaBound({ratePerSecond = 0, burst = 0}: Pick<FleetOrganisation, 'ratePerSecond' | 'burst'>): number {
	return (((ratePerSecond * WINDOW_MS / MILLISECONDS_PER_SECOND) + burst) * (1 + OVERAGE)) + SLACK;
}
