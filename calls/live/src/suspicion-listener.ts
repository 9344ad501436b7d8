/** HTTP endpoint and client for reports between instances about requests that crash servers: `POST /suspicions`. */
import type {RequestListener} from 'node:http';
import {json} from 'node:stream/consumers';
import {Client} from 'undici';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {originOf} from '@pomelopick/core.types';
import type {CodedError, Endpoint} from '@pomelopick/core.types';
import {sendCall} from '@pomelopick/platform.store';
import {readSuspicionMessage} from './suspicion-records.js';
import type {SuspicionMessage} from './suspicion-records.js';

/** Path of the messages. */
export const SUSPICIONS_PATH = '/suspicions';

const CONNECT_TIMEOUT_MS = 300;
const TIMEOUT_MS = 600;
/** Maximum size of a body, in bytes: enough for all crash records that an instance keeps, with all their requests, and the ids of a whole fleet. */
const MAX_BYTES = 524_288;

/** Options of {@link createSuspicionListener}. */
export interface SuspicionListenerOptions {
	readonly receive: (message: SuspicionMessage) => Promise<void>;
	/** Called for each malformed message. */
	readonly onMalformed: (error: CodedError) => void;
}

/** Creates the listener; it responds 400 to a malformed message. */
export function createSuspicionListener({receive, onMalformed}: SuspicionListenerOptions): RequestListener {
	return async (request, response) => {
		if (request.method !== 'POST' || !(Number(request.headers['content-length']) <= MAX_BYTES)) {
			response.writeHead(400, {connection: 'close'}).end();
			return;
		}

		const message = await readBody(request);
		message.ifLeft(error => {
			onMalformed(error);
			response.writeHead(400).end(error.message);
		}).ifRight(read => {
			response.writeHead(204).end();
			void receive(read);
		});
	};
}

/** Sends a message over a new connection; Left says why it was not delivered. Never rejects. */
export async function sendSuspicions({endpoint, message}: {readonly endpoint: Endpoint; readonly message: SuspicionMessage}): Promise<Either<CodedError, void>> {
	const client = new Client(originOf(endpoint), {connect: {timeout: CONNECT_TIMEOUT_MS}});
	try {
		const {status, text} = await sendCall({
			dispatcher: client, method: 'POST', path: SUSPICIONS_PATH, body: JSON.stringify(message), timeoutMs: TIMEOUT_MS,
		});
		return status === 204 ? Right(undefined) : Left({code: 'suspicions-refused', message: `expected status 204, found ${status}: ${text}`});
	} catch (error) {
		return Left({code: 'suspicions-not-sent', message: (error as Error).message});
	} finally {
		await client.destroy();
	}
}

async function readBody(request: Parameters<RequestListener>[0]): Promise<Either<CodedError, SuspicionMessage>> {
	try {
		return readSuspicionMessage(await json(request));
	} catch (error) {
		return Left({code: 'malformed-suspicions', message: (error as Error).message});
	}
}
