/** Puts versions together from chunks and does again only what changed since the last one. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {ConfigurationSet} from '@pomelopick/core.types';
import {checkObjects} from '@pomelopick/config.schema';
import type {PublishedConfiguration, ReadConfigurationError} from './read.js';
import type {ChunkReference, ConfigurationRoot} from './stored-configuration.js';

/** Options of {@link SetAssembler.assemble}. */
export interface AssembleOptions {
	readonly root: ConfigurationRoot;
	/** Verified contents of all chunks of the root, by hash. */
	readonly chunks: ReadonlyMap<string, Uint8Array>;
}

/** One list of a set and the hashes of the chunks that it was joined from. */
interface AssembledList {
	readonly hashes: string;
	readonly objects: readonly unknown[];
}

/**
 * Assembles sets. Objects of a chunk are parsed once; a list whose chunks are the same as before is the same array,
 * so that users of the set can tell by identity that it did not change.
 *
 * The publisher checked the set as a whole before its root was swapped in, and chunks are verified by their hash,
 * so only the shape of new chunks is checked here.
 */
export class SetAssembler {
	#objectsByHash: ReadonlyMap<string, readonly unknown[]> = new Map();
	#lists: ReadonlyMap<string, AssembledList> = new Map();

	/** Left `damaged-chunk` when a chunk holds no valid objects; the assembler is then as it was. */
	assemble({root, chunks}: AssembleOptions): Either<ReadConfigurationError, PublishedConfiguration> {
		const objectsByHash = new Map<string, readonly unknown[]>();
		for (const {kind, hash} of root.chunks) {
			const parsed = this.#parse({kind, hash, content: chunks.get(hash)!});
			if (parsed.isLeft()) {
				return Left({code: 'damaged-chunk', message: `version ${root.version}, chunk ${hash}: ${parsed.extract()}`});
			}

			objectsByHash.set(hash, parsed.unsafeCoerce());
		}

		const lists = this.#join({root, objectsByHash});
		this.#objectsByHash = objectsByHash;
		this.#lists = lists;
		const set = Object.fromEntries([...lists].map(([kind, {objects}]) => [kind, objects])) as unknown as ConfigurationSet;
		return Right({root, set});
	}

	#parse({kind, hash, content}: {readonly kind: string; readonly hash: string; readonly content: Uint8Array}): Either<string, readonly unknown[]> {
		const known = this.#objectsByHash.get(hash);
		if (known) {
			return Right(known);
		}

		try {
			return checkObjects({kind, objects: JSON.parse(new TextDecoder().decode(content))});
		} catch (error) {
			return Left((error as Error).message);
		}
	}

	#join({root, objectsByHash}: {readonly root: ConfigurationRoot; readonly objectsByHash: ReadonlyMap<string, readonly unknown[]>}): ReadonlyMap<string, AssembledList> {
		const lists = new Map<string, AssembledList>();
		for (const [kind, references] of groupByKind(root.chunks)) {
			const hashes = references.map(({hash}) => hash).join(' ');
			const before = this.#lists.get(kind);
			lists.set(kind, before?.hashes === hashes ? before : {hashes, objects: references.flatMap(({hash}) => objectsByHash.get(hash)!)});
		}

		return lists;
	}
}

function groupByKind(references: readonly ChunkReference[]): ReadonlyMap<string, readonly ChunkReference[]> {
	const groups = new Map<string, ChunkReference[]>();
	for (const reference of references) {
		const group = groups.get(reference.kind) ?? [];
		group.push(reference);
		groups.set(reference.kind, group);
	}

	return groups;
}
