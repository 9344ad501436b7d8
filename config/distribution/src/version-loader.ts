/** Loads newer versions, one at a time: fetches the missing chunks, verifies them and makes the version active. */
import {
	dispatch, spawn, start, stop,
} from 'nact';
import {hashChunk, parseRoot, SetAssembler} from '@pomelopick/config.publishing';
import type {ConfigurationRoot} from '@pomelopick/config.publishing';
import type {ConfigurationSet} from '@pomelopick/core.types';
import type {ConfigurationHolder} from './configuration-holder.js';
import type {ChunkSource, PeerSource} from './version-source.js';

/** A version to load, given by its root or by a peer that has it. */
export type LoadRequest =
	| {readonly kind: 'root'; readonly root: ConfigurationRoot; readonly done: (isActive: boolean) => void}
	| {readonly kind: 'peer'; readonly peer: PeerSource; readonly version: number; readonly confirmedAtMs: number};

/** Options of {@link VersionLoader}. */
export interface VersionLoaderOptions {
	readonly holder: ConfigurationHolder;
	/** Sources from which missing chunks are fetched, in order, after the peer that reported the version. */
	readonly sources: (options: {readonly missing: number}) => readonly ChunkSource[];
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	readonly onFailure: (message: string) => void;
	/** Awaited before a set becomes active, so that data derived from the set changes at the same time. */
	readonly prepare: (set: ConfigurationSet) => Promise<void>;
	/** Called for each damaged chunk. */
	readonly onDamagedChunk: (message: string) => void;
}

/** Loads versions in an actor, and keeps the chunks of the active version. */
export class VersionLoader {
	readonly #options: VersionLoaderOptions;
	readonly #assembler = new SetAssembler();
	readonly #system = start();
	readonly #actor;
	#isStopped = false;
	#chunks: ReadonlyMap<string, Uint8Array> = new Map();
	/** Chunks of the last load if it was incomplete; the next load continues with them. */
	#partialChunks: ReadonlyMap<string, Uint8Array> = new Map();

	constructor(options: VersionLoaderOptions) {
		this.#options = options;
		this.#actor = spawn(this.#system, async (_: undefined, request: LoadRequest) => this.#load(request), 'version-loader');
	}

	/** Returns a chunk of the active version or of one that is being loaded. */
	chunkOf(hash: string): Uint8Array | undefined {
		return this.#chunks.get(hash) ?? this.#partialChunks.get(hash);
	}

	/** Queues a version for loading; it is skipped if it or a newer one is active by then. */
	load(request: LoadRequest): void {
		if (!this.#isStopped) {
			dispatch(this.#actor, request);
		} else if (request.kind === 'root') {
			request.done(false);
		}
	}

	/** Stops accepting requests. */
	stop(): void {
		this.#isStopped = true;
		stop(this.#system);
	}

	async #load(request: LoadRequest): Promise<undefined> {
		const {holder, now, onFailure} = this.#options;
		if (request.kind === 'root') {
			request.done(request.root.version <= holder.version || await this.#loadRoot({root: request.root, first: [], confirmedAtMs: now()}));
			return;
		}

		if (request.version <= holder.version) {
			return;
		}

		const result = await request.peer.getRoot(holder.version).run();
		const bytes = result.toMaybe().extract();
		if (!bytes) {
			onFailure(`root of version ${request.version} from ${request.peer.name}: ${result.swap().toMaybe().extract()?.message ?? 'the peer has no version above the active one'}`);
			return;
		}

		const root = parseRoot(bytes).ifLeft(error => {
			onFailure(`${request.peer.name}: ${error.message}`);
		}).toMaybe().extract();
		if (root) {
			await this.#loadRoot({root, first: [request.peer], confirmedAtMs: request.confirmedAtMs});
		}
	}

	async #loadRoot({root, first, confirmedAtMs}: {readonly root: ConfigurationRoot; readonly first: readonly ChunkSource[]; readonly confirmedAtMs: number}): Promise<boolean> {
		const {holder, onFailure, prepare} = this.#options;
		const chunks = await this.#collect({root, first});
		const missing = root.chunks.filter(({hash}) => !chunks.has(hash));
		this.#partialChunks = missing.length > 0 ? chunks : new Map();
		if (missing.length > 0) {
			onFailure(`version ${root.version}: ${missing.length} chunk(s) could not be read, the first is ${missing[0]!.hash}`);
			return false;
		}

		return this.#assembler.assemble({root, chunks}).caseOf<Promise<boolean>>({
			async Left(error) {
				onFailure(error.message);
				return false;
			},
			Right: async configuration => {
				await prepare(configuration.set);
				this.#chunks = chunks;
				holder.offer({configuration, nowMs: confirmedAtMs});
				return true;
			},
		});
	}

	/** Collects the chunks of a root: those already present, then from each source those that are still missing. */
	async #collect({root, first}: {readonly root: ConfigurationRoot; readonly first: readonly ChunkSource[]}): Promise<ReadonlyMap<string, Uint8Array>> {
		const chunks = new Map<string, Uint8Array>();
		const hashes = new Set(root.chunks.map(({hash}) => hash));
		for (const hash of hashes) {
			const existing = this.chunkOf(hash);
			if (existing) {
				chunks.set(hash, existing);
			}
		}

		for (const source of [...first, ...this.#options.sources({missing: hashes.size - chunks.size})]) {
			const missing = [...hashes].filter(hash => !chunks.has(hash));
			if (missing.length === 0) {
				break;
			}

			const result = await source.getChunks(missing).run();
			result.ifLeft(error => {
				this.#options.onFailure(`chunks from ${source.name}: ${error.message}`);
			}).ifRight(found => {
				this.#keepIntact({found, chunks, source});
			});
		}

		return chunks;
	}

	#keepIntact({found, chunks, source}: {readonly found: ReadonlyMap<string, Uint8Array>; readonly chunks: Map<string, Uint8Array>; readonly source: ChunkSource}): void {
		for (const [hash, content] of found) {
			if (hashChunk(content) === hash) {
				chunks.set(hash, content);
			} else {
				this.#options.onDamagedChunk(`chunk ${hash} from ${source.name} does not match its hash`);
			}
		}
	}
}
