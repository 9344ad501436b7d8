/** Reads JSON from an instance's listener for operators. */
import {EitherAsync, Left, Right} from 'purify-ts';
import {createClient, sendCall} from '@pomelopick/core.http';
import {originOf} from '@pomelopick/core.types';
import type {CodedError, Endpoint} from '@pomelopick/core.types';

const REQUEST_TIMEOUT_MS = 3000;

/** Options of {@link getJson}. */
export interface GetJsonOptions {
	readonly endpoint: Endpoint;
	/** Path and query. */
	readonly path: string;
}

/** Gets a JSON document. Left `instance-unavailable` if the instance does not respond; the title of its error, or `refused`, if it refuses. */
export function getJson<Shape>({endpoint, path}: GetJsonOptions): EitherAsync<CodedError, Shape> {
	return EitherAsync.fromPromise(async () => {
		const origin = originOf(endpoint);
		const client = createClient(origin, {connectTimeoutMs: REQUEST_TIMEOUT_MS});
		try {
			const {status, text} = await sendCall({
				dispatcher: client, method: 'GET', path, body: undefined, timeoutMs: REQUEST_TIMEOUT_MS,
			});
			const body = JSON.parse(text) as Shape & {title?: string; detail?: string};
			return status < 300
				? Right(body)
				: Left({code: body.title ?? 'refused', message: body.detail ?? `${origin}${path} answered ${status}`});
		} catch (error) {
			return Left({code: 'instance-unavailable', message: `${origin} does not answer: ${(error as Error).message}`});
		} finally {
			await client.destroy();
		}
	});
}
