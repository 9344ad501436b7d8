/** Where the root and the chunks of a version can be read: the key-value service or another instance. */
import {
	EitherAsync, Left, Right,
} from 'purify-ts';
import type {Endpoint} from '@pomelopick/core.types';
import {CHUNK_PREFIX} from '@pomelopick/config.publishing';
import {ConfigurationService} from '@pomelopick/peer.protocol';
import type {PeerCaller} from '@pomelopick/peer.transport';
import type {KeyValueStore} from '@pomelopick/platform.store';

const ROOT_TIMEOUT_MS = 1000;
const CHUNKS_TIMEOUT_MS = 3000;

/** Why a source gave nothing. */
export interface SourceError {
	readonly code: string;
	readonly message: string;
}

/** Reads chunks by their hash. Chunks that the source lacks, or fails to give after others arrived, are left out of the answer. */
export interface ChunkSource {
	readonly name: string;
	getChunks(hashes: readonly string[]): EitherAsync<SourceError, ReadonlyMap<string, Uint8Array>>;
}

/** Reads chunks from the key-value service. */
export class StoreSource implements ChunkSource {
	readonly #store: KeyValueStore;

	constructor({store}: {readonly store: KeyValueStore}) {
		this.#store = store;
	}

	get name(): string {
		return 'store';
	}

	getChunks(hashes: readonly string[]): EitherAsync<SourceError, ReadonlyMap<string, Uint8Array>> {
		return EitherAsync.fromPromise(async () => {
			const chunks = new Map<string, Uint8Array>();
			for (const hash of hashes) {
				const found = await this.#store.get(`${CHUNK_PREFIX}${hash}`).run();
				if (found.isLeft()) {
					return chunks.size > 0 ? Right(chunks) : found;
				}

				const stored = found.unsafeCoerce();
				if (stored) {
					chunks.set(hash, stored.value);
				}
			}

			return Right(chunks);
		});
	}
}

/** Reads a root and chunks from another instance. */
export class PeerSource implements ChunkSource {
	readonly #clients: PeerCaller;
	readonly #endpoint: Endpoint;

	constructor({clients, endpoint}: {readonly clients: PeerCaller; readonly endpoint: Endpoint}) {
		this.#clients = clients;
		this.#endpoint = endpoint;
	}

	get name(): string {
		return `${this.#endpoint.address}:${this.#endpoint.port}`;
	}

	/** Root above a version, as stored; undefined when the peer has none. */
	getRoot(aboveVersion: number): EitherAsync<SourceError, Uint8Array | undefined> {
		return this.#clients.call({
			endpoint: this.#endpoint, service: ConfigurationService, timeoutMs: ROOT_TIMEOUT_MS, invoke: async (client, options) => client.getRoot({aboveVersion: BigInt(aboveVersion)}, options),
		}).map(({root}) => root.length > 0 ? root : undefined);
	}

	getChunks(hashes: readonly string[]): EitherAsync<SourceError, ReadonlyMap<string, Uint8Array>> {
		return EitherAsync.fromPromise(async () => {
			const chunks = new Map<string, Uint8Array>();
			let missing = hashes;
			while (missing.length > 0) {
				const asked = missing;
				const answer = await this.#clients.call({
					endpoint: this.#endpoint, service: ConfigurationService, timeoutMs: CHUNKS_TIMEOUT_MS, invoke: async (client, options) => client.getChunks({hashes: [...asked]}, options),
				}).run();
				if (answer.isLeft()) {
					return chunks.size > 0 ? Right(chunks) : Left(answer.extract() as SourceError);
				}

				const found = answer.unsafeCoerce().chunks;
				if (found.length === 0) {
					break;
				}

				for (const {hash, content} of found) {
					chunks.set(hash, content);
				}

				missing = missing.filter(hash => !chunks.has(hash));
			}

			return Right(chunks);
		});
	}
}
