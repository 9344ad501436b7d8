/** Callers that make it hard for a gateway: they keep connections until the process is gone, read slowly, pipeline, offer upgrades and reset. */
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {endpointOf, PipeliningCaller} from '@pomelopick/testing.gateway-fleet';
import type {Play} from '@pomelopick/testing.gateway-fleet';
import type {TracedCall} from './call-check.js';
import type {Draw} from './draw.js';
import type {Member} from './environment.js';

const TIME_LEFT_MS = 1500;
const MAX_PIPELINED = 6;
const MAX_PAUSE_MS = 800;
const MAX_RESET_DELAY_MS = 40;
/** Requests on a connection that is kept, unless it ends before. */
const KEPT_REQUESTS = 30;
const KEPT_PAUSE_MS = 60;

const plays: readonly Play[] = [
	'whole', 'slow', 'unframed', 'unframed-reset', 'unframed-large', 'unframed-large', 'unframed-large-reset', 'unframed-large-reset', 'cut', 'reset', 'failure', 'extra', 'surplus-bytes', 'endless-head',
];

/** Options of {@link keepHardCalling}. */
export interface KeepHardCallingOptions {
	readonly members: readonly Member[];
	/** Key that the callers send. */
	readonly key: string;
	readonly draw: Draw;
	/** Gets a record of each request. Its response is not judged: status 0. */
	readonly calls: TracedCall[];
	readonly signal: AbortSignal;
}

/** What a caller does on one connection. */
type Manner = (connection: HardConnection) => Promise<void>;

/** Makes one connection after the other, each used in a manner that is drawn. */
export async function keepHardCalling({members, key, draw, calls, signal}: KeepHardCallingOptions): Promise<void> {
	const manners: readonly Manner[] = [readSlowly, readSlowly, pipeline, offerUpgrade, keepOpen];
	while (!signal.aborted) {
		const {settings} = members[draw(members.length)]!;
		const connection = new HardConnection({
			instance: settings.instance, caller: new PipeliningCaller(endpointOf(settings.listen.callers)), key, draw, calls, signal,
		});
		await manners[draw(manners.length)]!(connection);
		connection.caller.close();
		await sleep(draw(KEPT_PAUSE_MS));
	}
}

interface HardConnectionOptions {
	readonly instance: string;
	readonly caller: PipeliningCaller;
	readonly key: string;
	readonly draw: Draw;
	readonly calls: TracedCall[];
	readonly signal: AbortSignal;
}

/** One connection of a caller, whose requests are recorded. */
class HardConnection {
	readonly caller: PipeliningCaller;
	readonly draw: Draw;
	readonly signal: AbortSignal;
	readonly #options: HardConnectionOptions;

	constructor(options: HardConnectionOptions) {
		this.#options = options;
		this.caller = options.caller;
		this.draw = options.draw;
		this.signal = options.signal;
	}

	/** Sends a read whose plays are drawn. */
	send(headers: readonly string[] = []): void {
		const {caller, key, draw, calls, instance} = this.#options;
		const requestId = randomUUID();
		const path = `/read/hard-${draw(MAX_PIPELINED)}`;
		const sentAtMs = performance.now();
		caller.send({
			requestId, path, plays: [plays[draw(plays.length)]!, plays[draw(plays.length)]!], timeLeftMs: TIME_LEFT_MS, headers: [`authorization: Bearer ${key}`, ...headers],
		});
		calls.push({
			method: 'GET', path, body: '', key, instance, sentAtMs, answeredAtMs: Number.POSITIVE_INFINITY, timeLeftMs: TIME_LEFT_MS, answer: {
				requestId, status: 0, text: '', headers: {},
			},
		});
	}
}

async function readSlowly(connection: HardConnection): Promise<void> {
	const {caller, draw} = connection;
	caller.pause();
	for (let count = 1 + draw(2); count > 0; count -= 1) {
		connection.send();
	}

	await sleep(draw(MAX_PAUSE_MS));
	caller.resume();
	await sleep(draw(MAX_PAUSE_MS));
}

async function pipeline(connection: HardConnection): Promise<void> {
	const {caller, draw} = connection;
	for (let count = 2 + draw(MAX_PIPELINED); count > 0; count -= 1) {
		connection.send();
		await sleep(draw(3));
	}

	await sleep(draw(MAX_PAUSE_MS));
	if (draw(2) === 0) {
		caller.reset();
	}
}

async function offerUpgrade(connection: HardConnection): Promise<void> {
	const {caller, draw} = connection;
	connection.send(['connection: upgrade', 'upgrade: websocket']);
	await sleep(draw(MAX_RESET_DELAY_MS));
	caller.reset();
}

/** Uses the connection until the gateway's process has closed it, through stops as well. */
async function keepOpen(connection: HardConnection): Promise<void> {
	for (let count = 0; count < KEPT_REQUESTS && connection.caller.endedAtMs === undefined && !connection.signal.aborted; count += 1) {
		connection.send();
		await sleep(connection.draw(KEPT_PAUSE_MS));
	}
}
