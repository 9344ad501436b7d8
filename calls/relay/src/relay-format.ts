/** Header names and codecs of the protocol with callers and backend servers that the relay uses. */
import type {Either} from 'purify-ts';
import type {CodedError, ServerLoad} from '@pomelopick/core.types';

/** Names of headers, in lower case. */
export interface RelayHeaders {
	/** Identifier of a request; its response repeats it. */
	readonly requestId: string;
	/** Time for which the sender still waits for the response, in milliseconds. */
	readonly timeLeft: string;
	/** Key of the object that the request concerns. */
	readonly objectKey: string;
	/** Credentials of the caller, which are not passed on where the configuration has organisations. */
	readonly credentials: string;
	/** Organisation of the caller, which the system alone states to backend servers. */
	readonly organisation: string;
	/** Stamp by which a backend server signs its response. */
	readonly answerStamp: string;
	/** Name of the only backend server that may run the request. */
	readonly expectedServer: string;
	/** Load of the backend server. */
	readonly serverLoad: string;
	/** Time for which the backend server still warms up; only in responses to health checks. */
	readonly warmupLeft: string;
	/** Present if the backend server did not run the request. */
	readonly notRun: string;
	/** Present if the backend server is leaving. */
	readonly serverLeaving: string;
	/** Time for which a backend server that refused a request asks to get no requests. */
	readonly retryAfter: string;
	/** Rate limit of the backend server for all instances together; absent if it has none. */
	readonly rateLimit: string;
}

/** Header names and codecs. */
export interface RelayFormat {
	readonly headers: RelayHeaders;
	/** Decodes the load of a server; undefined if the text is malformed. */
	readonly decodeServerLoad: (text: string) => ServerLoad | undefined;
	/** Decodes the notice that a server is leaving; Left if the text is malformed. */
	readonly decodeServerLeaving: (text: string) => Either<CodedError, true>;
	/** Decodes the time for which a server asks to get no requests, in milliseconds; Left if the text is malformed. */
	readonly decodeRetryAfter: (text: string) => Either<CodedError, number>;
	/** Decodes the rate limit of a server, in requests per second; Left if the text is malformed. */
	readonly decodeRateLimit: (text: string) => Either<CodedError, number>;
	/** Decodes the time for which a server still warms up, in milliseconds; Left if the text is malformed. */
	readonly decodeWarmupLeft: (text: string) => Either<CodedError, number>;
	/** Scheme of the callers' credentials, as a refusal without valid ones states it. */
	readonly credentialsChallenge: string;
	/** Encodes the time after which a caller should retry. */
	readonly encodeRetryAfter: (milliseconds: number) => string;
}
