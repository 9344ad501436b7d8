/** Sources of the root and the chunks of a version: the key-value service and other instances. */
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

/** Why a source returned nothing. */
export interface SourceError {
	readonly code: string;
	readonly message: string;
}

/** Reads chunks by their hash. The result leaves out chunks that the source lacks, and those missing because it failed after it had returned others. */
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

	/** Reads the peer's active root, as stored, if its version is above the given one; undefined otherwise. */
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
				const requested = missing;
				const result = await this.#clients.call({
					endpoint: this.#endpoint, service: ConfigurationService, timeoutMs: CHUNKS_TIMEOUT_MS, invoke: async (client, options) => client.getChunks({hashes: [...requested]}, options),
				}).run();
				if (result.isLeft()) {
					return chunks.size > 0 ? Right(chunks) : Left(result.extract() as SourceError);
				}

				const found = result.unsafeCoerce().chunks;
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
