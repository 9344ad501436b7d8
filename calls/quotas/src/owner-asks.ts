/** Asks the owners of shards, with one message for all organisations that need permits at the same moment, and remembers which owners do not answer. */
import type {Either} from 'purify-ts';
import type {CallCounters} from '@pomelopick/core.telemetry';
import type {CodedError, Endpoint, InstanceId} from '@pomelopick/core.types';
import {shards} from '@pomelopick/steering.quotas';
import type {ShardOwner} from '@pomelopick/steering.quotas';
import {MAX_ASKS} from './quota-messages.js';
import type {AskQuotaOptions} from './quota-client.js';
import type {
	QuotaAnswer, QuotaAsk, QuotaGrant, QuotaRequest,
} from './quota-messages.js';

/** Time within which an owner must answer, in milliseconds. */
const ASK_TIMEOUT_MS = 150;
/** Time for which an owner that gave no answer is not asked again, in milliseconds. */
const UNANSWERED_MS = 500;
/** Time for which an instance that does not own the shard is not asked again, in milliseconds: the record of the new owner arrives meanwhile. */
const NOT_OWNER_MS = 250;
/** Time for which an instance of a build without quotas is not asked again, in milliseconds. */
const UNSUPPORTED_MS = 60_000;

/** The owner of a shard. */
export interface OwnerEndpoint {
	readonly id: InstanceId;
	/** Endpoint for other instances; undefined: it has none, or is not registered. */
	readonly peers: Endpoint | undefined;
	readonly isSelf: boolean;
	readonly isSameFailureDomain: boolean;
	readonly isSameRegion: boolean;
}

/** Options of {@link OwnerAsks}. */
export interface OwnerAsksOptions {
	/** Name of this instance. */
	readonly instance: string;
	/** The owner of a shard in the view of this instance; undefined: none is known. */
	readonly findOwner: (shard: number) => OwnerEndpoint | undefined;
	/** Grants permits of a shard that this instance owns; undefined when it may not use it. */
	readonly grantOwn: (request: QuotaRequest) => QuotaAnswer | undefined;
	/** Asks another instance; never rejects. */
	readonly ask: (options: AskQuotaOptions) => Promise<Either<CodedError, QuotaAnswer>>;
	readonly counters: CallCounters;
	/** Monotonic time, in milliseconds, read after a suspension was detected. */
	readonly now: () => number;
}

interface Outgoing {
	readonly asks: QuotaAsk[];
	readonly answer: Promise<QuotaAnswer | undefined>;
}

/** An owner that is not asked for a while. */
interface ClosedOwner {
	readonly id: InstanceId;
	/** Monotonic time, in milliseconds. */
	readonly untilMs: number;
}

/** Sends questions for permits to the owners of shards. */
export class OwnerAsks {
	readonly #options: OwnerAsksOptions;
	/** Owners that are not asked for a while, by shard. */
	readonly #closed = new Map<number, ClosedOwner>();
	/** Messages that are sent at the end of this turn of the event loop, by shard. */
	readonly #outgoing = new Map<number, Outgoing>();

	constructor(options: OwnerAsksOptions) {
		this.#options = options;
	}

	/** Lists the owners of all shards, and whether each can be asked. */
	list({closedUntilMs, nowMs}: {readonly closedUntilMs: readonly number[]; readonly nowMs: number}): readonly ShardOwner[] {
		const {findOwner} = this.#options;
		return shards.map(shard => {
			const owner = findOwner(shard);
			const closed = this.#closed.get(shard);
			const isClosed = closed !== undefined && closed.id === owner?.id && nowMs < closed.untilMs;
			return {
				shard,
				isSelf: owner?.isSelf ?? false,
				isReachable: owner !== undefined && (owner.isSelf || owner.peers !== undefined) && !isClosed,
				isSameFailureDomain: owner?.isSameFailureDomain ?? false,
				isSameRegion: owner?.isSameRegion ?? false,
				closedUntilMs: closedUntilMs[shard]!,
			};
		});
	}

	/** Asks the owner of a shard; returns, or resolves with, what it grants. Undefined: it gave no answer, or does not own the shard. Never rejects. */
	ask({shard, ask}: {readonly shard: number; readonly ask: QuotaAsk}): QuotaGrant | undefined | Promise<QuotaGrant | undefined> {
		const {instance, findOwner, grantOwn, now} = this.#options;
		const owner = findOwner(shard);
		if (owner?.isSelf) {
			const answer = grantOwn({instance, shard, asks: [ask]});
			if (!answer) {
				this.#closed.set(shard, {id: owner.id, untilMs: now() + NOT_OWNER_MS});
			}

			return answer?.grants[0];
		}

		return this.#askOther({shard, ask});
	}

	async #askOther({shard, ask}: {readonly shard: number; readonly ask: QuotaAsk}): Promise<QuotaGrant | undefined> {
		let outgoing = this.#outgoing.get(shard);
		if (!outgoing || outgoing.asks.length >= MAX_ASKS) {
			const asks: QuotaAsk[] = [];
			outgoing = {asks, answer: this.#send({shard, asks})};
			this.#outgoing.set(shard, outgoing);
		}

		const position = outgoing.asks.push(ask) - 1;
		const answer = await outgoing.answer;
		return answer?.grants[position];
	}

	async #send({shard, asks}: {readonly shard: number; readonly asks: QuotaAsk[]}): Promise<QuotaAnswer | undefined> {
		// The requests of one turn of the event loop are sent together.
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		if (this.#outgoing.get(shard)?.asks === asks) {
			this.#outgoing.delete(shard);
		}

		const {instance, findOwner, ask, counters, now} = this.#options;
		const owner = findOwner(shard);
		if (!owner?.peers) {
			return undefined;
		}

		counters.add('quota.asked');
		const answered = await ask({endpoint: owner.peers, request: {instance, shard, asks}, timeoutMs: ASK_TIMEOUT_MS});
		return answered.caseOf<QuotaAnswer | undefined>({
			Left: ({code}) => {
				counters.add(`quota.${code.replace(/^quota-/u, '')}`);
				this.#closed.set(shard, {id: owner.id, untilMs: now() + closedMs(code)});
				return undefined;
			},
			Right: answer => answer,
		});
	}
}

function closedMs(code: string): number {
	if (code === 'quota-unsupported') {
		return UNSUPPORTED_MS;
	}

	return code === 'quota-not-owner' ? NOT_OWNER_MS : UNANSWERED_MS;
}
