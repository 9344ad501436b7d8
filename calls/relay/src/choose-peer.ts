/** Decides whether a request without a server is forwarded to another instance, and to which. */
import {countHeaders} from '@pomelopick/calls.forwarding';
import type {CallCounters} from '@pomelopick/core.telemetry';
import type {RefusalReason} from '@pomelopick/core.types';
import type {PlacementRefusal} from '@pomelopick/steering.objects';
import type {ChosenPeer, PeerChoice} from './peer-choice.js';
import type {RelayedRequest} from './relayed-request.js';

/** Maximum number of instances that a request is forwarded to, one after the other. */
const MAX_PEERS = 3;
/** Share of the servers that must be out of reach for a request to be forwarded because the others are busy. */
const MIN_SHARE_WHEN_BUSY = 0.5;

/** Dependencies of the choice. */
export interface ChoosePeerParts {
	readonly peerChoice: PeerChoice;
	/** Share of the servers that a request may go to that cannot be reached from this instance, from 0 to 1. */
	readonly unreachableShare: (request: RelayedRequest) => number;
	readonly counters: CallCounters;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Options of {@link choosePeer}. */
export interface ChoosePeerOptions {
	readonly request: RelayedRequest;
	/** Why no server was chosen here. */
	readonly refusal: PlacementRefusal;
	readonly parts: ChoosePeerParts;
}

/** Reasons of refusals that a busy server caused rather than one that cannot be reached. */
const busyReasons: ReadonlySet<RefusalReason> = new Set(['queue-timeout', 'deadline-unreachable', 'capacity-short', 'organisation-share-exceeded']);

/** Chooses an instance that may reach servers that this one cannot, and records that it was tried; undefined if there is none. */
export function choosePeer({request, refusal, parts: {peerChoice, unreachableShare, counters, now}}: ChoosePeerOptions): ChosenPeer | undefined {
	const {options: {route, headers, isForwarded}, triedPeers} = request;
	if (isForwarded === true || triedPeers.size >= MAX_PEERS) {
		return undefined;
	}

	const share = unreachableShare(request);
	if (share === 0 || refusal.reason === 'instance-full' || (busyReasons.has(refusal.reason) && share < MIN_SHARE_WHEN_BUSY)) {
		return undefined;
	}

	const peer = peerChoice.choose({
		route, headers: countHeaders(headers), tried: triedPeers, nowMs: now(),
	});
	counters.add(peer ? 'forward.sent' : 'forward.no-instance');
	if (peer) {
		triedPeers.add(peer.id);
	}

	return peer;
}
