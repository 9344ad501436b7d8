/**
 * How configuration versions lie in the key-value service.
 *
 * A small root names the content-addressed chunks of the newest version. Before a root is replaced it is
 * copied to a key of its own, so that every accepted version below the newest can be found by its number.
 */
import {createHash} from 'node:crypto';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {CodedError, ConfigurationVersion, PublishId} from '@pomelopick/core.types';

/** Key of the root. */
export const ROOT_KEY = 'pomelopick/configuration/root';
/** Prefix of the chunks' keys. */
export const CHUNK_PREFIX = 'pomelopick/configuration/chunks/';
/** Prefix of the keys of earlier roots. */
export const VERSION_PREFIX = 'pomelopick/configuration/versions/';
/** Prefix of the keys of publishes: what each one attempts. */
export const PUBLISH_PREFIX = 'pomelopick/configuration/publishes/';
/** Key of the hashes that a collection is about to delete. */
export const PENDING_DELETION_KEY = 'pomelopick/configuration/condemned';

const VERSION_DIGITS = 12;
const DIGEST_LENGTH = 16;

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
	/** Version whose content this one repeats, when an operator went back to it. */
	readonly restores?: ConfigurationVersion;
	readonly chunks: readonly ChunkReference[];
}

/** What one publish attempts; written before anything else of it. */
export interface PublishIntent {
	readonly publishId: PublishId;
	/** Version that it attempts to become. */
	readonly version: ConfigurationVersion;
	/** Wall-clock time, in milliseconds since the epoch. */
	readonly startedAtMs: number;
	/** Chunks that it relies on besides those of the version that it replaces; no collection deletes them. */
	readonly hashes: readonly string[];
}

/** Chunks that one collection is about to delete. */
export interface Condemnation {
	readonly collectionId: string;
	/** Wall-clock time, in milliseconds since the epoch. */
	readonly startedAtMs: number;
	readonly hashes: readonly string[];
}

/** Hash that names a chunk. */
export function hashChunk(bytes: Uint8Array): string {
	return createHash('sha256').update(bytes).digest('hex');
}

/** Key of an earlier root. */
export function versionKey(version: number): string {
	return `${VERSION_PREFIX}${String(version).padStart(VERSION_DIGITS, '0')}`;
}

/** Encodes a root; equal roots give equal bytes. */
export function encodeRoot({version, publishId, author, publishedAtMs, restores, chunks}: ConfigurationRoot): Uint8Array {
	return encodeJson({
		version, publishId, author, publishedAtMs, restores, chunks: chunks.map(({hash, bytes, kind}) => ({hash, bytes, kind})),
	});
}

/** Decodes a root. Left `damaged-root`. */
export function parseRoot(bytes: Uint8Array): Either<CodedError & {readonly code: 'damaged-root'}, ConfigurationRoot> {
	try {
		const root = decodeJson<ConfigurationRoot>(bytes);
		return Number.isSafeInteger(root.version) && Array.isArray(root.chunks)
			? Right(root)
			: Left({code: 'damaged-root', message: `root: expected a version and chunks, found ${JSON.stringify(root).slice(0, 80)}`});
	} catch (error) {
		return Left({code: 'damaged-root', message: `root: ${(error as Error).message}`});
	}
}

/** Digest of a root, in hexadecimal; two instances with the same version and digest hold the same set. */
export function digestRoot(root: ConfigurationRoot): string {
	return hashChunk(encodeRoot(root)).slice(0, DIGEST_LENGTH);
}

/** Encodes a value as JSON. */
export function encodeJson(value: unknown): Uint8Array {
	return new TextEncoder().encode(JSON.stringify(value));
}

/** Decodes JSON that this module's functions wrote. */
export function decodeJson<Shape>(bytes: Uint8Array): Shape {
	return JSON.parse(new TextDecoder().decode(bytes)) as Shape;
}
