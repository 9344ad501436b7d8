/** Asks the owner of a shard, and the next in order when it gives no answer. */
import type {Instance, InstanceId} from '@pomelopick/core.types';
import {BeginVerdict, JournalService, OutcomeState} from '@pomelopick/peer.protocol';
import type {
	BeginRequest, BeginResponse, FinishRequest, FinishResponse, ReadOutcomeRequest, ReadOutcomeResponse,
} from '@pomelopick/peer.protocol';
import type {PeerCallOptions, PeerClients} from '@pomelopick/peer.transport';
import type {Journal} from './journal.js';
import {orderOwners} from './owner-order.js';
import {RequestBatcher} from './request-batcher.js';

const SUSPECT_FOR_MS = 2000;
const OWNER_TIMEOUT_MS = 600;
const BEGIN_GATHER_MS = 5;
/** No caller waits for an outcome to be kept. */
const FINISH_GATHER_MS = 20;
const MOST_OWNERS = 2;
const MOST_BEGINS_IN_FLIGHT = 2;
const MOST_FINISHES_IN_FLIGHT = 1;

/** Options of {@link OwnerCalls}. */
export interface OwnerCallsOptions {
	readonly self: InstanceId;
	readonly journal: Journal;
	readonly peers: PeerClients;
	/** Instances that can take work. */
	readonly liveInstances: () => readonly Instance[];
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	readonly onEvent: (name: string) => void;
}

/** What the owners that were asked said. */
export interface OwnersSaid<Answer> {
	/** Answers in the order of asking; only the last can be final. */
	readonly answers: readonly Answer[];
	/** Owners that were asked and gave no answer in time. */
	readonly unanswered: number;
}

interface Batchers {
	readonly begin: RequestBatcher<BeginRequest, BeginResponse>;
	readonly finish: RequestBatcher<FinishRequest, FinishResponse>;
}

interface AskOptions<Answer> {
	readonly shard: number;
	/** Monotonic time by which an answer is needed, in milliseconds. */
	readonly deadlineMs: number;
	/** Asks this instance's own journal. */
	readonly local: (signal: AbortSignal) => Promise<Answer>;
	/** Asks another instance's; undefined when it gives no answer. */
	readonly remote: (owner: Instance, signal: AbortSignal) => Promise<Answer | undefined>;
	/** Whether the answer settles the question, so that no other owner is asked. */
	readonly isFinal: (answer: Answer) => boolean;
}

/** Routes questions to the owners of shards. No method rejects. */
export class OwnerCalls {
	readonly #options: OwnerCallsOptions;
	readonly #suspectedUntilMs = new Map<InstanceId, number>();
	/** By the address and port of the owner. */
	readonly #batchers = new Map<string, Batchers>();

	constructor(options: OwnerCallsOptions) {
		this.#options = options;
	}

	/** Asks whether a call may be run. */
	async begin({request, deadlineMs}: {readonly request: BeginRequest; readonly deadlineMs: number}): Promise<OwnersSaid<BeginResponse>> {
		return this.#ask({
			shard: request.key!.shard,
			deadlineMs,
			local: async signal => this.#options.journal.begin({request, signal}),
			remote: async (owner, signal) => this.#batchersOf(owner).begin.add({request, signal}),
			isFinal: ({verdict}) => verdict !== BeginVerdict.UNAVAILABLE,
		});
	}

	/** Records the end of a call. */
	async finish({request, deadlineMs}: {readonly request: FinishRequest; readonly deadlineMs: number}): Promise<OwnersSaid<FinishResponse>> {
		return this.#ask({
			shard: request.key!.shard,
			deadlineMs,
			local: async () => this.#options.journal.finish(request),
			remote: async (owner, signal) => this.#batchersOf(owner).finish.add({request, signal}),
			isFinal: ({isKept}) => isKept,
		});
	}

	/** Reads what is known of a key. */
	async readOutcome({request, deadlineMs}: {readonly request: ReadOutcomeRequest; readonly deadlineMs: number}): Promise<OwnersSaid<ReadOutcomeResponse>> {
		return this.#ask({
			shard: request.key!.shard,
			deadlineMs,
			local: async () => this.#options.journal.readOutcome(request),
			remote: async owner => this.#call({owner, invoke: async (client, options) => client.readOutcome(request, options)}),
			isFinal: ({state}) => state !== OutcomeState.UNAVAILABLE,
		});
	}

	async #ask<Answer>({shard, deadlineMs, local, remote, isFinal}: AskOptions<Answer>): Promise<OwnersSaid<Answer>> {
		const {self, now} = this.#options;
		const answers: Answer[] = [];
		let unanswered = 0;
		for (const owner of this.#owners(shard)) {
			const timeoutMs = Math.min(OWNER_TIMEOUT_MS, Math.floor(deadlineMs - now()));
			if (timeoutMs <= 0) {
				break;
			}

			const answer = await within({timeoutMs, ask: async signal => owner === undefined || owner.id === self ? local(signal) : remote(owner, signal)});
			if (answer === undefined) {
				unanswered += 1;
				continue;
			}

			answers.push(answer);
			if (isFinal(answer)) {
				break;
			}
		}

		return {answers, unanswered};
	}

	/**
	 * The best owners; this instance itself when it knows of none. No more are asked: each further owner of one shard
	 * makes the others' swaps fail, so that a slow store would be asked the more the slower it is.
	 */
	#owners(shard: number): ReadonlyArray<Instance | undefined> {
		const {liveInstances, now} = this.#options;
		const suspects = new Set([...this.#suspectedUntilMs].filter(([, untilMs]) => untilMs > now()).map(([id]) => id));
		const owners = orderOwners({shard, instances: liveInstances(), suspects}).slice(0, MOST_OWNERS);
		return owners.length > 0 ? owners : [undefined];
	}

	#batchersOf(owner: Instance): Batchers {
		const receiver = `${owner.peers.address} ${owner.peers.port}`;
		const existing = this.#batchers.get(receiver);
		if (existing) {
			return existing;
		}

		const batchers: Batchers = {
			begin: new RequestBatcher({
				gatherMs: BEGIN_GATHER_MS,
				mostInFlight: MOST_BEGINS_IN_FLIGHT,
				send: async requests => {
					const answer = await this.#call({owner, invoke: async (client, options) => client.beginMany({requests: [...requests]}, options)});
					return answer?.responses;
				},
			}),
			finish: new RequestBatcher({
				gatherMs: FINISH_GATHER_MS,
				mostInFlight: MOST_FINISHES_IN_FLIGHT,
				send: async requests => {
					const answer = await this.#call({owner, invoke: async (client, options) => client.finishMany({requests: [...requests]}, options)});
					return answer?.responses;
				},
			}),
		};
		this.#batchers.set(receiver, batchers);
		return batchers;
	}

	async #call<Answer>({owner, invoke}: {readonly owner: Instance; readonly invoke: PeerCallOptions<typeof JournalService, Answer>['invoke']}): Promise<Answer | undefined> {
		const {peers, now, onEvent} = this.#options;
		const answered = await peers.call({
			endpoint: owner.peers, service: JournalService, timeoutMs: OWNER_TIMEOUT_MS, invoke,
		}).run();
		if (answered.isLeft()) {
			onEvent('journal.owner-silent');
			this.#suspectedUntilMs.set(owner.id, now() + SUSPECT_FOR_MS);
			return undefined;
		}

		return answered.extract() as Answer;
	}
}

async function within<Answer>({timeoutMs, ask}: {readonly timeoutMs: number; readonly ask: (signal: AbortSignal) => Promise<Answer | undefined>}): Promise<Answer | undefined> {
	const controller = new AbortController();
	let timer: NodeJS.Timeout | undefined;
	const timeout = new Promise<undefined>(resolve => {
		timer = setTimeout(() => {
			controller.abort();
			resolve(undefined);
		}, timeoutMs);
	});
	const answer = await Promise.race([ask(controller.signal), timeout]);
	clearTimeout(timer);
	return answer;
}
