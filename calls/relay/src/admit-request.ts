/** Decides from the head of a request and the state of this instance whether it is relayed. */
import type {IncomingMessage} from 'node:http';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {LiveView} from '@pomelopick/calls.live';
import type {Refusal, Route} from '@pomelopick/core.types';
import {authenticate, restrictRoute} from './authenticate.js';
import type {Identity} from './authenticate.js';
import type {ForwardedRequest} from './forwarded-request.js';
import type {RelayHeaders} from './relay-format.js';

const NOT_READY_RETRY_AFTER_MS = 300;
const LEAVING_RETRY_AFTER_MS = 50;
const FULL_RETRY_AFTER_MS = 500;
const TIME_LEFT_PATTERN = /^\d{1,9}$/u;
/** Maximum number of characters of the details of refusals that quote a request. */
const MAX_DETAIL_CHARACTERS = 80;
/** Bytes that a header takes up in addition to its name and value: `: ` and the line break. */
const HEADER_OVERHEAD_BYTES = 4;
/** Time before its end by which a leaving instance must have answered every request that it accepts, in milliseconds. */
const LEAVING_RESERVE_MS = 200;
/** Share of the requests in progress that other instances may have forwarded, so that an instance's own callers are served too. */
const MAX_FORWARDED_SHARE = 0.5;

/** A request that is relayed. */
export interface Admitted {
	/** Route, with the priority and the home regions of the caller's organisation. */
	readonly route: Route;
	/** Who sent the request; undefined: callers are not authenticated. */
	readonly identity: Identity | undefined;
	/** Time for which the caller waits, in milliseconds; undefined if it does not say. */
	readonly timeLeftMs: number | undefined;
}

/** Options of {@link admitRequest}. */
export interface AdmitRequestOptions {
	readonly request: IncomingMessage;
	/** What another instance stated that forwarded the request; undefined: the request is a caller's own. */
	readonly forwarded?: ForwardedRequest;
	/** Path and query of the request; those of its HTTP message by default. */
	readonly path?: string;
	/** Monotonic time of the arrival, in milliseconds. */
	readonly arrivedAtMs: number;
	readonly view: Pick<LiveView, 'routeSet' | 'routes' | 'organisations'>;
	/** Maximum number of requests in progress. */
	readonly limit: number;
	/** Whether this instance has bytes left to hold the bodies of a further request and its response. */
	readonly hasBytesLeft: (route: Route) => boolean;
	/** Requests in progress, and how many of them other instances forwarded. */
	readonly inProgress: number;
	readonly forwardedInProgress: number;
	/** Monotonic time at which this instance stops, in milliseconds; undefined while it is not leaving. */
	readonly endMs: number | undefined;
	readonly names: Pick<RelayHeaders, 'requestId' | 'timeLeft' | 'credentials'>;
}

/** Checks whatever can be decided from the head of a request and the state of this instance. Left: the refusal. */
export function admitRequest(options: AdmitRequestOptions): Either<Refusal, Admitted> {
	const {request, forwarded, path, arrivedAtMs, view, limit, endMs, names, hasBytesLeft, inProgress, forwardedInProgress} = options;
	const {headers} = request;
	const url = path ?? request.url ?? '';
	const set = view.routeSet;
	if (!set || (forwarded && set.version < forwarded.configurationVersion)) {
		return Left({
			reason: 'configuration-missing', execution: 'not-run', detail: 'this instance has not received a configuration yet, or not that of the instance that forwards', retryAfterMs: NOT_READY_RETRY_AFTER_MS,
		});
	}

	if (headers[names.requestId] === undefined) {
		return Left({reason: 'bad-request', execution: 'not-run', detail: `${names.requestId}: missing`});
	}

	// The instance that forwards has checked the headers of its caller.
	if (!forwarded && countHeaderBytes(request) > set.limits.headerBytes) {
		return Left({reason: 'headers-too-large', execution: 'not-run', detail: `headers: expected at most ${set.limits.headerBytes} bytes`});
	}

	const route = view.routes.find({host: headers.host ?? '', path: url});
	if (!route || (forwarded && !route.targets.some(({service}) => service === forwarded.service))) {
		return Left({reason: 'unknown-route', execution: 'not-run', detail: `no route in version ${set.version} for ${headers.host ?? ''}${url}`.slice(0, MAX_DETAIL_CHARACTERS)});
	}

	const authenticated = authenticate({
		request, forwarded, route, organisations: view.organisations, names,
	});
	if (authenticated.isLeft()) {
		return authenticated;
	}

	const identity = authenticated.extract() as Identity | undefined;
	if (endMs !== undefined && arrivedAtMs + route.timeoutMs > endMs - LEAVING_RESERVE_MS) {
		return Left({
			reason: 'instance-leaving', execution: 'not-run', detail: 'this instance is about to stop; send the call to another instance', retryAfterMs: LEAVING_RETRY_AFTER_MS,
		});
	}

	const isFullForOthers = forwarded !== undefined && forwardedInProgress >= limit * MAX_FORWARDED_SHARE;
	if (inProgress >= limit || isFullForOthers) {
		return Left({
			reason: 'instance-full', execution: 'not-run', detail: `this instance is at its limit of ${limit} requests in progress`, retryAfterMs: FULL_RETRY_AFTER_MS,
		});
	}

	if (!hasBytesLeft(route)) {
		return Left({
			reason: 'instance-full', execution: 'not-run', detail: 'this instance holds the maximum number of bytes for slow callers and servers', retryAfterMs: FULL_RETRY_AFTER_MS,
		});
	}

	return readTimeLeft({name: names.timeLeft, value: headers[names.timeLeft]})
		.chain(timeLeftMs => restrictRoute({route, organisation: identity?.organisation}).map(restricted => ({route: restricted, identity, timeLeftMs})));
}

function countHeaderBytes({rawHeaders}: IncomingMessage): number {
	let bytes = 0;
	for (const text of rawHeaders) {
		bytes += text.length;
	}

	return bytes + (rawHeaders.length / 2 * HEADER_OVERHEAD_BYTES);
}

function readTimeLeft({name, value}: {readonly name: string; readonly value: string | string[] | undefined}): Either<Refusal, number | undefined> {
	if (value === undefined) {
		return Right(undefined);
	}

	return typeof value === 'string' && TIME_LEFT_PATTERN.test(value)
		? Right(Number(value))
		: Left({reason: 'bad-request', execution: 'not-run', detail: `${name}: expected whole milliseconds, found ${JSON.stringify(value).slice(0, MAX_DETAIL_CHARACTERS)}`});
}
