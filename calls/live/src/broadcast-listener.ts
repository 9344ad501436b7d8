/** HTTP endpoint and client for the messages of {@link PeerBroadcast}: `POST` to the path of their subject. */
import type {RequestListener} from 'node:http';
import {json} from 'node:stream/consumers';
import type {Client} from 'undici';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {createClient, sendCall} from '@pomelopick/core.http';
import {originOf} from '@pomelopick/core.types';
import type {CodedError, Endpoint} from '@pomelopick/core.types';
import {broadcastPath, readBroadcastMessage} from './broadcast-message.js';
import type {BroadcastMessage, BroadcastSubject, ReadBroadcastMessageOptions} from './broadcast-message.js';

const CONNECT_TIMEOUT_MS = 300;
const TIMEOUT_MS = 600;
/** Maximum size of a body, in bytes: enough for all crash records that an instance keeps, with all their requests, and the ids of a whole fleet. */
const MAX_BYTES = 524_288;

/** Options of {@link createBroadcastListener}. */
export interface BroadcastListenerOptions<Item> extends Omit<ReadBroadcastMessageOptions<Item>, 'value'> {
	readonly receive: (message: BroadcastMessage<Item>) => Promise<void>;
	/** Called for each malformed message. */
	readonly onMalformed: (error: CodedError) => void;
}

/** Creates the listener; it responds 400 to a malformed message. */
export function createBroadcastListener<Item>({receive, onMalformed, ...reading}: BroadcastListenerOptions<Item>): RequestListener {
	return async (request, response) => {
		if (request.method !== 'POST' || !(Number(request.headers['content-length']) <= MAX_BYTES)) {
			response.writeHead(400, {connection: 'close'}).end();
			return;
		}

		const message = await readBody({request, ...reading});
		message.ifLeft(error => {
			onMalformed(error);
			response.writeHead(400).end(error.message);
		}).ifRight(read => {
			response.writeHead(204).end();
			void receive(read);
		});
	};
}

/** Options of {@link sendBroadcastMessage}. */
export interface SendBroadcastMessageOptions {
	readonly subject: BroadcastSubject;
	readonly endpoint: Endpoint;
	readonly message: BroadcastMessage<unknown>;
}

/** Sends a message over a new connection; Left says why it was not delivered. Never rejects. */
export async function sendBroadcastMessage({subject, endpoint, message}: SendBroadcastMessageOptions): Promise<Either<CodedError, void>> {
	let client: Client | undefined;
	try {
		client = createClient(originOf(endpoint), {connectTimeoutMs: CONNECT_TIMEOUT_MS});
		const {status, text} = await sendCall({
			dispatcher: client, method: 'POST', path: broadcastPath(subject), body: JSON.stringify(message), timeoutMs: TIMEOUT_MS,
		});
		return status === 204 ? Right(undefined) : Left({code: `${subject}-refused`, message: `expected status 204, found ${status}: ${text}`});
	} catch (error) {
		return Left({code: `${subject}-not-sent`, message: (error as Error).message});
	} finally {
		await client?.destroy();
	}
}

interface ReadBodyOptions<Item> extends Omit<ReadBroadcastMessageOptions<Item>, 'value'> {
	readonly request: Parameters<RequestListener>[0];
}

async function readBody<Item>({request, subject, readRecord}: ReadBodyOptions<Item>): Promise<Either<CodedError, BroadcastMessage<Item>>> {
	try {
		return readBroadcastMessage({subject, value: await json(request), readRecord});
	} catch (error) {
		return Left({code: `malformed-${subject}`, message: (error as Error).message});
	}
}
