/** Sends one copy of a call to one instance and notes how it ended. */
import {Agent, request} from 'undici';
import type {Endpoint, Execution, RefusalReason} from '@pomelopick/core.types';
import {findMismatch} from '@pomelopick/testing.callers';
import type {BackendResponse} from '@pomelopick/testing.callers';
import type {CopyRecord} from './records.js';

const ANSWER_GRACE_MS = 1500;
const CONNECT_TIMEOUT_MS = 1000;

/** Options of {@link CopySender.send}. */
export interface SendCopyOptions {
	readonly instance: string;
	readonly endpoint: Endpoint;
	readonly service: string;
	readonly method: string;
	/** Path and query below the service. */
	readonly path: string;
	readonly body?: string;
	readonly key?: string;
	/** Whether the caller may say that it has sent no copy before. */
	readonly isFirst: boolean;
	readonly timeoutMs: number;
}

type Ending = Pick<CopyRecord, 'ended' | 'reason' | 'execution' | 'callId' | 'answeredCallId' | 'detail'>;

/** Sends copies over connections of its own. */
export class CopySender {
	readonly #agent = new Agent({connections: 64, pipelining: 1, connect: {timeout: CONNECT_TIMEOUT_MS}});

	/** Sends a copy and waits for its end. Never rejects. */
	async send(options: SendCopyOptions): Promise<CopyRecord> {
		const startedAtMs = Date.now();
		const ending = await this.#attempt(options);
		const {instance, method, path, key} = options;
		return {
			key, method, path, instance, startedAtMs, endedAtMs: Date.now(), ...ending,
		};
	}

	/** Closes the connections. */
	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	async #attempt(options: SendCopyOptions): Promise<Ending> {
		const {endpoint, service, method, path, body, key, isFirst, timeoutMs} = options;
		try {
			const response = await request(`http://${endpoint.address}:${endpoint.port}/v1/services/${service}${path}`, {
				method: method as 'GET',
				dispatcher: this.#agent,
				body,
				headers: {'x-request-timeout-ms': String(timeoutMs), ...(key !== undefined && {'idempotency-key': key}), ...(isFirst && {'x-call-attempt': '1'})},
				signal: AbortSignal.timeout(timeoutMs + ANSWER_GRACE_MS),
			});
			const text = await response.body.text();
			const callId = String(response.headers['x-call-id'] ?? '');
			return response.headers['content-type'] === 'application/problem+json'
				? toRefusal({text, callId})
				: toAnswer({text, callId, options});
		} catch (error) {
			return {ended: 'silent', detail: String((error as Error).message)};
		}
	}
}

function toRefusal({text, callId}: {readonly text: string; readonly callId: string}): Ending {
	const {title, execution, detail} = JSON.parse(text) as {title: RefusalReason; execution: Execution; detail: string};
	return {
		ended: 'refused', reason: title, execution, callId, detail,
	};
}

function toAnswer({text, callId, options}: {readonly text: string; readonly callId: string; readonly options: SendCopyOptions}): Ending {
	try {
		const answer = JSON.parse(text) as BackendResponse;
		const fault = findMismatch({answer, options, callId});
		return {
			ended: fault === undefined ? 'answered' : 'wrong', callId, answeredCallId: answer.callId, detail: fault,
		};
	} catch (error) {
		return {ended: 'wrong', callId, detail: `not an answer: ${(error as Error).message}: ${text.slice(0, 100)}`};
	}
}
