/** The HTTP side of the relay of changes: `GET /changes?after=INDEX`. */
import {Buffer} from 'node:buffer';
import type {RequestListener} from 'node:http';
import type {ChangeRelay} from './change-relay.js';
import {encodeUpstreamAnswer} from './relayed-changes.js';
import type {UpstreamAnswer} from './relayed-changes.js';

const PATH = '/changes';
const INDEX_PATTERN = /^\d{1,15}$/u;

/** Target of a question. */
export function changesPath({afterIndex}: {readonly afterIndex: number}): string {
	return `${PATH}?after=${afterIndex}`;
}

/** Creates the listener. A question that cannot be read is answered 400, another path 404. */
export function createChangeListener({relay}: {readonly relay: ChangeRelay}): RequestListener {
	// Instances that know the same index are given the same answer, which is encoded once.
	const encoded = new WeakMap<UpstreamAnswer, string>();
	const encode = (answer: UpstreamAnswer): string => {
		const text = encoded.get(answer) ?? encodeUpstreamAnswer(answer);
		encoded.set(answer, text);
		return text;
	};

	return async (request, response) => {
		const {pathname, searchParams} = new URL(request.url ?? '', 'http://instance');
		const after = searchParams.get('after') ?? '';
		if (pathname !== PATH || !INDEX_PATTERN.test(after)) {
			response.writeHead(pathname === PATH ? 400 : 404).end();
			return;
		}

		const gone = new AbortController();
		response.once('close', () => {
			gone.abort();
		});
		const text = encode(await relay.waitForChanges({afterIndex: Number(after), signal: gone.signal}));
		response.writeHead(200, {'content-type': 'application/json', 'content-length': String(Buffer.byteLength(text))});
		response.end(text);
	};
}
