/** Keeps an instance on the newest configuration version: a few instances watch the key-value service, the others get versions from their peers. */
import type {ConnectRouter} from '@connectrpc/connect';
import {create} from '@bufbuild/protobuf';
import {chooseOwners} from '@pomelopick/core.rendezvous';
import type {
	ConfigurationSet, Endpoint, Instance, InstanceId,
} from '@pomelopick/core.types';
import {
	ChunkSchema, ConfigurationService, GetChunksResponseSchema, GetRootResponseSchema,
} from '@pomelopick/peer.protocol';
import type {
	GetChunksRequest, GetChunksResponse, GetRootRequest, GetRootResponse,
} from '@pomelopick/peer.protocol';
import type {PeerCaller} from '@pomelopick/peer.transport';
import type {KeyValueStore} from '@pomelopick/platform.store';
import {encodeRoot} from '@pomelopick/config.publishing';
import type {ConfigurationHolder} from './configuration-holder.js';
import {StoreWatcher} from './store-watcher.js';
import {VersionLoader} from './version-loader.js';
import {PeerSource, StoreSource} from './version-source.js';
import type {ChunkSource} from './version-source.js';

/** Number of instances in each failure domain that watch the key-value service. */
const WATCHERS_PER_FAILURE_DOMAIN = 2;
const WATCH_KEY = 'configuration-watch';
/** Maximum size of a response with chunks, in bytes; a single larger chunk is still sent. */
const MAX_RESPONSE_BYTES = 524_288;
/** Maximum number of missing chunks that are read from the store first; more are requested from peers first. */
const MAX_CHUNKS_FROM_STORE_FIRST = 16;
/** Number of peers from which chunks are requested, besides the peer that reported the version. */
const FALLBACK_PEERS = 2;

/** Added to the age of a version whose message may have been delayed, in milliseconds. */
const UNBOUNDED_AGE_MS = 1000;

/** The active version of a peer. */
export interface PeerVersion {
	readonly version: number;
	readonly digest: string;
	/** Time since the key-value service was last known to name it as the newest, in milliseconds. */
	readonly ageMs: number;
}

/** Options of {@link Distribution.receivePeerVersion}. */
export interface ReceivePeerVersionOptions {
	readonly endpoint: Endpoint;
	readonly held: PeerVersion;
	/** Whether the age in `held` is an upper bound. */
	readonly isAgeBounded: boolean;
}

/** Options of {@link Distribution}. */
export interface DistributionOptions {
	readonly self: InstanceId;
	readonly store: KeyValueStore;
	readonly clients: PeerCaller;
	readonly holder: ConfigurationHolder;
	/** Instances that can take work, including this one once it is known. */
	readonly liveInstances: () => readonly Instance[];
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Number from 0 up to 1. */
	readonly random: () => number;
	/** Awaited before a set becomes active. */
	readonly prepare: (set: ConfigurationSet) => Promise<void>;
	readonly onFailure: (message: string) => void;
	readonly onDamagedChunk: (message: string) => void;
}

/** Distributes configuration versions from and to one instance. */
export class Distribution {
	readonly #options: DistributionOptions;
	readonly #loader: VersionLoader;
	readonly #watcher: StoreWatcher;

	constructor(options: DistributionOptions) {
		const {store, holder, now, random, prepare, onFailure, onDamagedChunk} = options;
		this.#options = options;
		this.#loader = new VersionLoader({
			holder, now, prepare, onFailure, onDamagedChunk, sources: ({missing}) => this.#listSources({missing}),
		});
		this.#watcher = new StoreWatcher({
			store, holder, loader: this.#loader, now, random, onFailure, isWatcher: () => this.isWatcher,
		});
	}

	/** Whether this instance is one of those of its failure domain that watch the key-value service. */
	get isWatcher(): boolean {
		const {self, liveInstances} = this.#options;
		const live = liveInstances();
		const own = live.find(({id}) => id === self);
		if (!own) {
			return true;
		}

		const instances = live.filter(({failureDomain}) => failureDomain === own.failureDomain);
		return chooseOwners({key: WATCH_KEY, instances, count: WATCHERS_PER_FAILURE_DOMAIN}).some(({id}) => id === self);
	}

	/** The active version, as this instance reports it to its peers. */
	get activeVersion(): PeerVersion {
		const {holder, now} = this.#options;
		return {version: holder.version, digest: holder.view?.digest ?? '', ageMs: holder.view ? now() - holder.view.confirmedAtMs : 0};
	}

	/** Registers the service by which peers read versions from this instance. */
	register(router: ConnectRouter): void {
		router.service(ConfigurationService, {
			getRoot: request => this.#handleGetRoot(request),
			getChunks: request => this.#handleGetChunks(request),
		});
	}

	/** Starts keeping up with the newest version. */
	start(): void {
		this.#watcher.start();
	}

	/** Stops loading versions. */
	async stop(): Promise<void> {
		this.#loader.stop();
		await this.#watcher.stop();
	}

	/** Compares a peer's version with the active one: loads a higher version, and adopts a more recent confirmation of the same version. */
	receivePeerVersion({endpoint, held, isAgeBounded}: ReceivePeerVersionOptions): void {
		const {holder, clients, now, onFailure} = this.#options;
		holder.recordExistence(held.version);
		if (held.version > holder.version) {
			this.#loader.load({
				kind: 'peer', peer: new PeerSource({clients, endpoint}), version: held.version, confirmedAtMs: now() - held.ageMs,
			});
		} else if (held.version === holder.version && holder.view) {
			if (held.digest === holder.view.digest) {
				if (isAgeBounded) {
					// An age without the transfer time would make the view look more recent with every message that passes it on.
					holder.confirm({version: held.version, nowMs: now() - held.ageMs});
				}
			} else {
				onFailure(`version ${held.version}: expected digest ${holder.view.digest}, found ${held.digest} at ${endpoint.address}:${endpoint.port}`);
			}
		}
	}

	/**
	 * Lists the sources of missing chunks in the order in which they are tried. A few missing chunks are those of a change
	 * that is new to all instances, so the store comes first; many are those of a whole set, which peers already have.
	 */
	#listSources({missing}: {readonly missing: number}): readonly ChunkSource[] {
		const store = new StoreSource({store: this.#options.store});
		const peers = this.#fallbackPeers();
		return missing > MAX_CHUNKS_FROM_STORE_FIRST ? [...peers, store] : [store, ...peers];
	}

	#fallbackPeers(): readonly PeerSource[] {
		const {self, clients, liveInstances} = this.#options;
		const others = liveInstances().filter(({id}) => id !== self);
		return chooseOwners({key: `chunks-for-${self}`, instances: others, count: FALLBACK_PEERS}).map(({peers}) => new PeerSource({clients, endpoint: peers}));
	}

	#handleGetRoot({aboveVersion}: GetRootRequest): GetRootResponse {
		const {view} = this.#options.holder;
		const isHigher = view !== undefined && view.configuration.root.version > Number(aboveVersion);
		return create(GetRootResponseSchema, {root: isHigher ? encodeRoot(view.configuration.root) : new Uint8Array()});
	}

	#handleGetChunks({hashes}: GetChunksRequest): GetChunksResponse {
		const chunks = [];
		let bytes = 0;
		for (const hash of hashes) {
			const content = this.#loader.chunkOf(hash);
			if (content && (bytes === 0 || bytes + content.length <= MAX_RESPONSE_BYTES)) {
				bytes += content.length;
				chunks.push(create(ChunkSchema, {hash, content}));
			}
		}

		return create(GetChunksResponseSchema, {chunks});
	}
}
