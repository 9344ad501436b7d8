/** Responses of a backend server stand-in to the requests that it runs, correct and faulty ones. */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** A play whose bytes are not those of an HTTP response with a length. */
type UnframedPlay = 'unframed' | 'unframed-reset' | 'unframed-large' | 'unframed-large-reset' | 'endless-head';

/** How a server treats a request that reaches it. */
export type Play =
	| UnframedPlay
	| 'whole'
	| 'slow'
	| 'shed'
	| 'late-shed'
	| 'cut'
	| 'reset'
	| 'late-reset'
	| 'silent'
	| 'surplus-bytes'
	| 'extra'
	| 'unstamped'
	| 'other-id'
	| 'failure'
	| 'crash'
	| 'fall-silent'
	| 'refuse-unstamped';

/** Time after which the play `slow` sends the response, in milliseconds. */
export const SLOW_MS = 400;
/** Time after which the plays `late-shed` and `late-reset` reject the request and reset the connection, in milliseconds. */
export const LATE_MS = 1200;

/** Size of the body of the plays `unframed-large` and `unframed-large-reset`, in bytes: more than the buffers on the way hold. */
const LARGE_BYTES = 4_000_000;
/** Time between the lines of the play `endless-head`, in milliseconds. */
const HEAD_LINE_MS = 5;

/** Options of {@link respond}. */
export interface RespondOptions {
	/** Fourth value of the load header, as text; undefined: the header has three values. */
	readonly workTime?: string | undefined;
	/** How to respond. `shed` and `late-shed` are handled earlier, as they do not run the request. */
	readonly play: Play;
	readonly name: string;
	readonly requestId: string;
	readonly response: ServerResponse;
	readonly crash: () => void;
	/** Makes the server stop answering without closing its connections. */
	readonly fallSilent: () => void;
}

/** Formats the load of a server with four slots. */
export function formatLoad({running, workTime}: {readonly running: number; readonly workTime: string | undefined}): string {
	return [running, 0, 4, ...(workTime === undefined ? [] : [workTime])].join(',');
}

/** Responds to a request, or does not, as its play says. */
export async function respond({workTime, play, name, requestId, response, crash, fallSilent}: RespondOptions): Promise<void> {
	const text = JSON.stringify({requestId, server: name});
	const headers = {
		'content-length': String(text.length), 'x-request-id': requestId, 'x-server-stamp': `${name}.${requestId}`, 'x-server-load': formatLoad({running: 1, workTime}),
	};
	const socket = response.socket!;
	if (isUnframed(play)) {
		unframedPlayers[play]({socket, headers, text});
		return;
	}

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

		case 'surplus-bytes': {
			response.writeHead(200, headers).end(text);
			socket.write(text);
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

		case 'fall-silent': {
			fallSilent();
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

/** Returns the bytes of the head of a response. */
function raw(lines: readonly string[]): string {
	return `${lines.join('\r\n')}\r\n\r\n`;
}

interface UnframedOptions {
	readonly socket: Socket;
	readonly headers: Readonly<Record<string, string>>;
	readonly text: string;
}

/** Sends a response whose length only its end tells, and then ends or resets the connection. */
function sendUnframed({socket, headers, text, isReset}: UnframedOptions & {readonly isReset: boolean}): void {
	const {'x-request-id': requestId, 'x-server-stamp': stamp} = headers;
	socket.write(`${raw(['HTTP/1.1 200 OK', `x-request-id: ${requestId}`, `x-server-stamp: ${stamp}`, 'connection: close'])}${text}`, () => {
		if (isReset) {
			socket.resetAndDestroy();
		} else {
			socket.end();
		}
	});
}

/** Sends header lines until the other side closes the connection. */
function sendEndlessHead({socket, text}: UnframedOptions): void {
	socket.write('HTTP/1.1 200 OK\r\n');
	const timer = setInterval(() => {
		socket.write(`x-line: ${text}\r\n`);
	}, HEAD_LINE_MS);
	socket.once('close', () => {
		clearInterval(timer);
	});
}

const unframedPlayers: Record<UnframedPlay, (options: UnframedOptions) => void> = {
	unframed(options) {
		sendUnframed({...options, isReset: false});
	},
	'unframed-reset'(options) {
		sendUnframed({...options, isReset: true});
	},
	'unframed-large'(options) {
		sendUnframed({...options, text: options.text.padEnd(LARGE_BYTES), isReset: false});
	},
	'unframed-large-reset'(options) {
		sendUnframed({...options, text: options.text.padEnd(LARGE_BYTES), isReset: true});
	},
	'endless-head': sendEndlessHead,
};

function isUnframed(play: Play): play is UnframedPlay {
	return Object.hasOwn(unframedPlayers, play);
}
