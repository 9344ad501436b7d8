/** Chooses the backend server for the next attempt of a request. */
import {Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {SuspectStatus} from '@pomelopick/calls.quarantine';
import type {BackendServerName} from '@pomelopick/core.types';
import type {ObjectPlacement, PlacementRefusal} from '@pomelopick/steering.objects';
import type {RatePermits} from '@pomelopick/calls.rate-limits';
import type {AttemptParts} from './attempt-parts.js';
import {refusalOfUploads} from './server-uploads.js';
import type {RelayedRequest} from './relayed-request.js';

/** Dependencies of the choice. */
export interface PlaceRequestParts extends Pick<AttemptParts, 'placer' | 'admission' | 'crashDetector' | 'now'> {
	/** Returns the status of a request in the quarantine. */
	readonly statusOf: (request: RelayedRequest) => SuspectStatus;
	readonly permits: Pick<RatePermits, 'take'>;
	/** Age of this instance's view of the store, in milliseconds. */
	readonly viewAgeMs: () => number;
}

/** Options of {@link placeRequest}. */
export interface PlaceRequestOptions {
	readonly request: RelayedRequest;
	readonly parts: PlaceRequestParts;
}

/** Maximum number of owners of limited servers that are asked for a permit until a server is chosen. */
const MAX_ASKS = 2;

/** The chosen server, or why there is none. */
export type PlacementResult = Either<PlacementRefusal, ObjectPlacement>;

/**
 * Chooses a server, or returns why there is none; resolves later only if a permit for a limited server has to be awaited.
 *
 * A suspect goes to the server that ranks first for its fingerprint, never to the server of its object. All instances
 * choose the same server for it, and servers at which other suspects are in flight are avoided. This keeps suspects
 * apart, so that a crash caused by one of them does not count against another.
 */
export function placeRequest(options: PlaceRequestOptions): PlacementResult | Promise<PlacementResult> {
	const {request, parts} = options;
	request.viewAgeMs = parts.viewAgeMs();
	request.isSuspect ||= parts.statusOf(request) !== 'clear';
	const placing = placeAmong(options);
	if (request.uploadRefusals.length === 0) {
		return placing;
	}

	return placing instanceof Promise ? explainUploadRefusal({request, placing}) : placing.mapLeft(refusal => toUploadRefusal({request, refusal}));
}

async function explainUploadRefusal({request, placing}: {readonly request: RelayedRequest; readonly placing: Promise<PlacementResult>}): Promise<PlacementResult> {
	const placed = await placing;
	return placed.mapLeft(refusal => toUploadRefusal({request, refusal}));
}

/** Refusal of an upload that some servers refused before; it has the reason of these if no other server is left. */
function toUploadRefusal({request, refusal}: {readonly request: RelayedRequest; readonly refusal: PlacementRefusal}): PlacementRefusal {
	return refusal.reason === 'no-backend-server' ? refusalOfUploads(request.uploadRefusals) : refusal;
}

function placeAmong(options: PlaceRequestOptions): PlacementResult | Promise<PlacementResult> {
	return options.request.isSuspect ? placeSuspect(options) : placeByObject(options);
}

async function placeSuspect(options: PlaceRequestOptions): Promise<PlacementResult> {
	const {request, parts} = options;
	const avoid = new Set([...request.avoid, ...parts.crashDetector.listServersWithSuspects(), ...listServersOfObject(options)]);
	const isolated = await choosePlacement({
		...options, object: request.fingerprint(), avoid, asks: 0,
	});
	return isolated.isRight() ? isolated.map(placement => ({...placement, isWarm: false})) : placeByObject(options);
}

/** Returns the server to which other requests for the object of a request are sent, if there is one. */
function listServersOfObject({request, parts: {placer, now}}: PlaceRequestOptions): readonly BackendServerName[] {
	const {route, service, object, answerByMs} = request.options;
	if (object === undefined) {
		return [];
	}

	const placed = placer.place({
		route, service, object, avoid: new Set(), mayAsk: false, deadlineMs: answerByMs, nowMs: now(),
	});
	return placed.map(({known}) => [known.server.name]).orDefault([]);
}

function placeByObject(options: PlaceRequestOptions): PlacementResult | Promise<PlacementResult> {
	const {request: {options: {object}, avoid}} = options;
	return choosePlacement({
		...options, object, avoid, asks: 0,
	});
}

interface ChoosePlacementOptions extends PlaceRequestOptions {
	/** Key by which the servers are ranked; undefined: they are not ranked. */
	readonly object: string | undefined;
	/** Servers that are not selected. */
	readonly avoid: ReadonlySet<BackendServerName>;
	/** Number of owners that were asked for a permit and had none. */
	readonly asks: number;
}

function choosePlacement(options: ChoosePlacementOptions): PlacementResult | Promise<PlacementResult> {
	const {request, parts: {placer, permits, admission, now}, object, avoid, asks} = options;
	const {route, service, answerByMs} = request.options;
	const placed = placer.place({
		route, service, object, avoid, mayAsk: asks < MAX_ASKS, deadlineMs: answerByMs, admit: admission.decisionFor(request), nowMs: now(),
	});
	if (placed.isLeft()) {
		placed.ifLeft(refusal => {
			admission.recordUnplaced({request, refusal});
		});
		return placed;
	}

	const placement = placed.unsafeCoerce();
	const permit = permits.take({known: placement.known, answerByMs});
	if (permit === true) {
		return placed;
	}

	return permit === false
		? choosePlacement({...options, avoid: new Set([...avoid, placement.known.server.name])})
		: awaitPermit({...options, placement, permit});
}

/** Uses a server once its permit is granted, or chooses again. */
async function awaitPermit({placement, permit, ...options}: ChoosePlacementOptions & {readonly placement: ObjectPlacement; readonly permit: Promise<boolean>}): Promise<PlacementResult> {
	const {placer, now} = options.parts;
	const isGranted = await permit;
	return isGranted && placer.isStillUsable({known: placement.known, nowMs: now()})
		? Right(placement)
		: choosePlacement({...options, asks: options.asks + 1});
}
