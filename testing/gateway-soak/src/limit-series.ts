/** Lets servers name rate limits at random, beside the faults of a soak round. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {RegisteredServer} from '@pomelopick/testing.gateway-fleet';
import type {Draw} from './draw.js';

/** Minimum time for which a server names a limit, in milliseconds, and range of the random time added to it. A limit applies from three seconds on. */
const MIN_LIMITED_MS = 3500;
const LIMITED_JITTER_MS = 5000;
const PAUSE_JITTER_MS = 1000;
/** Rate limits to draw from, as servers write them. */
const rateLimits = ['0', '0.5', '1', '2', '2.9', '12', 'few'] as const;

/** Options of {@link nameLimits}. */
export interface NameLimitsOptions {
	readonly servers: readonly RegisteredServer[];
	readonly draw: Draw;
	/** Ends the series; limits that are named then stay. */
	readonly signal: AbortSignal;
}

/** Lets one server after the other name a limit, sometimes another one right after it, and then none. Resolves when the signal is aborted. */
export async function nameLimits({servers, draw, signal}: NameLimitsOptions): Promise<void> {
	const pause = async (milliseconds: number): Promise<void> => {
		try {
			await sleep(milliseconds, undefined, {signal});
		} catch {
			// The round has ended.
		}
	};

	while (!signal.aborted) {
		const server = servers[draw(servers.length)]!;
		const changes = 1 + draw(2);
		for (let change = 0; change < changes && !signal.aborted; change += 1) {
			server.nameRateLimit(rateLimits[draw(rateLimits.length)]);
			await pause(MIN_LIMITED_MS + draw(LIMITED_JITTER_MS));
		}

		if (!signal.aborted) {
			server.nameRateLimit(undefined);
			await pause(draw(PAUSE_JITTER_MS));
		}
	}
}
