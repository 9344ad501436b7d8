/** HTTP endpoint of the change relay: `GET /changes?after=REVISION&era=ERA`. */
import {Buffer} from 'node:buffer';
import type {RequestListener} from 'node:http';
import {Either} from 'purify-ts';
import {parseRequestTarget} from '@pomelopick/core.types';
import {splitIndex, toIndex} from '@pomelopick/platform.store';
import type {ChangeRelay} from './change-relay.js';
import {encodeUpstreamAnswer} from './relayed-changes.js';
import type {UpstreamAnswer} from './relayed-changes.js';

const PATH = '/changes';
const NUMBER_PATTERN = /^\d{1,15}$/u;

/** Returns the path and query of a request for the changes after an index. */
export function changesPath({afterIndex}: {readonly afterIndex: number}): string {
	const {era, revision} = splitIndex(afterIndex);
	return `${PATH}?after=${revision}&era=${era}`;
}

/** Creates the listener. It responds 400 to a malformed request and 404 to another path. */
export function createChangeListener({relay}: {readonly relay: ChangeRelay}): RequestListener {
	// Instances at the same index get the same answer object, which is encoded once.
	const encoded = new WeakMap<UpstreamAnswer, string>();
	const encode = (answer: UpstreamAnswer): string => {
		const text = encoded.get(answer) ?? encodeUpstreamAnswer(answer);
		encoded.set(answer, text);
		return text;
	};

	return async (request, response) => {
		const {pathname, searchParams} = parseRequestTarget(request.url);
		const afterIndex = readAfterIndex({searchParams, era: relay.era});
		if (pathname !== PATH || afterIndex === undefined) {
			response.writeHead(pathname === PATH ? 400 : 404).end();
			return;
		}

		const disconnected = new AbortController();
		response.once('close', () => {
			disconnected.abort();
		});
		const text = encode(await relay.waitForChanges({afterIndex, signal: disconnected.signal}));
		response.writeHead(200, {'content-type': 'application/json', 'content-length': String(Buffer.byteLength(text))});
		response.end(text);
	};
}

/** Reads the index of a request; undefined if it is malformed. Instances of older builds state no era: the given one is meant. */
function readAfterIndex({searchParams, era}: {readonly searchParams: URLSearchParams; readonly era: number}): number | undefined {
	const texts = [searchParams.get('after') ?? '', searchParams.get('era') ?? String(era)];
	if (!texts.every(text => NUMBER_PATTERN.test(text))) {
		return undefined;
	}

	const [revision, statedEra] = texts.map(Number);
	return Either.encase(() => toIndex({era: statedEra, revision})).toMaybe().extract();
}
