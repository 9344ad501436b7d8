/** Decides whether and when a request is hedged: sent to a second server while the first one has not responded. */
import type {ObjectPlacement} from '@pomelopick/steering.objects';
import type {RelayedRequest} from './relayed-request.js';

/** Multiple of the expected response time after which a hedged attempt is made at a second server. */
const HEDGE_FACTOR = 2.5;

/** Options of {@link hedgeDelayMs}. */
export interface HedgeDelayOptions {
	readonly request: RelayedRequest;
	/** Where the first attempt is made. */
	readonly placement: Pick<ObjectPlacement, 'expectedMs'>;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Time after the start of the first attempt at which a hedged one is made, in milliseconds; undefined: never. */
export function hedgeDelayMs({request: {options, isIdempotent, isSuspect, sentTo}, placement: {expectedMs}, nowMs}: HedgeDelayOptions): number | undefined {
	const {route, body, answerByMs} = options;
	const delayMs = Math.max(route.targetLatencyMs, expectedMs * HEDGE_FACTOR);
	const mayHedge = isIdempotent && !isSuspect && body.isComplete && sentTo.size < route.maxServers;
	return mayHedge && nowMs + delayMs < answerByMs ? delayMs : undefined;
}

/** Whether a hedged attempt may still start: the first one was sent, and the request may be sent to a further server. */
export function mayStartHedge({hasEnded, sentTo, options: {route}}: RelayedRequest): boolean {
	return !hasEnded && sentTo.size > 0 && sentTo.size < route.maxServers;
}
