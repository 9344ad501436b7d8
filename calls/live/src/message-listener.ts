/** HTTP endpoint for messages of other instances in JSON, which are answered at once. */
import type {IncomingMessage, RequestListener, ServerResponse} from 'node:http';
import type {Either} from 'purify-ts';
import type {CodedError} from '@pomelopick/core.types';
import {readPeerBody} from './peer-body.js';

/** Options of {@link createMessageListener}. */
export interface MessageListenerOptions<Message> {
	/** Maximum size of a message, in bytes. */
	readonly maxBytes: number;
	/** Text of the response to a request that is not a POST or does not state a length up to the maximum; by default it says what is expected. */
	readonly describeRefusal?: (request: IncomingMessage) => string;
	/** Left says what is wrong with the message. */
	readonly decode: (text: string) => Either<CodedError, Message>;
	readonly respond: (options: {readonly message: Message; readonly response: ServerResponse}) => void;
	/** Code of the error when a message breaks off. */
	readonly brokenCode: string;
	/** Called for each message that is malformed or breaks off. */
	readonly onMalformed: (error: CodedError) => void;
}

/** Creates the listener; it responds 400 to a malformed message, and names what is wrong with it. */
export function createMessageListener<Message>({maxBytes, describeRefusal, decode, respond, brokenCode, onMalformed}: MessageListenerOptions<Message>): RequestListener {
	return async (request, response) => {
		if (request.method !== 'POST' || !(Number(request.headers['content-length']) <= maxBytes)) {
			response.writeHead(400, {connection: 'close'}).end(describeRefusal?.(request) ?? `expected POST with a body of at most ${maxBytes} bytes`);
			return;
		}

		try {
			decode(await readPeerBody(request)).ifLeft(error => {
				onMalformed(error);
				response.writeHead(400).end(error.message);
			}).ifRight(message => {
				respond({message, response});
			});
		} catch (error) {
			onMalformed({code: brokenCode, message: (error as Error).message});
		}
	};
}

/** Responds with an answer as JSON, or with a status that says why there is none. */
export function respondWith({response, answer, otherwise}: {readonly response: ServerResponse; readonly answer: unknown; readonly otherwise: number}): void {
	if (answer === undefined) {
		response.writeHead(otherwise).end();
	} else {
		response.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify(answer));
	}
}
