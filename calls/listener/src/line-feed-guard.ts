/**
 * Rejects heads with a line that ends in a bare line feed.
 *
 * The runtime's parser (llhttp 8) takes a bare line feed at the end of a request line and of a head. A proxy in front of the
 * listener may see other boundaries between requests there, and pass on a request that it has not checked.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

const CARRIAGE_RETURN = 0x0D;
const LINE_FEED = 0x0A;
/** The bare line feeds that the parser takes follow the version of a request line, or the line feed of the last header. */
const ACCEPTED_LINE_FEED = /HTTP\/\d\.\d\n|\r\n\n/gu;

/** Watches the input of connections, and makes the parser reject bare line feeds in heads. */
export class LineFeedGuard {
	/** The newest request of each connection. */
	readonly #newest = new WeakMap<Socket, IncomingMessage>();

	/** Adds a request whose head was read. */
	noteRequest(request: IncomingMessage): void {
		this.#newest.set(request.socket, request);
	}

	/** Watches a connection from its start. */
	watch(socket: Socket): void {
		let lastByte: number | undefined;
		const push = socket.push.bind(socket);
		// Whether a line feed belongs to a head is known only once everything before it was parsed, so that it has to begin a piece of input.
		// The end of the input has no bytes.
		socket.push = (input: Uint8Array | undefined) => input ? splitAtLineFeeds(input).map(piece => push(piece)).at(-1)! : push(input);
		// With a listener for data, the runtime passes input through it in place of handing it to the parser directly.
		socket.prependListener('data', (piece: Uint8Array) => {
			if (piece[0] === LINE_FEED && lastByte !== undefined && lastByte !== CARRIAGE_RETURN && !this.#isInBody(socket)) {
				// The parser takes no NUL in a head and reports an error at it.
				piece[0] = 0;
			}

			lastByte = piece.at(-1);
		});
	}

	#isInBody(socket: Socket): boolean {
		return this.#newest.get(socket)?.complete === false;
	}
}

/** Splits input in front of each bare line feed that the parser takes in a head; such line feeds may also belong to a body. */
function splitAtLineFeeds(input: Uint8Array): readonly Uint8Array[] {
	const text = Buffer.from(input.buffer, input.byteOffset, input.byteLength).toString('latin1');
	const starts = Array.from(text.matchAll(ACCEPTED_LINE_FEED), match => match.index + match[0].length - 1);
	return [0, ...starts].map((start, index, all) => input.subarray(start, all[index + 1])).filter(piece => piece.length > 0);
}
