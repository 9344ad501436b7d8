/** Assembles versions from chunks, reusing the unchanged parts of the previous version. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {ConfigurationSet, ObjectList} from '@pomelopick/core.types';
import {checkObjects} from '@pomelopick/config.schema';
import {EncodedList} from './encoded-list.js';
import type {EncodedChunk} from './encoded-list.js';
import type {PublishedConfiguration, ReadConfigurationError} from './read.js';
import {decodeJson} from './stored-configuration.js';
import type {ChunkReference, ConfigurationRoot} from './stored-configuration.js';

/** Kinds whose lists are too long to be kept as decoded objects. */
const ENCODED_KINDS: ReadonlySet<string> = new Set<keyof ConfigurationSet>(['clientBlocks']);

/** Options of {@link SetAssembler.assemble}. */
export interface AssembleOptions {
	readonly root: ConfigurationRoot;
	/** Verified contents of all chunks of the root, by hash. */
	readonly chunks: ReadonlyMap<string, Uint8Array>;
}

/** A chunk whose objects passed their checks. */
interface CheckedChunk extends EncodedChunk {
	/** Decoded objects; undefined for a kind that stays encoded. */
	readonly objects: readonly unknown[] | undefined;
}

/** One list of a set and the hashes of the chunks that it was joined from. */
interface AssembledList {
	/** Hashes in order, separated by spaces. */
	readonly hashes: string;
	readonly objects: ObjectList<unknown>;
}

/**
 * Assembles sets. The objects of a chunk are checked once. A list whose chunks are unchanged since the previous
 * version is returned as the same object, so that callers can detect by identity that it did not change.
 *
 * The publisher checked the whole set prior to swapping in its root, and chunks are verified by their hash. So only
 * the format of the objects in new chunks is checked here.
 */
export class SetAssembler {
	#checkedByHash: ReadonlyMap<string, CheckedChunk> = new Map();
	#lists: ReadonlyMap<string, AssembledList> = new Map();

	/** Assembles a version. Returns Left `damaged-chunk`, and leaves the assembler unchanged, if a chunk has invalid objects. */
	assemble({root, chunks}: AssembleOptions): Either<ReadConfigurationError, PublishedConfiguration> {
		const checkedByHash = new Map<string, CheckedChunk>();
		for (const {kind, hash} of root.chunks) {
			const checked = this.#checkChunk({kind, hash, content: chunks.get(hash)!});
			if (checked.isLeft()) {
				return Left({code: 'damaged-chunk', message: `version ${root.version}, chunk ${hash}: ${checked.extract()}`});
			}

			checkedByHash.set(hash, checked.unsafeCoerce());
		}

		const lists = this.#joinLists({root, checkedByHash});
		this.#checkedByHash = checkedByHash;
		this.#lists = lists;
		const set = Object.fromEntries([...lists].map(([kind, {objects}]) => [kind, objects])) as unknown as ConfigurationSet;
		return Right({root, set});
	}

	#checkChunk({kind, hash, content}: {readonly kind: string; readonly hash: string; readonly content: Uint8Array}): Either<string, CheckedChunk> {
		const cached = this.#checkedByHash.get(hash);
		if (cached) {
			return Right(cached);
		}

		try {
			return checkObjects({kind, objects: decodeJson(content)})
				.map(objects => ({content, length: objects.length, objects: ENCODED_KINDS.has(kind) ? undefined : objects}));
		} catch (error) {
			return Left((error as Error).message);
		}
	}

	#joinLists({root, checkedByHash}: {readonly root: ConfigurationRoot; readonly checkedByHash: ReadonlyMap<string, CheckedChunk>}): ReadonlyMap<string, AssembledList> {
		const lists = new Map<string, AssembledList>();
		for (const [kind, references] of groupByKind(root.chunks)) {
			const hashes = references.map(({hash}) => hash).join(' ');
			const previous = this.#lists.get(kind);
			lists.set(kind, previous?.hashes === hashes ? previous : {hashes, objects: joinObjects({kind, chunks: references.map(({hash}) => checkedByHash.get(hash)!)})});
		}

		return lists;
	}
}

function joinObjects({kind, chunks}: {readonly kind: string; readonly chunks: readonly CheckedChunk[]}): ObjectList<unknown> {
	return ENCODED_KINDS.has(kind) ? new EncodedList(chunks) : chunks.flatMap(({objects}) => objects ?? []);
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
