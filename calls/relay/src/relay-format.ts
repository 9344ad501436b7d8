/** What the relay needs from the formats of callers and backend servers. */
import type {Either} from 'purify-ts';
import type {CodedError, ServerLoad} from '@pomelopick/core.types';

/** Names of headers, in lower case. */
export interface RelayHeaders {
	/** Identifies one request; an answer repeats it. */
	readonly requestId: string;
	/** Time that the sender still waits, in milliseconds. */
	readonly timeLeft: string;
	/** Object that the request concerns. */
	readonly objectKey: string;
	/** Signature of a backend server's answer. */
	readonly answerStamp: string;
	/** Backend server that alone may run the request. */
	readonly expectedServer: string;
	/** How busy the backend server is. */
	readonly serverLoad: string;
	/** Present when the backend server did not run the request. */
	readonly notRun: string;
	/** Present when the backend server leaves. */
	readonly serverLeaving: string;
	/** Time for which a backend server that turned a request away wants nothing. */
	readonly retryAfter: string;
}

/** Formats of callers and backend servers. */
export interface RelayFormat {
	readonly headers: RelayHeaders;
	/** Undefined when the text holds no load. */
	readonly decodeServerLoad: (text: string) => ServerLoad | undefined;
	/** Left when the text says nothing that is known of a server's leaving. */
	readonly decodeServerLeaving: (text: string) => Either<CodedError, true>;
	/** Reads a time, in milliseconds; Left when the text holds none. */
	readonly decodeRetryAfter: (text: string) => Either<CodedError, number>;
	/** Writes the time after which a caller should come back. */
	readonly encodeRetryAfter: (milliseconds: number) => string;
}
