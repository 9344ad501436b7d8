/** Prevents a late error of a closed HTTP/2 session from ending the process. */
import type {
	ClientHttp2Session, ClientHttp2Stream, ClientSessionRequestOptions, OutgoingHttpHeaders,
} from 'node:http2';
import {Http2SessionManager} from '@connectrpc/connect-node';

/**
 * Session manager whose sessions always have an error listener.
 *
 * When connect-node's manager replaces a session that was closed by a GOAWAY frame, it removes its error listener. The
 * session may still emit an error afterwards, which without a listener would end the process.
 */
export class GuardedSessionManager extends Http2SessionManager {
	readonly #guarded = new WeakSet<ClientHttp2Session>();

	override async request(method: string, path: string, headers: OutgoingHttpHeaders, options: Omit<ClientSessionRequestOptions, 'signal'>): Promise<ClientHttp2Stream> {
		const stream = await super.request(method, path, headers, options);
		const session = stream.session as ClientHttp2Session | undefined;
		if (session && !this.#guarded.has(session)) {
			this.#guarded.add(session);
			session.on('error', () => {/* The requests of the session fail with the same error. */});
		}

		return stream;
	}
}
