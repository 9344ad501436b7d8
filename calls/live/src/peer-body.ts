/** Reads the bodies of requests from other instances. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';

const decoder = new TextDecoder();

/**
 * Reads the body of a request as text; rejects when its connection fails or closes before the end. An iteration over the
 * stream, as in `node:stream/consumers`, takes several times as long for a body of one chunk.
 */
export async function readPeerBody(request: IncomingMessage): Promise<string> {
	return new Promise((resolve, reject) => {
		const chunks: Uint8Array[] = [];
		const rejectClosed = (): void => {
			reject(new Error('the connection closed before the end of the body'));
		};

		if (request.destroyed) {
			rejectClosed();
			return;
		}

		request.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
		});
		request.once('end', () => {
			resolve(decoder.decode(Buffer.concat(chunks)));
		});
		request.once('error', reject);
		request.once('close', rejectClosed);
	});
}
