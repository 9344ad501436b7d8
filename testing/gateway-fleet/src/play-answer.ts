/** Responses of a backend server stand-in to the requests that it runs, correct and faulty ones. */
import type {ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

/** How a server treats a request that reaches it. */
export type Play =
	| 'whole'
	| 'slow'
	| 'shed'
	| 'late-shed'
	| 'cut'
	| 'reset'
	| 'late-reset'
	| 'silent'
	| 'unframed'
	| 'unframed-reset'
	| 'extra'
	| 'unstamped'
	| 'other-id'
	| 'failure'
	| 'crash'
	| 'refuse-unstamped';

/** Time after which the play `slow` sends the response, in milliseconds. */
export const SLOW_MS = 400;
/** Time after which the plays `late-shed` and `late-reset` reject the request and reset the connection, in milliseconds. */
export const LATE_MS = 1200;

/** Options of {@link respond}. */
export interface RespondOptions {
	/** How to respond. `shed` and `late-shed` are handled earlier, as they do not run the request. */
	readonly play: Play;
	readonly name: string;
	readonly requestId: string;
	readonly response: ServerResponse;
	readonly crash: () => void;
}

/** Responds to a request, or does not, as its play says. */
export async function respond({play, name, requestId, response, crash}: RespondOptions): Promise<void> {
	const text = JSON.stringify({requestId, server: name});
	const headers = {
		'content-length': String(text.length), 'x-request-id': requestId, 'x-server-stamp': `${name}.${requestId}`, 'x-server-load': '1,0,4',
	};
	const raw = (lines: readonly string[]): string => `${lines.join('\r\n')}\r\n\r\n`;
	const socket = response.socket!;
	switch (play) {
		case 'slow': {
			await sleep(SLOW_MS);
			response.writeHead(200, headers).end(text);
			break;
		}

		case 'cut': {
			response.writeHead(200, headers).write(text.slice(0, 5));
			setTimeout(() => socket.destroy(), 10);
			break;
		}

		case 'reset': {
			socket.resetAndDestroy();
			break;
		}

		case 'late-reset': {
			await sleep(LATE_MS);
			socket.resetAndDestroy();
			break;
		}

		case 'silent': {
			// No response is sent.
			break;
		}

		case 'unframed':
		case 'unframed-reset': {
			socket.write(`${raw(['HTTP/1.1 200 OK', `x-request-id: ${requestId}`, `x-server-stamp: ${name}.${requestId}`, 'connection: close'])}${text}`, () => {
				if (play === 'unframed') {
					socket.end();
				} else {
					socket.resetAndDestroy();
				}
			});
			break;
		}

		case 'extra': {
			response.writeHead(200, headers).end(text);
			socket.write(raw(['HTTP/1.1 200 OK', 'x-request-id: somebody-else', 'x-server-stamp: other', 'content-length: 0']));
			break;
		}

		case 'unstamped': {
			response.writeHead(200, {'content-length': headers['content-length'], 'x-request-id': requestId}).end(text);
			break;
		}

		case 'other-id': {
			response.writeHead(200, {...headers, 'x-request-id': 'somebody-else'}).end(text);
			break;
		}

		case 'failure': {
			response.writeHead(500, headers).end(text);
			break;
		}

		case 'refuse-unstamped': {
			response.writeHead(503, {'content-length': '0', 'x-request-id': requestId}).end();
			break;
		}

		case 'crash': {
			crash();
			break;
		}

		case 'shed':
		case 'late-shed':
		case 'whole': {
			response.writeHead(200, headers).end(text);
			break;
		}
	}
}
