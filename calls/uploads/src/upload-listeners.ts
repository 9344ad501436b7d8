/** HTTP endpoints at which other instances reserve bytes for uploads and release them: `POST /upload-reservations` and `POST /upload-releases`. */
import type {RequestListener} from 'node:http';
import {createMessageListener, respondWith} from '@pomelopick/calls.live';
import type {CodedError} from '@pomelopick/core.types';
import type {UploadOutcome} from '@pomelopick/steering.quotas';
import {decodeUploadRelease, decodeUploadRequest} from './upload-messages.js';
import type {UploadRelease, UploadRequest} from './upload-messages.js';

/** Path of the requests for reservations. */
export const RESERVATIONS_PATH = '/upload-reservations';
/** Path of the releases. */
export const RELEASES_PATH = '/upload-releases';

/** Status with which an instance responds that may not use the server's shard. */
export const NOT_OWNER = 409;
/** Status of the response to a release. */
export const RELEASED = 204;
/** Maximum size of a message, in bytes: two of the longest names. */
const MAX_BYTES = 65_536;
const common = {maxBytes: MAX_BYTES, brokenCode: 'upload-message-broken'};

/** Options of {@link createReservationListener}. */
export interface ReservationListenerOptions {
	/** Returns whether the bytes are reserved; undefined when this instance may not use the server's shard. */
	readonly reserve: (request: UploadRequest) => UploadOutcome | undefined;
	/** Called for each malformed message. */
	readonly onMalformed: (error: CodedError) => void;
}

/** Options of {@link createReleaseListener}. */
export interface ReleaseListenerOptions extends Pick<ReservationListenerOptions, 'onMalformed'> {
	readonly release: (release: UploadRelease) => void;
}

/** Creates the listener for reservations; it responds 400 to a malformed request, and names what is wrong with it. */
export function createReservationListener({reserve, onMalformed}: ReservationListenerOptions): RequestListener {
	return createMessageListener({
		...common, decode: decodeUploadRequest, onMalformed, respond({message, response}) {
			respondWith({response, answer: reserve(message), otherwise: NOT_OWNER});
		},
	});
}

/** Creates the listener for releases; it responds 400 to a malformed one, and names what is wrong with it. */
export function createReleaseListener({release, onMalformed}: ReleaseListenerOptions): RequestListener {
	return createMessageListener({
		...common, decode: decodeUploadRelease, onMalformed, respond({message, response}) {
			release(message);
			response.writeHead(RELEASED).end();
		},
	});
}
