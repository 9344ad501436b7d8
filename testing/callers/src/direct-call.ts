/** Sends one call to a given instance, without look-up and retries. */
import {request} from 'undici';
import type {Dispatcher} from 'undici';
import type {Endpoint, Execution, RefusalReason} from '@pomelopick/core.types';

/** Time that the caller waits for a response beyond the deadline. */
const RESPONSE_GRACE_MS = 1500;

/** Options of {@link callDirectly}. */
export interface CallDirectlyOptions {
	readonly endpoint: Endpoint;
	readonly service: string;
	readonly method?: 'GET' | 'POST';
	/** Path and query below the service. */
	readonly path: string;
	readonly body?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly timeoutMs: number;
	readonly dispatcher?: Dispatcher;
}

/** Outcome of the call. `silent` means that no final response arrived by the deadline plus a grace period. */
export interface DirectResponse {
	readonly ended: 'answered' | 'refused' | 'silent';
	readonly status?: number;
	readonly reason?: RefusalReason;
	readonly execution?: Execution;
	readonly text: string;
	readonly elapsedMs: number;
}

/** Sends the call. Never rejects. */
export async function callDirectly({endpoint, service, method = 'GET', path, body, headers = {}, timeoutMs, dispatcher}: CallDirectlyOptions): Promise<DirectResponse> {
	const startedAtMs = performance.now();
	const elapsed = (): number => performance.now() - startedAtMs;
	try {
		const response = await request(`http://${endpoint.address}:${endpoint.port}/v1/services/${service}${path}`, {
			method, body, dispatcher, headers: {'x-request-timeout-ms': String(timeoutMs), ...headers}, signal: AbortSignal.timeout(timeoutMs + RESPONSE_GRACE_MS),
		});
		const text = await response.body.text();
		if (response.headers['content-type'] !== 'application/problem+json') {
			return {
				ended: 'answered', status: response.statusCode, text, elapsedMs: elapsed(),
			};
		}

		const {title, execution} = JSON.parse(text) as {title: RefusalReason; execution: Execution};
		return {
			ended: 'refused', status: response.statusCode, reason: title, execution, text, elapsedMs: elapsed(),
		};
	} catch (error) {
		return {ended: 'silent', text: String((error as Error).message), elapsedMs: elapsed()};
	}
}
