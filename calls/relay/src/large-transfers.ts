/** Predicts which requests have bodies or responses that are too large to buffer, so that they do not use up the bytes that all others need. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {BUFFERED_BODY_BYTES} from '@pomelopick/calls.forwarding';
import type {BufferReservation, CallerDisconnects} from '@pomelopick/calls.forwarding';
import type {Route, RouteName} from '@pomelopick/core.types';

/** Bytes that a request with a large response holds at least while its caller is slow: one piece. */
export const LARGE_RESPONSE_BYTES = 65_536;
/** Weight of the newest response of a route in the share of its large ones. */
const NEWEST_WEIGHT = 0.05;
/** Minimum share of large responses of a route at which its requests count as large. */
const MIN_LARGE_SHARE = 0.2;
/** Share of a route that has had no response yet: many requests may arrive before the first response shows how large they are. */
const FIRST_SHARE = 0.5;
/** Maximum number of routes whose shares are kept; beyond it, those of all are dropped. */
const MAX_ROUTES = 1000;

/** Share of large responses of each route. */
export class LargeTransfers {
	readonly #shares = new Map<RouteName, number>();

	/** Whether a request of a route probably needs more than a buffered body and a buffered response. */
	isExpected({route, request}: {readonly route: Route; readonly request: IncomingMessage}): boolean {
		return route.isUpload || Number(request.headers['content-length'] ?? 0) > BUFFERED_BODY_BYTES || this.#hasLargeResponses(route);
	}

	/** Records whether a response of a route was too large to buffer. */
	record({route: {name}, isLarge}: {readonly route: Route; readonly isLarge: boolean}): void {
		const share = this.#shares.get(name) ?? FIRST_SHARE;
		if (this.#shares.size >= MAX_ROUTES && !this.#shares.has(name)) {
			this.#shares.clear();
		}

		this.#shares.set(name, share + ((Number(isLarge) - share) * NEWEST_WEIGHT));
	}

	#hasLargeResponses({name}: Route): boolean {
		return (this.#shares.get(name) ?? FIRST_SHARE) >= MIN_LARGE_SHARE;
	}
}

/** Options of {@link releaseWhenSent}. */
export interface ReleaseWhenSentOptions {
	readonly response: ServerResponse;
	readonly reservation: BufferReservation;
	readonly callerDisconnects: CallerDisconnects;
}

/** Releases the bytes of a request once its response was handed to the operating system, or its connection has closed. */
export function releaseWhenSent({response, reservation, callerDisconnects}: ReleaseWhenSentOptions): void {
	if (response.writableLength === 0 || response.destroyed) {
		reservation.release();
		return;
	}

	const unwatch = callerDisconnects.watch({
		socket: response.req.socket, onGone() {
			reservation.release();
		},
	});
	response.once('finish', () => {
		unwatch();
		reservation.release();
	});
}
