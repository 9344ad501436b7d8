/**
 * Shares crashes, quarantined requests and answers to suspects with the other instances by messages between peers. The
 * messages call a crash a death, an answer a clearing, and a quarantined request convicted or a conviction.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Client, ConnectRouter} from '@connectrpc/connect';
import type {BackendServerName, Endpoint, InstanceId} from '@pomelopick/core.types';
import {QuarantineService} from '@pomelopick/peer.protocol';
import type {ServerDeath as CrashMessage} from '@pomelopick/peer.protocol';
import type {PeerClients} from '@pomelopick/peer.transport';
import type {ServerCrash} from './crash-records.js';
import type {RequestFingerprint} from './fingerprint.js';
import type {Quarantine, SuspicionSharing} from './quarantine.js';

/** Maximum time for which the refusal of a call waits until the other instances have received a crash report, in milliseconds. */
const SHARE_WAIT_MS = 250;
/** Timeout of a message, in milliseconds. Longer than `SHARE_WAIT_MS`, so that the message still reaches a busy instance that responds late. */
const SHARE_TIMEOUT_MS = 2000;
const SHARE_RETRY_MS = 1000;
const MAX_SHARE_TRIES = 30;
/** Maximum number of messages that are being retried at the same time. A message that fails beyond this number is not retried. */
const MAX_PENDING_RETRIES = 256;
const LIST_TIMEOUT_MS = 1000;
const MAX_FINGERPRINTS = 512;
const FINGERPRINT_PATTERN = /^[\da-f]{64}$/u;
const MAX_NAME_LENGTH = 253;
/** Largest value of the `uint32` fields that carry an age. */
const MAX_AGE_MS = 4_294_967_295;

/** Options of {@link createPeerSharing}. */
export interface CreatePeerSharingOptions {
	readonly clients: PeerClients;
	/** Returns the endpoints at which the other instances accept messages of peers. */
	readonly listPeers: () => readonly Endpoint[];
	/** Called each time that sending a message fails. */
	readonly onFailure: (message: string) => void;
	/** Stops the retries when it is aborted. */
	readonly signal: AbortSignal;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Creates a {@link SuspicionSharing} that sends each change to every other instance. */
export function createPeerSharing({clients, listPeers, onFailure, now, signal}: CreatePeerSharingOptions): SuspicionSharing {
	let retries = 0;
	const trySend = async (endpoint: Endpoint, send: SendMessage): Promise<boolean> => {
		const result = await clients.call({
			endpoint, service: QuarantineService, timeoutMs: SHARE_TIMEOUT_MS, invoke: send,
		}).run();
		result.ifLeft(error => {
			onFailure(error.message);
		});
		return result.isRight();
	};

	const isListed = ({address, port}: Endpoint): boolean => listPeers().some(peer => peer.address === address && peer.port === port);

	/** Sends a message, with retries until it succeeds, the instance is no longer listed or the maximum number of tries is reached. */
	const sendWithRetries = async (endpoint: Endpoint, send: SendMessage): Promise<void> => {
		if (await trySend(endpoint, send) || retries >= MAX_PENDING_RETRIES) {
			return;
		}

		retries += 1;
		for (let tries = 1; tries < MAX_SHARE_TRIES && !signal.aborted; tries += 1) {
			await sleep(SHARE_RETRY_MS, undefined, {ref: false});
			if (!isListed(endpoint) || await trySend(endpoint, send)) {
				break;
			}
		}

		retries -= 1;
	};

	const broadcast = async (send: SendMessage): Promise<void> => {
		const sent = Promise.all(listPeers().map(async endpoint => sendWithRetries(endpoint, send)));
		await Promise.race([sent, sleep(SHARE_WAIT_MS, undefined, {ref: false})]);
	};

	return {
		async shareCrash({crash, quarantined: convicted}) {
			await broadcast(async (client, options) => client.reportDeath({death: toMessage({crash, nowMs: now()}), convicted: [...convicted]}, options));
		},
		async shareAnswer({fingerprint}) {
			await broadcast(async (client, options) => client.clearSuspect({fingerprint}, options));
		},
	};
}

type SendMessage = (client: Client<typeof QuarantineService>, options: {readonly timeoutMs: number}) => Promise<unknown>;

/** Options of {@link copyFromPeers}. */
export interface CopyFromPeersOptions {
	readonly clients: PeerClients;
	readonly peers: readonly Endpoint[];
	readonly quarantine: Quarantine;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Copies the crashes and quarantined requests of the first peer that responds. Returns false if no peer does. */
export async function copyFromPeers({clients, peers, quarantine, now}: CopyFromPeersOptions): Promise<boolean> {
	for (const endpoint of peers) {
		const answer = await clients.call({
			endpoint, service: QuarantineService, timeoutMs: LIST_TIMEOUT_MS, invoke: async (client, options) => client.listSuspicions({}, options),
		}).run();
		if (answer.isRight()) {
			const {deaths, convictions} = answer.unsafeCoerce();
			for (const message of deaths) {
				receiveCrashMessage({message, quarantine, nowMs: now()});
			}

			for (const {fingerprint, ageMs} of convictions) {
				receiveQuarantinedFingerprint({fingerprint, quarantine, atMs: now() - ageMs});
			}

			return true;
		}
	}

	return false;
}

/** Registers the handlers for messages of the other instances. */
export function registerQuarantine({router, quarantine, now}: {readonly router: ConnectRouter; readonly quarantine: Quarantine; readonly now: () => number}): void {
	router.service(QuarantineService, {
		reportDeath({death, convicted}) {
			if (death) {
				receiveCrashMessage({message: death, quarantine, nowMs: now()});
			}

			for (const fingerprint of convicted) {
				receiveQuarantinedFingerprint({fingerprint, quarantine, atMs: now()});
			}

			return {};
		},
		clearSuspect({fingerprint}) {
			quarantine.receiveAnswer({fingerprint: fingerprint as RequestFingerprint});
			return {};
		},
		listSuspicions() {
			const nowMs = now();
			return {
				deaths: quarantine.table.listCrashes().map(crash => toMessage({crash, nowMs})),
				convictions: quarantine.table.listQuarantined({nowMs}).filter(({certainty}) => certainty === 'certain').map(({fingerprint, atMs}) => ({fingerprint, ageMs: clampAgeMs(nowMs - atMs)})),
			};
		},
	});
}

function toMessage({crash: {origin, sequence, server, fingerprints, atMs}, nowMs}: {readonly crash: ServerCrash; readonly nowMs: number}): Omit<CrashMessage, '$typeName' | '$unknown'> {
	return {
		origin, sequence: BigInt(sequence), server, fingerprints: fingerprints.slice(0, MAX_FINGERPRINTS), ageMs: clampAgeMs(nowMs - atMs),
	};
}

function clampAgeMs(ageMs: number): number {
	return Math.min(MAX_AGE_MS, Math.max(0, Math.round(ageMs)));
}

/** Records a crash that a peer reported. A message with malformed or oversized fields is ignored. */
function receiveCrashMessage({message, quarantine, nowMs}: {readonly message: CrashMessage; readonly quarantine: Quarantine; readonly nowMs: number}): void {
	const {origin, sequence, server, fingerprints, ageMs} = message;
	const isBounded = origin.length <= MAX_NAME_LENGTH && server.length <= MAX_NAME_LENGTH && fingerprints.length <= MAX_FINGERPRINTS;
	if (isBounded && fingerprints.every(fingerprint => FINGERPRINT_PATTERN.test(fingerprint))) {
		quarantine.receiveCrash({
			origin: origin as InstanceId, sequence: Number(sequence), server: server as BackendServerName, fingerprints: fingerprints as RequestFingerprint[], atMs: nowMs - ageMs,
		});
	}
}

/** Records that a peer quarantined a request. A malformed fingerprint is ignored. */
function receiveQuarantinedFingerprint({fingerprint, quarantine, atMs}: {readonly fingerprint: string; readonly quarantine: Quarantine; readonly atMs: number}): void {
	if (FINGERPRINT_PATTERN.test(fingerprint)) {
		quarantine.receiveQuarantined({fingerprint: fingerprint as RequestFingerprint, atMs});
	}
}
