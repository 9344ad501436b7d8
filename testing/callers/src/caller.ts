/** Caller that looks up entry instances, sends calls, and checks that each response is complete and belongs to its call. */
import {createHash, randomUUID} from 'node:crypto';
import {Agent, request} from 'undici';
import type {Endpoint, Execution, RefusalReason} from '@pomelopick/core.types';

const LOOKUP_TIMEOUT_MS = 1000;
/** Time that a caller waits for a response beyond the deadline. */
const RESPONSE_GRACE_MS = 1500;
const RETRY_PAUSE_MS = 50;
const MAX_TRIES = 6;

/** Outcome of one call for its caller. */
export interface CallRecord {
	readonly service: string;
	readonly method: string;
	readonly path: string;
	readonly key: string | undefined;
	readonly startedAtMs: number;
	readonly elapsedMs: number;
	/** `silent`: no final response by the deadline plus a grace period. `wrong`: a response that is incomplete or belongs to another call. */
	readonly ended: 'answered' | 'refused' | 'silent' | 'wrong';
	readonly status?: number;
	readonly reason?: RefusalReason;
	readonly execution?: Execution;
	readonly callId?: string;
	readonly detail?: string;
	readonly tries: number;
}

/** Options of {@link Caller}. */
export interface CallerOptions {
	/** Source address of the caller. It determines the client block that the caller belongs to. */
	readonly localAddress?: string;
	/** Returns the entry instances that look-ups are sent to. */
	readonly bootstrap: () => readonly Endpoint[];
	/** Whether a call without a final response is retried at another instance. True by default. */
	readonly isRetrying?: boolean;
}

/** Options of {@link Caller.call}. */
export interface CallOptions {
	readonly service: string;
	readonly method?: string;
	/** Path and query below the service. */
	readonly path: string;
	readonly body?: string;
	readonly key?: string;
	readonly timeoutMs: number;
}

/** Response body of a backend server stand-in. */
export interface BackendResponse {
	readonly callId: string;
	readonly method: string;
	readonly path: string;
	readonly bodyDigest: string;
	readonly padding: string;
	readonly paddingDigest: string;
}

/** Entry instances of the last look-up, until they expire. */
interface CachedEntries {
	readonly endpoints: readonly Endpoint[];
	readonly untilMs: number;
}

/** Outcome of one attempt of a call. The call is not retried after a final outcome. */
type AttemptOutcome = Pick<CallRecord, 'ended' | 'status' | 'reason' | 'execution' | 'callId' | 'detail'> & {readonly isFinal: boolean};

/** A caller with its own cache of entry instances. */
export class Caller {
	readonly #options: CallerOptions;
	readonly #agent: Agent;
	readonly #attemptsByKey = new Map<string, number>();
	#lookUps = 0;
	#cached: CachedEntries = {endpoints: [], untilMs: 0};

	constructor(options: CallerOptions) {
		this.#options = options;
		this.#agent = new Agent({
			localAddress: options.localAddress, connect: {timeout: LOOKUP_TIMEOUT_MS}, connections: 64, pipelining: 1,
		});
	}

	/** Sends one call, with retries, and waits for its final response. Never rejects. */
	async call(options: CallOptions): Promise<CallRecord> {
		const {service, method = 'GET', path, key, timeoutMs} = options;
		const startedAtMs = Date.now();
		let last: AttemptOutcome = {ended: 'silent', detail: 'never sent', isFinal: false};
		let tries = 0;
		while (tries < MAX_TRIES && Date.now() - startedAtMs < timeoutMs) {
			const endpoint = await this.#findEndpoint({service, tries});
			tries += 1;
			if (endpoint) {
				last = await this.#attempt({options, endpoint, timeLeftMs: timeoutMs - (Date.now() - startedAtMs)});
			}

			const isRetryable = method === 'GET' || key !== undefined;
			if (last.isFinal || !isRetryable || !(this.#options.isRetrying ?? true)) {
				break;
			}

			this.#cached = {endpoints: this.#cached.endpoints.filter(cached => cached !== endpoint), untilMs: this.#cached.untilMs};
			await pause(RETRY_PAUSE_MS);
		}

		const {isFinal: _, ...ended} = last;
		return {
			service, method, path, key, startedAtMs, elapsedMs: Date.now() - startedAtMs, tries, ...ended,
		};
	}

	/** Closes the caller's connections. */
	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	async #attempt({options, endpoint, timeLeftMs}: {readonly options: CallOptions; readonly endpoint: Endpoint; readonly timeLeftMs: number}): Promise<AttemptOutcome> {
		const {service, method = 'GET', path, body, key} = options;
		const attempt = (this.#attemptsByKey.get(key ?? '') ?? 0) + 1;
		if (key !== undefined) {
			this.#attemptsByKey.set(key, attempt);
		}

		try {
			const response = await request(`http://${endpoint.address}:${endpoint.port}/v1/services/${service}${path}`, {
				method: method as 'GET',
				dispatcher: this.#agent,
				body,
				headers: {'x-request-timeout-ms': String(Math.max(1, Math.floor(timeLeftMs))), ...(key !== undefined && {'idempotency-key': key, 'x-call-attempt': String(attempt)})},
				signal: AbortSignal.timeout(Math.max(1, timeLeftMs) + RESPONSE_GRACE_MS),
			});
			const text = await response.body.text();
			const callId = String(response.headers['x-call-id'] ?? '');
			if (response.headers['content-type'] === 'application/problem+json') {
				const problem = JSON.parse(text) as {title: RefusalReason; execution: Execution; detail: string};
				const mayRetry = problem.title === 'instance-leaving' || problem.title === 'configuration-missing';
				return {
					ended: 'refused', status: response.statusCode, reason: problem.title, execution: problem.execution, callId, detail: problem.detail, isFinal: !mayRetry,
				};
			}

			const mismatch = findMismatch({answer: JSON.parse(text) as BackendResponse, options, callId});
			return {
				ended: mismatch === undefined ? 'answered' : 'wrong', status: response.statusCode, callId, detail: mismatch, isFinal: true,
			};
		} catch (error) {
			return {ended: 'silent', detail: String((error as Error).message), isFinal: false};
		}
	}

	async #findEndpoint({service, tries}: {readonly service: string; readonly tries: number}): Promise<Endpoint | undefined> {
		if (this.#cached.endpoints.length === 0 || this.#cached.untilMs <= Date.now()) {
			await this.#lookUp({service, tries});
		}

		return this.#cached.endpoints[0];
	}

	async #lookUp({service, tries}: {readonly service: string; readonly tries: number}): Promise<void> {
		const known = this.#options.bootstrap();
		const endpoint = known[(tries + this.#lookUps) % Math.max(1, known.length)];
		this.#lookUps += 1;
		if (!endpoint) {
			return;
		}

		try {
			const response = await request(`http://${endpoint.address}:${endpoint.port}/v1/entries?service=${service}`, {
				dispatcher: this.#agent, signal: AbortSignal.timeout(LOOKUP_TIMEOUT_MS),
			});
			const answer = await response.body.json() as {entries?: Endpoint[]; maxAgeSeconds: number};
			if (answer.entries) {
				this.#cached = {endpoints: answer.entries, untilMs: Date.now() + (answer.maxAgeSeconds * 1000)};
			}
		} catch {
			// The next attempt queries another instance.
		}
	}
}

/** Creates a unique idempotency key: a UUID of version 7 (RFC 9562), whose first 48 bits are the time. */
export function createKey(): string {
	const random = randomUUID();
	const time = Date.now().toString(16).padStart(12, '0');
	return `${time.slice(0, 8)}-${time.slice(8)}-7${random.slice(15)}`;
}

/** Options of {@link findMismatch}. */
export interface FindMismatchOptions {
	readonly answer: BackendResponse;
	readonly options: Omit<CallOptions, 'timeoutMs'>;
	/** Call id from the response headers. */
	readonly callId: string;
}

/** Returns what is wrong with a response body, or undefined if it is complete and belongs to the call. */
export function findMismatch({answer, options, callId}: FindMismatchOptions): string | undefined {
	if (answer.method !== (options.method ?? 'GET') || answer.path !== options.path) {
		return `sent ${options.method ?? 'GET'} ${options.path}, received the response to ${answer.method} ${answer.path}`;
	}

	// A call with a key may get the stored response of an earlier attempt, which has another call id.
	if (options.key === undefined && answer.callId !== callId) {
		return `call ${callId} received the response to call ${answer.callId}`;
	}

	if (answer.bodyDigest !== digest(options.body ?? '')) {
		return 'the backend server received a different body';
	}

	return answer.paddingDigest === digest(answer.padding) ? undefined : 'the padding of the response does not match its digest';
}

function digest(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}

async function pause(durationMs: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}
