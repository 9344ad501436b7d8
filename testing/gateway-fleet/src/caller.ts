/** Sends requests to a gateway as callers of the users' platform do. */
import {randomUUID} from 'node:crypto';
import {Agent, request} from 'undici';
import type {Endpoint} from '@pomelopick/core.types';
import {HOST} from './configuration.js';
import type {Play} from './play-answer.js';
import {PLAY_HEADER, WORK_HEADER} from './serve-request.js';

/** Options of {@link callGateway}. */
export interface CallGatewayOptions {
	readonly endpoint: Endpoint;
	readonly path?: string;
	readonly method?: 'GET' | 'POST';
	readonly body?: string;
	/** How servers treat the request, one play for each arrival. */
	readonly plays?: readonly Play[];
	/** Object that the request concerns, sent as its affinity key. */
	readonly object?: string;
	/** Time until the deadline that the caller states, in milliseconds. */
	readonly timeLeftMs?: number;
	/** Time for which servers work on the request before they play it, in milliseconds. */
	readonly workMs?: number;
	readonly host?: string;
	/** Key of the caller; undefined: it sends none. */
	readonly key?: string | undefined;
	/** Further headers. */
	readonly headers?: Readonly<Record<string, string | string[]>>;
	readonly requestId?: string;
	/** Aborts the request on the caller's side. */
	readonly signal?: AbortSignal;
}

/** Response that the caller received. */
export interface CallerResponse {
	readonly requestId: string;
	/** 0 if the connection ended without a response. */
	readonly status: number;
	readonly text: string;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** Returns whether a status guarantees that the request was not run. */
export function guaranteesNotRun(status: number): boolean {
	return [408, 421, 429, 503].includes(status);
}

/** Sends one request on a new connection. The status is 0 if the connection ends without a response. */
export async function callGateway(options: CallGatewayOptions): Promise<CallerResponse> {
	const {endpoint: {address, port}, path = '/read/x', method = 'GET', body, plays = ['whole'], object = 'x', timeLeftMs = 3000, workMs = 0} = options;
	const {host = HOST, requestId = randomUUID(), key, headers = {}, signal} = options;
	const agent = new Agent({pipelining: 0});
	try {
		const response = await request(`http://${address}:${port}${path}`, {
			method,
			body,
			signal,
			dispatcher: agent,
			headers: {
				host, 'x-request-id': requestId, 'x-affinity-key': object, 'x-deadline-ms': String(timeLeftMs), [PLAY_HEADER]: plays.join(','), [WORK_HEADER]: String(workMs), ...(key !== undefined && {authorization: `Bearer ${key}`}), ...headers,
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
