/** One caller: looks up entry instances, sends calls, and checks that each answer is whole and its own. */
import {createHash, randomUUID} from 'node:crypto';
import {Agent, request} from 'undici';
import type {Endpoint, Execution, RefusalReason} from '@pomelopick/core.types';

const LOOKUP_TIMEOUT_MS = 1000;
const ANSWER_GRACE_MS = 1500;
const RETRY_PAUSE_MS = 50;
const MOST_TRIES = 6;

/** How one call ended for its caller. */
export interface CallRecord {
	readonly service: string;
	readonly method: string;
	readonly path: string;
	readonly key: string | undefined;
	readonly startedAtMs: number;
	readonly elapsedMs: number;
	/** `silent`: no final answer by the deadline and some grace. `wrong`: an answer that is not the whole own one. */
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
	/** Address that the caller calls from; sets the client block that it falls in. */
	readonly localAddress?: string;
	/** Entry instances known from before, for the first look-up. */
	readonly bootstrap: () => readonly Endpoint[];
	/** Whether a call that got no answer is sent again to another instance. */
	readonly triesAgain?: boolean;
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

/** Answer of a backend server stand-in. */
export interface Answer {
	readonly callId: string;
	readonly method: string;
	readonly path: string;
	readonly bodyDigest: string;
	readonly padding: string;
	readonly paddingDigest: string;
}

interface CachedEntries {
	readonly endpoints: readonly Endpoint[];
	readonly untilMs: number;
}

type Try = Pick<CallRecord, 'ended' | 'status' | 'reason' | 'execution' | 'callId' | 'detail'> & {readonly isFinal: boolean};

/** A caller with its own cache of entry instances. */
export class Caller {
	readonly #options: CallerOptions;
	readonly #agent: Agent;
	readonly #copiesByKey = new Map<string, number>();
	#lookUps = 0;
	#cached: CachedEntries = {endpoints: [], untilMs: 0};

	constructor(options: CallerOptions) {
		this.#options = options;
		this.#agent = new Agent({
			localAddress: options.localAddress, connect: {timeout: LOOKUP_TIMEOUT_MS}, connections: 64, pipelining: 1,
		});
	}

	/** Sends one call and waits for its final answer. Never rejects. */
	async call(options: CallOptions): Promise<CallRecord> {
		const {service, method = 'GET', path, key, timeoutMs} = options;
		const startedAtMs = Date.now();
		let last: Try = {ended: 'silent', detail: 'never sent', isFinal: false};
		let tries = 0;
		while (tries < MOST_TRIES && Date.now() - startedAtMs < timeoutMs) {
			const endpoint = await this.#endpointFor({service, tries});
			tries += 1;
			if (endpoint) {
				last = await this.#try({options, endpoint, timeLeftMs: timeoutMs - (Date.now() - startedAtMs)});
			}

			const isRepeatable = method === 'GET' || key !== undefined;
			if (last.isFinal || !isRepeatable || !(this.#options.triesAgain ?? true)) {
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

	async #try({options, endpoint, timeLeftMs}: {readonly options: CallOptions; readonly endpoint: Endpoint; readonly timeLeftMs: number}): Promise<Try> {
		const {service, method = 'GET', path, body, key} = options;
		const copy = (this.#copiesByKey.get(key ?? '') ?? 0) + 1;
		if (key !== undefined) {
			this.#copiesByKey.set(key, copy);
		}

		try {
			const response = await request(`http://${endpoint.address}:${endpoint.port}/v1/services/${service}${path}`, {
				method: method as 'GET',
				dispatcher: this.#agent,
				body,
				headers: {'x-request-timeout-ms': String(Math.max(1, Math.floor(timeLeftMs))), ...(key !== undefined && {'idempotency-key': key, 'x-call-attempt': String(copy)})},
				signal: AbortSignal.timeout(Math.max(1, timeLeftMs) + ANSWER_GRACE_MS),
			});
			const text = await response.body.text();
			const callId = String(response.headers['x-call-id'] ?? '');
			if (response.headers['content-type'] === 'application/problem+json') {
				const problem = JSON.parse(text) as {title: RefusalReason; execution: Execution; detail: string};
				const comesBack = problem.title === 'instance-leaving' || problem.title === 'configuration-missing';
				return {
					ended: 'refused', status: response.statusCode, reason: problem.title, execution: problem.execution, callId, detail: problem.detail, isFinal: !comesBack,
				};
			}

			const fault = findFault({answer: JSON.parse(text) as Answer, options, callId});
			return {
				ended: fault === undefined ? 'answered' : 'wrong', status: response.statusCode, callId, detail: fault, isFinal: true,
			};
		} catch (error) {
			return {ended: 'silent', detail: String((error as Error).message), isFinal: false};
		}
	}

	async #endpointFor({service, tries}: {readonly service: string; readonly tries: number}): Promise<Endpoint | undefined> {
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
			// The next try asks another instance.
		}
	}
}

/** Creates a key that no other call uses: a UUID of version 7 (RFC 9562), whose first 48 bits are the time. */
export function createKey(): string {
	const random = randomUUID();
	const time = Date.now().toString(16).padStart(12, '0');
	return `${time.slice(0, 8)}-${time.slice(8)}-7${random.slice(15)}`;
}

/** Options of {@link findFault}. */
export interface FindFaultOptions {
	readonly answer: Answer;
	readonly options: Omit<CallOptions, 'timeoutMs'>;
	/** Identifier in the answer's head. */
	readonly callId: string;
}

/** What is wrong with an answer; undefined when it is the whole own answer. */
export function findFault({answer, options, callId}: FindFaultOptions): string | undefined {
	if (answer.method !== (options.method ?? 'GET') || answer.path !== options.path) {
		return `asked ${options.method ?? 'GET'} ${options.path}, got the answer to ${answer.method} ${answer.path}`;
	}

	// A keyed call may get the answer of its first instance, whose call id is another.
	if (options.key === undefined && answer.callId !== callId) {
		return `call ${callId} got the answer of call ${answer.callId}`;
	}

	if (answer.bodyDigest !== digest(options.body ?? '')) {
		return 'the backend server received another body';
	}

	return answer.paddingDigest === digest(answer.padding) ? undefined : 'the answer is not whole';
}

function digest(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}

async function pause(durationMs: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}
