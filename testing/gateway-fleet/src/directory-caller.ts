/** Caller that resolves endpoints through the directory and retries requests that may safely be sent again. */
import {callGateway, guaranteesNotRun} from './caller.js';
import type {CallerResponse, CallGatewayOptions} from './caller.js';
import {HOST} from './configuration.js';
import {endpointOf} from './gateway-fleet.js';

/** Timeout of a query to one directory, in milliseconds. */
const DIRECTORY_TIMEOUT_MS = 1000;
/** Time that a caller waits beyond the deadline it states before it aborts the attempt, in milliseconds. */
const SILENCE_GRACE_MS = 500;
/** Maximum number of attempts of a request. */
const MAX_ATTEMPTS = 4;
const MILLISECONDS_PER_SECOND = 1000;

/** Options of {@link DirectoryCaller}. */
export interface DirectoryCallerOptions {
	/** Directories in the order in which they are queried, as `IP:PORT`. */
	readonly directories: () => readonly string[];
	readonly region: string;
	readonly failureDomain: string;
	/** Returns a random number from 0 (inclusive) to 1 (exclusive). */
	readonly random: () => number;
}

/** Outcome of a request and its retries. */
export interface DirectoryCall {
	/** Responses to the attempts. Each attempt has its own request id. The last response is final. */
	readonly answers: readonly CallerResponse[];
	/** Whether the last attempt got no response before the caller's deadline. */
	readonly isSilent: boolean;
	readonly elapsedMs: number;
}

/** Endpoints that a directory returned, until they expire. */
interface ResolvedEndpoints {
	readonly endpoints: readonly string[];
	readonly expiresAtMs: number;
}

/** Caller that caches the endpoints of the directory and avoids endpoints that did not respond, until it queries a directory again. */
export class DirectoryCaller {
	readonly #options: DirectoryCallerOptions;
	#resolved: ResolvedEndpoints = {endpoints: [], expiresAtMs: 0};
	readonly #failedEndpoints = new Set<string>();

	constructor(options: DirectoryCallerOptions) {
		this.#options = options;
	}

	/** Sends a request. Reads are retried after any failure, writes only if the status guarantees that the request was not run. */
	async call(request: Pick<CallGatewayOptions, 'method' | 'path' | 'body' | 'object' | 'plays' | 'key'> & {readonly timeLeftMs: number}): Promise<DirectoryCall> {
		const startedAtMs = Date.now();
		const answers: CallerResponse[] = [];
		for (;;) {
			const leftMs = request.timeLeftMs - (Date.now() - startedAtMs);
			const answer = await this.#attempt({...request, timeLeftMs: leftMs});
			answers.push(answer);
			const elapsedMs = Date.now() - startedAtMs;
			const mayRetry = answer.status !== 200 && (guaranteesNotRun(answer.status) || request.method !== 'POST');
			if (!mayRetry || answers.length >= MAX_ATTEMPTS || elapsedMs >= request.timeLeftMs) {
				return {answers, isSilent: answer.status === 0 && elapsedMs >= request.timeLeftMs, elapsedMs};
			}

			await waitForRetryAfter(answer);
		}
	}

	async #attempt(request: Omit<CallGatewayOptions, 'endpoint'> & {readonly timeLeftMs: number}): Promise<CallerResponse> {
		const endpoints = await this.#findEndpoints();
		const working = endpoints.filter(endpoint => !this.#failedEndpoints.has(endpoint));
		const choices = working.length > 0 ? working : endpoints;
		const endpoint = choices[Math.floor(this.#options.random() * choices.length)]!;
		const answer = await callGateway({...request, endpoint: endpointOf(endpoint), signal: AbortSignal.timeout(Math.max(1, request.timeLeftMs) + SILENCE_GRACE_MS)});
		if (answer.status === 0) {
			this.#failedEndpoints.add(endpoint);
		}

		return answer;
	}

	/** Returns the cached endpoints until they expire, and after that if no directory responds. */
	async #findEndpoints(): Promise<readonly string[]> {
		if (Date.now() < this.#resolved.expiresAtMs) {
			return this.#resolved.endpoints;
		}

		for (const directory of this.#options.directories()) {
			const found = await this.#resolve(directory);
			if (found) {
				this.#resolved = found;
				this.#failedEndpoints.clear();
				break;
			}
		}

		return this.#resolved.endpoints;
	}

	async #resolve(directory: string): Promise<ResolvedEndpoints | undefined> {
		const {region, failureDomain} = this.#options;
		try {
			const response = await fetch(`http://${directory}/pomelopick/resolve?name=${HOST}&region=${region}&zone=${failureDomain}`, {signal: AbortSignal.timeout(DIRECTORY_TIMEOUT_MS)});
			const answer = await response.json() as {readonly addresses?: readonly string[]; readonly 'ttl-s'?: number};
			return response.ok && answer.addresses ? {endpoints: answer.addresses, expiresAtMs: Date.now() + ((answer['ttl-s'] ?? 0) * MILLISECONDS_PER_SECOND)} : undefined;
		} catch {
			// A directory that is down is skipped, as real callers do.
			return undefined;
		}
	}
}

async function waitForRetryAfter({headers}: CallerResponse): Promise<void> {
	const seconds = Number(headers['retry-after'] ?? 0);
	await new Promise(resolve => {
		setTimeout(resolve, seconds * MILLISECONDS_PER_SECOND);
	});
}
