/** An intent a call: one key of the store for each keyed call, written before its dispatch and again with its outcome. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {toBinary, fromBinary} from '@bufbuild/protobuf';
import type {BeginKeyedCallOptions, KeyedRun, KeyGuard} from '@pomelopick/calls.forwarding';
import {toKeptOutcome, toKeyedResponse} from '@pomelopick/calls.journal';
import type {Refusal} from '@pomelopick/core.types';
import {KeptOutcomeSchema} from '@pomelopick/peer.protocol';
import type {KeyValueStore} from '@pomelopick/platform.store';

const PREFIX = 'pomelopick/intents';
const MOST_TRIES = 3;

/** A {@link KeyGuard} without owners. */
export class IntentPerCall implements KeyGuard {
	readonly #store: KeyValueStore;

	constructor({store}: {readonly store: KeyValueStore}) {
		this.#store = store;
	}

	readonly begin = async ({key, service}: BeginKeyedCallOptions): Promise<Either<Refusal, KeyedRun>> => {
		const path = `${PREFIX}/${service}/${key}`;
		const written = await this.#store.compareAndSwap({key: path, value: new Uint8Array(), expectedIndex: 0}).run();
		if (written.isLeft()) {
			return Left({reason: 'journal-unavailable', execution: 'not-run', detail: 'the intent was not kept'});
		}

		return written.extract() ? Right({kind: 'run', finish: async outcome => this.#finish({path, value: toBinary(KeptOutcomeSchema, toKeptOutcome(outcome))})}) : this.#replay(path);
	};

	async #finish({path, value}: {readonly path: string; readonly value: Uint8Array}): Promise<void> {
		for (let attempt = 0; attempt < MOST_TRIES; attempt += 1) {
			const found = await this.#store.get(path).run();
			const expectedIndex = found.orDefault(undefined)?.modifyIndex;
			if (expectedIndex !== undefined) {
				const written = await this.#store.compareAndSwap({key: path, value, expectedIndex}).run();
				if (written.orDefault(false)) {
					return;
				}
			}
		}
	}

	async #replay(path: string): Promise<Either<Refusal, KeyedRun>> {
		const found = await this.#store.get(path).run();
		const value = found.orDefault(undefined)?.value;
		const answer = value && value.length > 0 ? toKeyedResponse(fromBinary(KeptOutcomeSchema, value)) : undefined;
		return answer ? Right({kind: 'replay', outcome: answer}) : Left({reason: 'key-outcome-unknown', execution: 'unknown', detail: 'the outcome was not kept'});
	}
}
