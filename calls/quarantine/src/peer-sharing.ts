/** Shares deaths and cleared suspects with the other instances. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Client, ConnectRouter} from '@connectrpc/connect';
import type {BackendServerName, Endpoint, InstanceId} from '@pomelopick/core.types';
import {QuarantineService} from '@pomelopick/peer.protocol';
import type {ServerDeath as DeathMessage} from '@pomelopick/peer.protocol';
import type {PeerClients} from '@pomelopick/peer.transport';
import type {ServerCrash} from './crash-records.js';
import type {RequestFingerprint} from './fingerprint.js';
import type {Quarantine, SuspicionSharing} from './quarantine.js';

/** Time for which a call's refusal waits for the other instances to hear of a death, in milliseconds. */
const SHARE_WAIT_MS = 250;
/** A message that is late still arrives, so that a busy instance hears of it. */
const SHARE_TIMEOUT_MS = 2000;
const SHARE_RETRY_MS = 1000;
const MOST_SHARE_TRIES = 30;
/** Messages that wait to be sent again; more are sent once only. */
const MOST_SHARE_RETRIES = 256;
const LIST_TIMEOUT_MS = 1000;
const MOST_FINGERPRINTS = 512;
const FINGERPRINT_PATTERN = /^[\da-f]{64}$/u;
const LONGEST_NAME = 253;
const LONGEST_AGE_MS = 4_294_967_295;

/** Options of {@link createPeerSharing}. */
export interface CreatePeerSharingOptions {
	readonly clients: PeerClients;
	/** Where the other instances listen for peers. */
	readonly listPeers: () => readonly Endpoint[];
	/** Called for each message that did not arrive. */
	readonly onFailure: (message: string) => void;
	/** Ends the repetition of messages that did not arrive. */
	readonly signal: AbortSignal;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Creates the sharing over messages to every other instance. */
export function createPeerSharing({clients, listPeers, onFailure, now, signal}: CreatePeerSharingOptions): SuspicionSharing {
	let retries = 0;
	const tell = async (endpoint: Endpoint, send: SendMessage): Promise<boolean> => {
		const told = await clients.call({
			endpoint, service: QuarantineService, timeoutMs: SHARE_TIMEOUT_MS, invoke: send,
		}).run();
		told.ifLeft(error => {
			onFailure(error.message);
		});
		return told.isRight();
	};

	const isListed = ({address, port}: Endpoint): boolean => listPeers().some(peer => peer.address === address && peer.port === port);

	/** Says it again to an instance that is cut off or busy, until it has heard, has left the list or the tries are used up. */
	const tellUntilHeard = async (endpoint: Endpoint, send: SendMessage): Promise<void> => {
		if (await tell(endpoint, send) || retries >= MOST_SHARE_RETRIES) {
			return;
		}

		retries += 1;
		for (let tries = 1; tries < MOST_SHARE_TRIES && !signal.aborted; tries += 1) {
			await sleep(SHARE_RETRY_MS, undefined, {ref: false});
			if (!isListed(endpoint) || await tell(endpoint, send)) {
				break;
			}
		}

		retries -= 1;
	};

	const tellAll = async (send: SendMessage): Promise<void> => {
		const told = Promise.all(listPeers().map(async endpoint => tellUntilHeard(endpoint, send)));
		await Promise.race([told, sleep(SHARE_WAIT_MS, undefined, {ref: false})]);
	};

	return {
		async shareCrash({death, convicted}) {
			await tellAll(async (client, options) => client.reportDeath({death: toMessage({death, nowMs: now()}), convicted: [...convicted]}, options));
		},
		async shareCleared({fingerprint}) {
			await tellAll(async (client, options) => client.clearSuspect({fingerprint}, options));
		},
	};
}

type SendMessage = (client: Client<typeof QuarantineService>, options: {readonly timeoutMs: number}) => Promise<unknown>;

/** Options of {@link learnFromPeers}. */
export interface LearnFromPeersOptions {
	readonly clients: PeerClients;
	readonly peers: readonly Endpoint[];
	readonly quarantine: Quarantine;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Takes over what the first peer that answers knows. Answers whether one did. */
export async function learnFromPeers({clients, peers, quarantine, now}: LearnFromPeersOptions): Promise<boolean> {
	for (const endpoint of peers) {
		const answer = await clients.call({
			endpoint, service: QuarantineService, timeoutMs: LIST_TIMEOUT_MS, invoke: async (client, options) => client.listSuspicions({}, options),
		}).run();
		if (answer.isRight()) {
			const {deaths, convictions} = answer.unsafeCoerce();
			for (const message of deaths) {
				receive({message, quarantine, nowMs: now()});
			}

			for (const {fingerprint, ageMs} of convictions) {
				receiveConviction({fingerprint, quarantine, atMs: now() - ageMs});
			}

			return true;
		}
	}

	return false;
}

/** Answers the other instances' messages. */
export function registerQuarantine({router, quarantine, now}: {readonly router: ConnectRouter; readonly quarantine: Quarantine; readonly now: () => number}): void {
	router.service(QuarantineService, {
		reportDeath({death, convicted}) {
			if (death) {
				receive({message: death, quarantine, nowMs: now()});
			}

			for (const fingerprint of convicted) {
				receiveConviction({fingerprint, quarantine, atMs: now()});
			}

			return {};
		},
		clearSuspect({fingerprint}) {
			quarantine.receiveCleared(fingerprint as RequestFingerprint);
			return {};
		},
		listSuspicions() {
			const nowMs = now();
			return {
				deaths: quarantine.table.listCrashes().map(death => toMessage({death, nowMs})),
				convictions: quarantine.table.listQuarantined({nowMs}).filter(({certainty}) => certainty === 'certain').map(({fingerprint, atMs}) => ({fingerprint, ageMs: toAge(nowMs - atMs)})),
			};
		},
	});
}

function toMessage({death: {origin, sequence, server, fingerprints, atMs}, nowMs}: {readonly death: ServerCrash; readonly nowMs: number}): Omit<DeathMessage, '$typeName' | '$unknown'> {
	return {
		origin, sequence: BigInt(sequence), server, fingerprints: fingerprints.slice(0, MOST_FINGERPRINTS), ageMs: toAge(nowMs - atMs),
	};
}

function toAge(ageMs: number): number {
	return Math.min(LONGEST_AGE_MS, Math.max(0, Math.round(ageMs)));
}

function receive({message, quarantine, nowMs}: {readonly message: DeathMessage; readonly quarantine: Quarantine; readonly nowMs: number}): void {
	const {origin, sequence, server, fingerprints, ageMs} = message;
	const isBounded = origin.length <= LONGEST_NAME && server.length <= LONGEST_NAME && fingerprints.length <= MOST_FINGERPRINTS;
	if (isBounded && fingerprints.every(fingerprint => FINGERPRINT_PATTERN.test(fingerprint))) {
		quarantine.receiveCrash({
			origin: origin as InstanceId, sequence: Number(sequence), server: server as BackendServerName, fingerprints: fingerprints as RequestFingerprint[], atMs: nowMs - ageMs,
		});
	}
}

function receiveConviction({fingerprint, quarantine, atMs}: {readonly fingerprint: string; readonly quarantine: Quarantine; readonly atMs: number}): void {
	if (FINGERPRINT_PATTERN.test(fingerprint)) {
		quarantine.receiveQuarantined({fingerprint: fingerprint as RequestFingerprint, atMs});
	}
}
