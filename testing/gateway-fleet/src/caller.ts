/** A caller of the users' platform. */
import {randomUUID} from 'node:crypto';
import {Agent, request} from 'undici';
import type {Endpoint} from '@pomelopick/core.types';
import {HOST} from './configuration.js';
import type {Play} from './play-answer.js';
import {PLAY_HEADER} from './registered-server.js';

/** Options of {@link callGateway}. */
export interface CallGatewayOptions {
	readonly endpoint: Endpoint;
	readonly path?: string;
	readonly method?: 'GET' | 'POST';
	readonly body?: string;
	/** How the arrivals of the request are played at servers. */
	readonly plays?: readonly Play[];
	/** Object that the request concerns. */
	readonly object?: string;
	/** Time that the caller waits, in milliseconds. */
	readonly timeLeftMs?: number;
	readonly host?: string;
	readonly requestId?: string;
	/** Ends the request from the caller's side. */
	readonly signal?: AbortSignal;
}

/** What the caller got. */
export interface CallerAnswer {
	readonly requestId: string;
	/** 0 when the connection ended without an answer. */
	readonly status: number;
	readonly text: string;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** Whether a status promises that nothing was run. */
export function isPromise(status: number): boolean {
	return [408, 421, 429, 503].includes(status);
}

/** Sends one request over a connection of its own; a connection that ends without an answer has status 0. */
export async function callGateway(options: CallGatewayOptions): Promise<CallerAnswer> {
	const {endpoint: {address, port}, path = '/read/x', method = 'GET', body, plays = ['whole'], object = 'x', timeLeftMs = 3000} = options;
	const {host = HOST, requestId = randomUUID(), signal} = options;
	const agent = new Agent({pipelining: 0});
	try {
		const response = await request(`http://${address}:${port}${path}`, {
			method,
			body,
			signal,
			dispatcher: agent,
			headers: {
				host, 'x-request-id': requestId, 'x-affinity-key': object, 'x-deadline-ms': String(timeLeftMs), [PLAY_HEADER]: plays.join(','),
			},
		});
		return {
			requestId, status: response.statusCode, text: await response.body.text(), headers: response.headers,
		};
	} catch {
		return {
			requestId, status: 0, text: '', headers: {},
		};
	} finally {
		await agent.destroy();
	}
}
