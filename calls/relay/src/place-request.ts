/** Chooses the backend server for the next attempt of a request. */
import type {Either} from 'purify-ts';
import type {SuspectStatus} from '@pomelopick/calls.quarantine';
import type {BackendServerName} from '@pomelopick/core.types';
import type {ObjectPlacement, PlacementRefusal} from '@pomelopick/steering.objects';
import type {KnownServer} from '@pomelopick/steering.servers';
import type {AttemptParts} from './relay-attempt.js';
import type {RelayedRequest} from './relayed-request.js';

/** Dependencies of the choice. */
export interface PlaceRequestParts extends Pick<AttemptParts, 'placer' | 'crashDetector' | 'now'> {
	/** Returns the status of a request in the quarantine. */
	readonly statusOf: (request: RelayedRequest) => SuspectStatus;
	/** Tries to reserve capacity for one request at a server that is warming up; always true for other servers. */
	readonly tryTakeWarmup: (known: KnownServer) => boolean;
	/** Age of this instance's view of the store, in milliseconds. */
	readonly viewAgeMs: () => number;
}

/** Options of {@link placeRequest}. */
export interface PlaceRequestOptions {
	readonly request: RelayedRequest;
	readonly parts: PlaceRequestParts;
}

/**
 * Chooses a server, or returns why there is none.
 *
 * A suspect goes to the server that ranks first for its fingerprint, not to the server of its object. All instances
 * choose the same server for it, and servers at which other suspects are in flight are avoided. This keeps suspects
 * apart, so that a crash caused by one of them does not count against another.
 */
export function placeRequest({request, parts}: PlaceRequestOptions): Either<PlacementRefusal, ObjectPlacement> {
	request.viewAgeMs = parts.viewAgeMs();
	request.isSuspect ||= parts.statusOf(request) !== 'clear';
	if (request.isSuspect) {
		const avoid = new Set([...request.avoid, ...parts.crashDetector.listServersWithSuspects()]);
		const isolated = choosePlacement({
			request, parts, object: request.fingerprint(), avoid,
		});
		if (isolated.isRight()) {
			return isolated.map(placement => ({...placement, isWarm: false}));
		}
	}

	return choosePlacement({
		request, parts, object: request.options.object, avoid: request.avoid,
	});
}

interface ChoosePlacementOptions extends PlaceRequestOptions {
	/** Key by which the servers are ranked; undefined: they are not ranked. */
	readonly object: string | undefined;
	/** Servers that are not selected. Servers that are warming up and have no capacity left for it are added. */
	readonly avoid: Set<BackendServerName>;
}

function choosePlacement({request, parts, object, avoid}: ChoosePlacementOptions): Either<PlacementRefusal, ObjectPlacement> {
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
