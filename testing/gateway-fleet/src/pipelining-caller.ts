/** A caller on one plain connection, which sends requests without waiting for responses. */
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import type {Endpoint} from '@pomelopick/core.types';
import {HOST} from './configuration.js';
import type {Play} from './play-answer.js';
import {PLAY_HEADER, WORK_HEADER} from './serve-request.js';

const HEAD_END = '\r\n\r\n';

/** Options of {@link PipeliningCaller.send}. */
export interface SendOptions {
	readonly requestId: string;
	readonly path?: string;
	readonly method?: 'GET' | 'POST';
	readonly body?: string;
	/** How servers treat the request, one play for each arrival. */
	readonly plays?: readonly Play[];
	/** Time for which servers work on the request, in milliseconds. */
	readonly workMs?: number;
	/** Time until the deadline that the caller states, in milliseconds. */
	readonly timeLeftMs?: number;
	/** Further header lines. */
	readonly headers?: readonly string[];
}

/** A complete response, or the complete head of one whose body is incomplete. */
export interface PipelinedResponse {
	readonly requestId: string;
	readonly status: number;
	readonly isComplete: boolean;
	/** Whether the response tells the caller that the connection closes after it. */
	readonly closesConnection: boolean;
}

/** A caller on one connection. Responses must have a content length. */
export class PipeliningCaller {
	/** Monotonic time at which the connection ended, in milliseconds; undefined while it is open. */
	endedAtMs: number | undefined;
	readonly #socket: Socket;
	#received = '';

	constructor({address, port}: Endpoint) {
		this.#socket = connect({host: address, port, noDelay: true});
		this.#socket.setEncoding('latin1');
		this.#socket.on('data', (piece: string) => {
			this.#received += piece;
		});
		this.#socket.on('error', () => {/* A reset shows as missing responses. */});
		this.#socket.once('close', () => {
			this.endedAtMs = performance.now();
		});
	}

	/** Responses in the order of their arrival. */
	get responses(): readonly PipelinedResponse[] {
		const responses: PipelinedResponse[] = [];
		let start = 0;
		for (;;) {
			const headEnd = this.#received.indexOf(HEAD_END, start);
			if (headEnd === -1) {
				return responses;
			}

			const head = this.#received.slice(start, headEnd);
			const bodyEnd = headEnd + HEAD_END.length + Number(/^content-length: (\d+)$/imu.exec(head)?.[1] ?? 0);
			responses.push({
				requestId: /^x-request-id: (.*)$/imu.exec(head)?.[1] ?? '',
				status: Number(head.split(' ')[1]),
				isComplete: bodyEnd <= this.#received.length,
				closesConnection: /^connection: close$/imu.test(head),
			});
			start = bodyEnd;
		}
	}

	/** Sends a request behind those that were sent before. */
	send({requestId, path = '/read/x', method = 'GET', body = '', plays = ['whole'], workMs = 0, timeLeftMs = 3000, headers = []}: SendOptions): void {
		const lines = [
			`${method} ${path} HTTP/1.1`,
			`host: ${HOST}`,
			`x-request-id: ${requestId}`,
			`x-deadline-ms: ${timeLeftMs}`,
			`${PLAY_HEADER}: ${plays.join(',')}`,
			`${WORK_HEADER}: ${workMs}`,
			...headers,
			...(method === 'POST' ? [`content-length: ${Buffer.byteLength(body)}`] : []),
		];
		this.#socket.write(`${lines.join('\r\n')}${HEAD_END}${body}`);
	}

	/** Sends requests in one piece, so that the gateway reads all of them before it handles the first. */
	sendTogether(requests: readonly SendOptions[]): void {
		this.#socket.cork();
		for (const request of requests) {
			this.send(request);
		}

		this.#socket.uncork();
	}

	/** Stops reading responses. */
	pause(): void {
		this.#socket.pause();
	}

	/** Reads responses again. */
	resume(): void {
		this.#socket.resume();
	}

	/** Resets the connection. */
	reset(): void {
		this.#socket.resetAndDestroy();
	}

	/** Closes the connection without waiting for responses. */
	close(): void {
		this.#socket.destroy();
	}
}
