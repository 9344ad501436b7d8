/** Chooses the server for the next attempt of a request. */
import type {Either} from 'purify-ts';
import type {SuspectStatus} from '@pomelopick/calls.quarantine';
import type {BackendServerName} from '@pomelopick/core.types';
import type {ObjectPlacement, PlacementRefusal} from '@pomelopick/steering.objects';
import type {KnownServer} from '@pomelopick/steering.servers';
import type {AttemptParts} from './relay-attempt.js';
import type {RelayedRequest} from './relayed-request.js';

/** What the choice needs. */
export interface PlacingParts extends Pick<AttemptParts, 'placer' | 'deathWatch' | 'now'> {
	/** What is known of a request from the deaths of servers. */
	readonly standingOf: (request: RelayedRequest) => SuspectStatus;
	/** Takes one request to a server that warms up; true for one that does not. */
	readonly tryTakeWarmup: (known: KnownServer) => boolean;
	/** Age of this instance's view of the store, in milliseconds. */
	readonly viewAgeMs: () => number;
}

/** Options of {@link placeRequest}. */
export interface PlaceRequestOptions {
	readonly request: RelayedRequest;
	readonly parts: PlacingParts;
}

/**
 * Chooses a server, or says why there is none.
 *
 * A suspect goes to the server that its fingerprint ranks first, alike at all instances, rather than to that of its
 * object: with a server to itself it does not make another request look guilty.
 */
export function placeRequest({request, parts}: PlaceRequestOptions): Either<PlacementRefusal, ObjectPlacement> {
	request.viewAgeMs = parts.viewAgeMs();
	request.isSuspect ||= parts.standingOf(request) !== 'clear';
	if (request.isSuspect) {
		const avoid = new Set([...request.avoid, ...parts.deathWatch.listServersWithSuspects()]);
		const apart = placeAt({
			request, parts, object: request.fingerprint(), avoid,
		});
		if (apart.isRight()) {
			return apart.map(placement => ({...placement, isWarm: false}));
		}
	}

	return placeAt({
		request, parts, object: request.options.object, avoid: request.avoid,
	});
}

interface PlaceAtOptions extends PlaceRequestOptions {
	/** What the servers are ranked by; undefined: nothing. */
	readonly object: string | undefined;
	/** Servers that are passed over; those that may not warm up with it are added. */
	readonly avoid: Set<BackendServerName>;
}

function placeAt({request, parts, object, avoid}: PlaceAtOptions): Either<PlacementRefusal, ObjectPlacement> {
	const {route, service, answerByMs} = request.options;
	const {placer, now, tryTakeWarmup} = parts;
	for (;;) {
		const placed = placer.place({
			route, service, object, avoid, deadlineMs: answerByMs, nowMs: now(),
		});
		if (placed.isLeft() || tryTakeWarmup(placed.unsafeCoerce().known)) {
			return placed;
		}

		avoid.add(placed.unsafeCoerce().known.server.name);
	}
}
