/** Sends requests to the owner of a shard, and to the next in order when it does not respond. */
import type {Instance, InstanceId} from '@pomelopick/core.types';
import {BeginVerdict, JournalService, OutcomeState} from '@pomelopick/peer.protocol';
import type {
	BeginRequest, BeginResponse, FinishRequest, FinishResponse, ReadOutcomeRequest, ReadOutcomeResponse,
} from '@pomelopick/peer.protocol';
import type {PeerCallOptions, PeerClients} from '@pomelopick/peer.transport';
import type {Journal} from './journal.js';
import {orderOwners} from './owner-order.js';
import {RequestBatcher} from './request-batcher.js';

/** Time for which an owner that did not respond comes last in the order, in milliseconds. */
const SUSPECT_PERIOD_MS = 2000;
const OWNER_TIMEOUT_MS = 600;
const BEGIN_BATCH_DELAY_MS = 5;
/** Longer than for `begin`, since no caller waits for an outcome to be recorded. */
const FINISH_BATCH_DELAY_MS = 20;
/** Maximum owners that get one request. */
const MAX_OWNERS = 2;
const MAX_BEGIN_BATCHES_IN_FLIGHT = 2;
const MAX_FINISH_BATCHES_IN_FLIGHT = 1;

/** Options of {@link OwnerCalls}. */
export interface OwnerCallsOptions {
	readonly self: InstanceId;
	readonly journal: Journal;
	readonly peers: PeerClients;
	/** Instances that can take requests. */
	readonly liveInstances: () => readonly Instance[];
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	readonly onEvent: (name: string) => void;
}

/** Responses of the owners of a shard to one request. */
export interface OwnerResponses<Response> {
	/** Responses in the order of the requests; only the last can be final. */
	readonly responses: readonly Response[];
	/** Number of owners that did not respond in time. */
	readonly unanswered: number;
}

interface Batchers {
	readonly begin: RequestBatcher<BeginRequest, BeginResponse>;
	readonly finish: RequestBatcher<FinishRequest, FinishResponse>;
}

interface RequestOwnersOptions<Response> {
	readonly shard: number;
	/** Monotonic time by which a response is needed, in milliseconds. */
	readonly deadlineMs: number;
	/** Sends the request to the journal of this instance. */
	readonly local: (signal: AbortSignal) => Promise<Response>;
	/** Sends the request to the journal of another instance; undefined when that does not respond. */
	readonly remote: (owner: Instance, signal: AbortSignal) => Promise<Response | undefined>;
	/** Whether the response is final, so that no other owner needs the request. */
	readonly isFinal: (response: Response) => boolean;
}

/** Routes requests to the owners of shards. No method rejects. */
export class OwnerCalls {
	readonly #options: OwnerCallsOptions;
	readonly #suspectedUntilMs = new Map<InstanceId, number>();
	/** Batchers by the address and port of the owner. */
	readonly #batchers = new Map<string, Batchers>();

	constructor(options: OwnerCallsOptions) {
		this.#options = options;
	}

	/** Requests permission to run a copy of a call. */
	async begin({request, deadlineMs}: {readonly request: BeginRequest; readonly deadlineMs: number}): Promise<OwnerResponses<BeginResponse>> {
		return this.#requestOwners({
			shard: request.key!.shard,
			deadlineMs,
			local: async signal => this.#options.journal.begin({request, signal}),
			remote: async (owner, signal) => this.#batchersOf(owner).begin.add({request, signal}),
			isFinal: ({verdict}) => verdict !== BeginVerdict.UNAVAILABLE,
		});
	}

	/** Records the end of a call. */
	async finish({request, deadlineMs}: {readonly request: FinishRequest; readonly deadlineMs: number}): Promise<OwnerResponses<FinishResponse>> {
		return this.#requestOwners({
			shard: request.key!.shard,
			deadlineMs,
			local: async () => this.#options.journal.finish(request),
			remote: async (owner, signal) => this.#batchersOf(owner).finish.add({request, signal}),
			isFinal: ({isKept}) => isKept,
		});
	}

	/** Reads the state of a key. */
	async readOutcome({request, deadlineMs}: {readonly request: ReadOutcomeRequest; readonly deadlineMs: number}): Promise<OwnerResponses<ReadOutcomeResponse>> {
		return this.#requestOwners({
			shard: request.key!.shard,
			deadlineMs,
			local: async () => this.#options.journal.readOutcome(request),
			remote: async owner => this.#callOwner({owner, invoke: async (client, options) => client.readOutcome(request, options)}),
			isFinal: ({state}) => state !== OutcomeState.UNAVAILABLE,
		});
	}

	async #requestOwners<Response>({shard, deadlineMs, local, remote, isFinal}: RequestOwnersOptions<Response>): Promise<OwnerResponses<Response>> {
		const {self, now} = this.#options;
		const responses: Response[] = [];
		let unanswered = 0;
		for (const owner of this.#ownersOf(shard)) {
			const timeoutMs = Math.min(OWNER_TIMEOUT_MS, Math.floor(deadlineMs - now()));
			if (timeoutMs <= 0) {
				break;
			}

			const response = await withTimeout({timeoutMs, send: async signal => owner === undefined || owner.id === self ? local(signal) : remote(owner, signal)});
			if (response === undefined) {
				unanswered += 1;
				continue;
			}

			responses.push(response);
			if (isFinal(response)) {
				break;
			}
		}

		return {responses, unanswered};
	}

	/**
	 * Lists the first owners in order; undefined stands for this instance when it knows none. The number is limited,
	 * because each further owner that writes to a shard makes the compare-and-swaps of the others fail: a slow store would
	 * get the more requests the slower it is.
	 */
	#ownersOf(shard: number): ReadonlyArray<Instance | undefined> {
		const {liveInstances, now} = this.#options;
		const suspects = new Set([...this.#suspectedUntilMs].filter(([, untilMs]) => untilMs > now()).map(([id]) => id));
		const owners = orderOwners({shard, instances: liveInstances(), suspects}).slice(0, MAX_OWNERS);
		return owners.length > 0 ? owners : [undefined];
	}

	#batchersOf(owner: Instance): Batchers {
		const endpoint = `${owner.peers.address} ${owner.peers.port}`;
		const existing = this.#batchers.get(endpoint);
		if (existing) {
			return existing;
		}

		const batchers: Batchers = {
			begin: new RequestBatcher({
				batchDelayMs: BEGIN_BATCH_DELAY_MS,
				maxBatchesInFlight: MAX_BEGIN_BATCHES_IN_FLIGHT,
				send: async requests => {
					const response = await this.#callOwner({owner, invoke: async (client, options) => client.beginMany({requests: [...requests]}, options)});
					return response?.responses;
				},
			}),
			finish: new RequestBatcher({
				batchDelayMs: FINISH_BATCH_DELAY_MS,
				maxBatchesInFlight: MAX_FINISH_BATCHES_IN_FLIGHT,
				send: async requests => {
					const response = await this.#callOwner({owner, invoke: async (client, options) => client.finishMany({requests: [...requests]}, options)});
					return response?.responses;
				},
			}),
		};
		this.#batchers.set(endpoint, batchers);
		return batchers;
	}

	async #callOwner<Response>({owner, invoke}: {readonly owner: Instance; readonly invoke: PeerCallOptions<typeof JournalService, Response>['invoke']}): Promise<Response | undefined> {
		const {peers, now, onEvent} = this.#options;
		const result = await peers.call({
			endpoint: owner.peers, service: JournalService, timeoutMs: OWNER_TIMEOUT_MS, invoke,
		}).run();
		if (result.isLeft()) {
			onEvent('journal.owner-silent');
			this.#suspectedUntilMs.set(owner.id, now() + SUSPECT_PERIOD_MS);
			return undefined;
		}

		return result.extract() as Response;
	}
}

async function withTimeout<Response>({timeoutMs, send}: {readonly timeoutMs: number; readonly send: (signal: AbortSignal) => Promise<Response | undefined>}): Promise<Response | undefined> {
	const controller = new AbortController();
	let timer: NodeJS.Timeout | undefined;
	const timeout = new Promise<undefined>(resolve => {
		timer = setTimeout(() => {
			controller.abort();
			resolve(undefined);
		}, timeoutMs);
	});
	const response = await Promise.race([send(controller.signal), timeout]);
	clearTimeout(timer);
	return response;
}
