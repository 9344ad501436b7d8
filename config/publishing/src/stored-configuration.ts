/**
 * Keys and formats of configuration versions in the key-value service.
 *
 * A small root lists the content-addressed chunks of the newest version. Before a root is replaced it is
 * copied to a key that contains its version, so that every earlier accepted version can be found by its number.
 */
import {createHash} from 'node:crypto';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {describeValue} from '@pomelopick/core.types';
import type {CodedError, ConfigurationVersion, PublishId} from '@pomelopick/core.types';

/** Key of the newest root. */
export const ROOT_KEY = 'pomelopick/configuration/root';
/** Prefix of the keys of chunks; the hash follows. */
export const CHUNK_PREFIX = 'pomelopick/configuration/chunks/';
/** Prefix of the keys of earlier roots; the padded version follows. */
export const VERSION_PREFIX = 'pomelopick/configuration/versions/';
/** Prefix of the keys of publish intents; the publish id follows. */
export const PUBLISH_PREFIX = 'pomelopick/configuration/publishes/';
/** Key of the list of chunks that are pending deletion, see {@link PendingDeletion}. */
export const PENDING_DELETION_KEY = 'pomelopick/configuration/condemned';

const VERSION_DIGITS = 12;
const DIGEST_LENGTH = 16;

/** Reference to a chunk in a root. */
export interface ChunkReference {
	/** SHA-256 of the chunk's bytes, in hexadecimal. */
	readonly hash: string;
	readonly bytes: number;
	/** List of the set that the chunk is a part of. */
	readonly kind: string;
}

/** The root: one version of the configuration. */
export interface ConfigurationRoot {
	readonly version: ConfigurationVersion;
	readonly publishId: PublishId;
	readonly author: string;
	/** Wall-clock time of the publish, in milliseconds since the epoch; for display only. */
	readonly publishedAtMs: number;
	/** Earlier version whose content this one has, if an operator restored it. */
	readonly restores?: ConfigurationVersion;
	readonly chunks: readonly ChunkReference[];
}

/** What one publish attempts. It is written before the publish writes anything else. */
export interface PublishIntent {
	readonly publishId: PublishId;
	/** Version number that the publish attempts to create. */
	readonly version: ConfigurationVersion;
	/** Wall-clock time, in milliseconds since the epoch. */
	readonly startedAtMs: number;
	/** Hashes of the chunks that it needs beyond those of the version it replaces. Collections do not delete them while the publish is in progress. */
	readonly hashes: readonly string[];
}

/** Chunks that one collection is about to delete. */
export interface PendingDeletion {
	readonly collectionId: string;
	/** Wall-clock time, in milliseconds since the epoch. */
	readonly startedAtMs: number;
	readonly hashes: readonly string[];
}

/** Returns the hash that identifies a chunk: the SHA-256 of its bytes, in hexadecimal. */
export function hashChunk(bytes: Uint8Array): string {
	return createHash('sha256').update(bytes).digest('hex');
}

/** Returns the key of an earlier root. */
export function versionKey(version: number): string {
	return `${VERSION_PREFIX}${String(version).padStart(VERSION_DIGITS, '0')}`;
}

/** Encodes a root. The field order is fixed, so that equal roots give equal bytes. */
export function encodeRoot({version, publishId, author, publishedAtMs, restores, chunks}: ConfigurationRoot): Uint8Array {
	return encodeJson({
		version, publishId, author, publishedAtMs, restores, chunks: chunks.map(({hash, bytes, kind}) => ({hash, bytes, kind})),
	});
}

/** Decodes a root. Returns Left `damaged-root` if the bytes are not JSON, or the version or the chunks are missing. */
export function parseRoot(bytes: Uint8Array): Either<CodedError & {readonly code: 'damaged-root'}, ConfigurationRoot> {
	try {
		const root = decodeJson<ConfigurationRoot>(bytes);
		return Number.isSafeInteger(root.version) && Array.isArray(root.chunks)
			? Right(root)
			: Left({code: 'damaged-root', message: `root: expected a version and chunks, found ${describeValue(root)}`});
	} catch (error) {
		return Left({code: 'damaged-root', message: `root: ${(error as Error).message}`});
	}
}

/** Returns the digest of a root, in hexadecimal. Two instances that report the same version and digest have the same set. */
export function digestRoot(root: ConfigurationRoot): string {
	return hashChunk(encodeRoot(root)).slice(0, DIGEST_LENGTH);
}

/** Encodes a value as JSON. */
export function encodeJson(value: unknown): Uint8Array {
	return new TextEncoder().encode(JSON.stringify(value));
}

/** Decodes JSON that {@link encodeJson} wrote. The type is not checked. */
export function decodeJson<Shape>(bytes: Uint8Array): Shape {
	return JSON.parse(new TextDecoder().decode(bytes)) as Shape;
}
