/** How a configuration version lies in the key-value service: a small root that names content-addressed chunks. */
import {createHash} from 'node:crypto';
import type {ConfigurationVersion, PublishId} from '@pomelopick/core.types';

/** Key of the root. */
export const ROOT_KEY = 'pomelopick/configuration/root';
/** Prefix of the chunks' keys. */
export const CHUNK_PREFIX = 'pomelopick/configuration/chunks/';

/** A chunk as the root names it. */
export interface ChunkReference {
	/** SHA-256 of the chunk's bytes, in hexadecimal. */
	readonly hash: string;
	readonly bytes: number;
	/** Which list of the set the chunk holds a part of. */
	readonly kind: string;
}

/** The root: one version of the configuration. */
export interface ConfigurationRoot {
	readonly version: ConfigurationVersion;
	readonly publishId: PublishId;
	readonly author: string;
	/** Wall-clock time of the publish, in milliseconds since the epoch; for people only. */
	readonly publishedAtMs: number;
	readonly chunks: readonly ChunkReference[];
}

/** Hash that names a chunk. */
export function hashChunk(bytes: Uint8Array): string {
	return createHash('sha256').update(bytes).digest('hex');
}
