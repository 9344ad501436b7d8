/**
 * Tells other instances directly of requests that crash servers, for the time in which the store does not take it.
 *
 * A message goes to a few instances, each of which passes it on to a part of the others, so that no instance sends to
 * all of a large fleet. An instance that does not take its message is replaced by the next of its part.
 */
import type {Either} from 'purify-ts';
import type {CodedError, Endpoint, InstanceId} from '@pomelopick/core.types';
import type {InstanceRecord} from './instance-record.js';
import type {SuspicionMessage, SuspicionRecord} from './suspicion-records.js';

/** Instances that one instance sends a message to. */
const MAX_BRANCHES = 16;
/** Pause between two messages of an instance for each instance of the fleet, in milliseconds: what one instance takes from all then does not grow with the fleet. */
const PAUSE_PER_INSTANCE_MS = 5;

/** Options of {@link SuspicionSender}. */
export interface SuspicionSenderOptions {
	readonly self: InstanceId;
	/** Instances that are there. */
	readonly instances: () => readonly InstanceRecord[];
	/** Sends one message; never rejects. */
	readonly send: (options: {readonly endpoint: Endpoint; readonly message: SuspicionMessage}) => Promise<Either<CodedError, void>>;
	/** Told of each record that another instance sent. */
	readonly onRecord: (record: SuspicionRecord) => void;
	readonly sleep: (milliseconds: number) => Promise<void>;
	readonly onFailure: (failure: {readonly instance: InstanceId; readonly error: CodedError}) => void;
}

interface Target {
	readonly id: InstanceId;
	readonly peers: Endpoint;
}

interface SendOptions {
	readonly records: readonly SuspicionRecord[];
	readonly targets: readonly Target[];
}

/** Sends messages, and passes on those of others. */
export class SuspicionSender {
	readonly #options: SuspicionSenderOptions;
	#isBroadcasting = false;
	#mustBroadcastAgain = false;

	constructor(options: SuspicionSenderOptions) {
		this.#options = options;
	}

	/** Tells all other instances; what is to be told before the next message may be sent goes together into it. */
	async broadcast(listRecords: () => readonly SuspicionRecord[]): Promise<void> {
		this.#mustBroadcastAgain = true;
		if (this.#isBroadcasting) {
			return;
		}

		this.#isBroadcasting = true;
		while (this.#mustBroadcastAgain) {
			this.#mustBroadcastAgain = false;
			const targets = this.#listTargets();
			await this.#sendToTargets({records: listRecords(), targets});
			await this.#options.sleep(targets.length * PAUSE_PER_INSTANCE_MS);
		}

		this.#isBroadcasting = false;
	}

	/** Takes a message and passes it on; resolves when it was passed on. */
	async receive({records, passOn}: SuspicionMessage): Promise<void> {
		for (const record of records) {
			this.#options.onRecord(record);
		}

		const ids = new Set(passOn);
		await this.#sendToTargets({records, targets: this.#listTargets().filter(({id}) => ids.has(id))});
	}

	#listTargets(): readonly Target[] {
		const {instances, self} = this.#options;
		return instances().flatMap(({id, peers}) => id === self || peers === undefined ? [] : {id, peers});
	}

	async #sendToTargets({records, targets}: SendOptions): Promise<void> {
		if (records.length === 0) {
			return;
		}

		const branches = Array.from({length: Math.min(MAX_BRANCHES, targets.length)}, (_, branch) => targets.filter((_target, index) => index % MAX_BRANCHES === branch));
		await Promise.all(branches.map(async branch => this.#sendToBranch({records, targets: branch})));
	}

	/** Sends to the first instance of a branch that takes the message; it passes it on to the rest. */
	async #sendToBranch({records, targets}: SendOptions): Promise<void> {
		const {send, onFailure} = this.#options;
		for (const [index, {id, peers}] of targets.entries()) {
			const sent = await send({endpoint: peers, message: {records, passOn: targets.slice(index + 1).map(target => target.id)}});
			if (sent.isRight()) {
				return;
			}

			onFailure({instance: id, error: sent.extract() as CodedError});
		}
	}
}
