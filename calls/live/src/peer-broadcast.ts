/**
 * Sends records to all other instances directly, without the store.
 *
 * A message goes to a few instances, each of which forwards it to a branch of the others, so that no instance sends to
 * all instances of a large fleet. If an instance does not accept its message, the next one of its branch gets it.
 */
import type {Either} from 'purify-ts';
import type {CodedError, Endpoint, InstanceId} from '@pomelopick/core.types';
import type {BroadcastMessage} from './broadcast-message.js';
import type {InstanceRecord} from './instance-record.js';

/** Maximum number of instances that one instance sends a message to. */
const MAX_BRANCHES = 16;
/** Pause between two broadcasts of an instance, per instance of the fleet, in milliseconds, so that the messages that one instance receives do not increase with the size of the fleet. */
const PAUSE_PER_INSTANCE_MS = 5;

/** Options of {@link PeerBroadcast}. */
export interface PeerBroadcastOptions<Item> {
	readonly self: InstanceId;
	/** Live instances. */
	readonly instances: () => readonly InstanceRecord[];
	/** Sends one message; never rejects. */
	readonly send: (options: {readonly endpoint: Endpoint; readonly message: BroadcastMessage<Item>}) => Promise<Either<CodedError, void>>;
	/** Called for each record that another instance sent. */
	readonly onRecord: (record: Item) => void;
	readonly sleep: (milliseconds: number) => Promise<void>;
	readonly onFailure: (failure: {readonly instance: InstanceId; readonly error: CodedError}) => void;
}

interface Target {
	readonly id: InstanceId;
	readonly peers: Endpoint;
}

interface SendOptions<Item> {
	readonly records: readonly Item[];
	readonly targets: readonly Target[];
}

/** Sends messages, and forwards those of other instances. */
export class PeerBroadcast<Item> {
	readonly #options: PeerBroadcastOptions<Item>;
	#isBroadcasting = false;
	#mustBroadcastAgain = false;

	constructor(options: PeerBroadcastOptions<Item>) {
		this.#options = options;
	}

	/** Sends records to all other instances. Calls during a broadcast are combined into one further broadcast, for which `listRecords` is called again. */
	async broadcast(listRecords: () => readonly Item[]): Promise<void> {
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

	/** Handles a message and forwards it; resolves when it was forwarded. */
	async receive({records, passOn}: BroadcastMessage<Item>): Promise<void> {
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

	async #sendToTargets({records, targets}: SendOptions<Item>): Promise<void> {
		if (records.length === 0) {
			return;
		}

		const branches = Array.from({length: Math.min(MAX_BRANCHES, targets.length)}, (_, branch) => targets.filter((_target, index) => index % MAX_BRANCHES === branch));
		await Promise.all(branches.map(async branch => this.#sendToBranch({records, targets: branch})));
	}

	/** Sends to the first instance of a branch that accepts the message; that instance forwards it to the rest. */
	async #sendToBranch({records, targets}: SendOptions<Item>): Promise<void> {
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
