/** Asks the owner of a shard, and the next in order when it gives no answer. */
import type {Client} from '@connectrpc/connect';
import type {Instance, InstanceId} from '@pomelopick/core.types';
import {JournalService} from '@pomelopick/peer.protocol';
import type {PeerClients} from '@pomelopick/peer.transport';
import type {Journal} from './journal.js';
import {orderOwners} from './owner-order.js';

const SUSPECT_FOR_MS = 2000;
const OWNER_TIMEOUT_MS = 600;
const MOST_OWNERS = 3;

/** Options of {@link OwnerCalls}. */
export interface OwnerCallsOptions {
	readonly self: InstanceId;
	readonly journal: Journal;
	readonly peers: PeerClients;
	/** Instances of the platform's list. */
	readonly liveInstances: () => readonly Instance[];
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	readonly onEvent: (name: string) => void;
}

/** Options of {@link OwnerCalls.ask}. */
export interface AskOptions<Answer> {
	readonly shard: number;
	/** Monotonic time by which an answer is needed, in milliseconds. */
	readonly deadlineMs: number;
	/** Asks this instance's own journal. */
	readonly local: (journal: Journal, options: {readonly signal: AbortSignal}) => Promise<Answer>;
	/** Asks another instance's. */
	readonly remote: (client: Client<typeof JournalService>, options: {readonly timeoutMs: number}) => Promise<Answer>;
	/** Whether the answer settles the question, so that no other owner is asked. */
	readonly isFinal: (answer: Answer) => boolean;
}

/** Routes questions to the owners of shards. */
export class OwnerCalls {
	readonly #options: OwnerCallsOptions;
	readonly #suspectedUntilMs = new Map<InstanceId, number>();

	constructor(options: OwnerCallsOptions) {
		this.#options = options;
	}

	/** Answers the last owner's word; undefined when no owner answered in time. Never rejects. */
	async ask<Answer>({shard, deadlineMs, local, remote, isFinal}: AskOptions<Answer>): Promise<Answer | undefined> {
		const {self, journal, now} = this.#options;
		let answer: Answer | undefined;
		for (const owner of this.#owners(shard)) {
			const timeoutMs = Math.min(OWNER_TIMEOUT_MS, Math.floor(deadlineMs - now()));
			if (timeoutMs <= 0) {
				return answer;
			}

			const isSelf = owner === undefined || owner.id === self;
			answer = (isSelf ? await askLocally({timeoutMs, ask: async signal => local(journal, {signal})}) : await this.#askPeer({owner, timeoutMs, remote})) ?? answer;
			if (answer !== undefined && isFinal(answer)) {
				return answer;
			}
		}

		return answer;
	}

	/** The best owners, and this instance itself as the last where it is not among them. */
	#owners(shard: number): ReadonlyArray<Instance | undefined> {
		const {self, liveInstances, now} = this.#options;
		const suspects = new Set([...this.#suspectedUntilMs].filter(([, untilMs]) => untilMs > now()).map(([id]) => id));
		const owners = orderOwners({shard, instances: liveInstances(), suspects}).slice(0, MOST_OWNERS - 1);
		return owners.some(({id}) => id === self) ? owners : [...owners, undefined];
	}

	async #askPeer<Answer>({owner, timeoutMs, remote}: {readonly owner: Instance; readonly timeoutMs: number; readonly remote: AskOptions<Answer>['remote']}): Promise<Answer | undefined> {
		const {peers, now, onEvent} = this.#options;
		const answered = await peers.call({
			endpoint: owner.peers, service: JournalService, timeoutMs, invoke: async (client, options) => remote(client, {...options, timeoutMs}),
		}).run();
		if (answered.isLeft()) {
			onEvent('journal.owner-silent');
			this.#suspectedUntilMs.set(owner.id, now() + SUSPECT_FOR_MS);
			return undefined;
		}

		return answered.extract() as Answer;
	}
}

async function askLocally<Answer>({timeoutMs, ask}: {readonly timeoutMs: number; readonly ask: (signal: AbortSignal) => Promise<Answer>}): Promise<Answer | undefined> {
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
