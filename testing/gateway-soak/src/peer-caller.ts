/** A caller that behaves as a random play says. */
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Endpoint} from '@pomelopick/core.types';
import {HOST} from '@pomelopick/testing.gateway-fleet';
import {toTarget} from './peer-plays.js';
import type {CallerPlay, CallerRequest} from './peer-plays.js';

const SLOW_PAUSE_MS = 2;
const LATE_MS = 300;
const BETWEEN_REQUESTS_MS = 20;
/** Time after which a half-closed connection is destroyed, in milliseconds. */
const HALF_CLOSED_MS = 500;

/** Options of {@link playCaller}. */
export interface PlayCallerOptions {
	readonly endpoint: Endpoint;
	readonly play: CallerPlay;
	/** Returns the path for a request by its index. */
	readonly pathOf: (index: number) => string;
	readonly name: string;
}

/** Plays one caller; resolves when it has left. */
export async function playCaller({endpoint, play, pathOf, name}: PlayCallerOptions): Promise<void> {
	const socket = connect({
		host: endpoint.address, port: endpoint.port, noDelay: true, allowHalfOpen: true,
	});
	socket.on('error', () => {/* The gateway may reset the connection. */});
	startReading({socket, reading: play.reading});
	for (const [index, request] of play.requests.entries()) {
		const bytes = encodeRequest({request, path: pathOf(index), id: `${name}-${index}`});
		socket.write(bytes.subarray(0, Math.floor(bytes.length * request.percent / 100)));
		if (!play.isPipelining) {
			await sleep(BETWEEN_REQUESTS_MS);
		}
	}

	await sleep(play.leaveAfterMs);
	if (play.leave === 'half-close') {
		socket.end();
		await sleep(HALF_CLOSED_MS);
	} else if (play.leave === 'reset') {
		socket.resetAndDestroy();
	}

	socket.destroy();
}

function startReading({socket, reading}: {readonly socket: Socket; readonly reading: CallerPlay['reading']}): void {
	switch (reading) {
		case 'fast': {
			socket.resume();

			break;
		}

		case 'slow': {
			socket.on('data', () => {
				socket.pause();
				setTimeout(() => socket.resume(), SLOW_PAUSE_MS);
			});

			break;
		}

		case 'late': {
			setTimeout(() => socket.resume(), LATE_MS);

			break;
		}
	// No default
	}
}

function encodeRequest({request, path, id}: {readonly request: CallerRequest; readonly path: string; readonly id: string}): Uint8Array {
	const {method, target, headers, bodyBytes, isChunked} = request;
	const framing = bodyBytes === 0 ? [] : [isChunked ? 'transfer-encoding: chunked' : `content-length: ${bodyBytes}`];
	const head = [`${method} ${toTarget({target, path})} HTTP/1.1`, `host: ${HOST}`, `x-request-id: ${id}`, 'x-deadline-ms: 1500', ...framing, ...headers, '', ''].join('\r\n');
	const body = 'u'.repeat(bodyBytes);
	return Buffer.from(`${head}${isChunked && bodyBytes > 0 ? `${bodyBytes.toString(16)}\r\n${body}\r\n0\r\n\r\n` : body}`, 'latin1');
}
