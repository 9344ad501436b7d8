/** A round against the reservations of uploads: more uploads than the servers may hold, while gateways are killed and the store is unavailable. */
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {Readable} from 'node:stream';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import type {Endpoint} from '@pomelopick/core.types';
import {configuration, endpointOf, HOST} from '@pomelopick/testing.gateway-fleet';
import {groupBy} from '@pomelopick/testing.history';
import type {Violation} from './call-check.js';
import {createDraw} from './draw.js';
import type {Draw} from './draw.js';
import {startEnvironment} from './environment.js';
import type {SoakEnvironment} from './environment.js';
import {injectLastingFaults} from './lasting-faults.js';
import type {LastingFaultName} from './lasting-faults.js';
import {checkUploads, largestHeld, uploadBound} from './upload-check.js';
import type {UploadRecord} from './upload-check.js';
import {startUploadServer} from './upload-server.js';
import type {UploadServer} from './upload-server.js';

const GATEWAYS = 4;
const SERVERS = 4;
/** Slots that the servers of the fleet register. */
const SLOTS = 4;
/** Callers that send one upload after the other: several times as many as the servers may hold. */
const CALLERS = 40;
const MAX_BODY_BYTES = 400_000;
/** Minimum size of an upload, in bytes: more than a gateway buffers before it chooses a server. */
const MIN_BODY_BYTES = 100_000;
const PIECE_BYTES = 80_000;
/** Range of the time between two pieces, in milliseconds. */
const PIECE_INTERVAL_MS = 200;
/** One upload in this many does not state its length. */
const UNSTATED_EVERY = 4;
const WORK_MS = 200;
const TIMEOUT_SECONDS = 2;
const RETRY_MS = 50;
const CONFIGURATION_VERSION = 100;
/** Time from the configuration to the first fault, in milliseconds: that of the claims of the shards. */
const SETTLE_MS = 4000;
/** Range of the random time added to a fault, in milliseconds: longer than the contact with the store that owners need to use their whole shares. */
const FAULT_JITTER_MS = 6000;

/** Faults of a round in CI. */
export const uploadFaultNames = ['kill', 'terminate', 'store-path-cut', 'store-outage', 'store-slow'] as const satisfies readonly LastingFaultName[];

/** Options of {@link runUploadRound}. */
export interface RunUploadRoundOptions {
	readonly seed: number;
	/** Time in which faults are injected, in milliseconds. */
	readonly durationMs: number;
	/** Faults to draw from. */
	readonly faultNames?: readonly LastingFaultName[];
}

/** Outcome of a round. */
export interface UploadRoundResult {
	readonly seed: number;
	/** Largest number of bytes that a server held at once, and the bound. */
	readonly largest: number;
	readonly bound: number;
	/** Number of uploads that servers got. */
	readonly arrived: number;
	/** Statuses that callers got, 0 for none, with their numbers. */
	readonly statuses: Readonly<Record<string, number>>;
	readonly faults: readonly string[];
	readonly violations: readonly Violation[];
}

/** Runs one round and checks it. */
export async function runUploadRound({seed, durationMs, faultNames = uploadFaultNames}: RunUploadRoundOptions): Promise<UploadRoundResult> {
	const environment = await startEnvironment({seed, gateways: GATEWAYS, servers: 0});
	const uploads: UploadRecord[] = [];
	const servers: UploadServer[] = [];
	try {
		servers.push(...await startServers({environment, uploads}));
		environment.fleet.write('op/config', configuration({
			version: CONFIGURATION_VERSION, timeoutSeconds: TIMEOUT_SECONDS, maxBodyBytes: MAX_BODY_BYTES, uploads: ['/upload/'],
		}));
		await sleep(SETTLE_MS);
		const endMs = performance.now() + durationMs;
		const endpoints = environment.members.map(({settings}) => endpointOf(settings.listen.callers));
		const [faults, ...statuses] = await Promise.all([
			injectLastingFaults({
				environment, names: faultNames, jitterMs: FAULT_JITTER_MS, draw: createDraw(seed), endMs,
			}),
			...Array.from({length: CALLERS}, async (_, number) => sendUploads({
				endpoints, number, draw: createDraw(seed + 1 + number), endMs,
			})),
		]);
		const gatewayFailures = await environment.listGatewayFailures();
		await Promise.all(servers.splice(0).map(async server => server.stop()));
		const bound = uploadBound({slots: SLOTS, maxBodyBytes: MAX_BODY_BYTES});
		return {
			seed, largest: largestHeld(uploads), bound, arrived: uploads.length, statuses: countAll(statuses.flat()), faults,
			violations: [...gatewayFailures, ...checkUploads({uploads, boundBytes: bound})],
		};
	} finally {
		await Promise.all(servers.map(async server => server.stop()));
		await environment.stop();
	}
}

async function startServers({environment, uploads}: {readonly environment: SoakEnvironment; readonly uploads: UploadRecord[]}): Promise<readonly UploadServer[]> {
	return Promise.all(Array.from({length: SERVERS}, async (_, number) => {
		const server = await startUploadServer({
			name: `upload-server-${number}`, maxBodyBytes: MAX_BODY_BYTES, workMs: WORK_MS, uploads,
		});
		environment.fleet.register({server, failureDomain: number % 2 === 0 ? 'north-a' : 'north-b'});
		return server;
	}));
}

interface SendUploadsOptions {
	readonly endpoints: readonly Endpoint[];
	/** Number of the caller. */
	readonly number: number;
	readonly draw: Draw;
	readonly endMs: number;
}

/** Sends one upload after the other, each to a gateway that is drawn; resolves with their statuses. */
async function sendUploads({endpoints, number, draw, endMs}: SendUploadsOptions): Promise<readonly number[]> {
	const statuses: number[] = [];
	for (let upload = 0; performance.now() < endMs; upload += 1) {
		const status = await sendUpload({endpoint: endpoints[draw(endpoints.length)]!, requestId: `${number}-${upload}`, draw});
		statuses.push(status);
		await sleep(status === 200 ? 0 : RETRY_MS);
	}

	return statuses;
}

function countAll(statuses: readonly number[]): Readonly<Record<string, number>> {
	return Object.fromEntries([...groupBy(statuses, String)].map(([status, {length}]) => [status, length]));
}

/** Sends one upload in pieces; resolves with its status, 0 if there was none. */
async function sendUpload({endpoint: {address, port}, requestId, draw}: {readonly endpoint: Endpoint; readonly requestId: string; readonly draw: Draw}): Promise<number> {
	const bytes = MIN_BODY_BYTES + draw(MAX_BODY_BYTES - MIN_BODY_BYTES + 1);
	const intervalMs = draw(PIECE_INTERVAL_MS);
	const isStated = draw(UNSTATED_EVERY) > 0;
	try {
		const response = await request(`http://${address}:${port}/upload/${requestId}`, {
			method: 'POST',
			body: Readable.from(listPieces({bytes, intervalMs})),
			headers: {
				host: HOST, 'x-request-id': requestId, 'x-affinity-key': requestId, 'x-deadline-ms': String(TIMEOUT_SECONDS * 1000), ...(isStated && {'content-length': String(bytes)}),
			},
		});
		await response.body.text();
		return response.statusCode;
	} catch {
		return 0;
	}
}

async function * listPieces({bytes, intervalMs}: {readonly bytes: number; readonly intervalMs: number}): AsyncGenerator<Uint8Array> {
	for (let sent = 0; sent < bytes; sent += PIECE_BYTES) {
		yield Buffer.alloc(Math.min(PIECE_BYTES, bytes - sent), 'u');
		await sleep(intervalMs);
	}
}
