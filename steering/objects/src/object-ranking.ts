/**
 * Ranks the servers of a service for each object, in the same order at all instances that have the same servers.
 *
 * The ranking uses highest-random-weight hashing, see {@link mixWeight}: when a server is added or removed, only the
 * objects for which it ranks first move. Regions are ranked with weights as in Schindelhauer and Schomaker, "Weighted
 * distributed hash tables", SPAA 2005. The servers of a region are ranked on first use, because most requests need the
 * servers of one region only.
 */
import {hashTextToNumber} from '@pomelopick/core.rendezvous';
import type {RegionName, ServiceName} from '@pomelopick/core.types';
import type {KnownServer} from '@pomelopick/steering.servers';
import type {RegionGroup} from './region-groups.js';

/** Maximum number of cached rankings. */
const MAX_RANKINGS = 4096;
const HASH_RANGE = 2 ** 32;

/** Servers of one region, ranked for one object. */
export class RegionRanking {
	readonly region: RegionName;
	/** Distance of the object from the region before weights; the region with the smallest distance over its weight is the object's. */
	readonly distance: number;
	readonly #group: RegionGroup;
	readonly #keyHash: number;
	#servers: readonly KnownServer[] | undefined;

	constructor({group, keyHash, distance}: {readonly group: RegionGroup; readonly keyHash: number; readonly distance: number}) {
		this.distance = distance;
		this.region = group.region;
		this.#group = group;
		this.#keyHash = keyHash;
	}

	/** The servers in the order of their rank. */
	get servers(): readonly KnownServer[] {
		this.#servers ??= this.#group.rank(this.#keyHash);
		return this.#servers;
	}
}

/** Ranking of one object. */
export interface ObjectRanking {
	/** Regions in the order of their weighted rank. */
	readonly regions: readonly RegionRanking[];
	/** Hash of the object as a number between 0 and 1, to select a share of the objects. */
	readonly part: number;
}

/** Ranks regions and servers for an object. */
export function rankObject({object, groups}: {readonly object: string; readonly groups: readonly RegionGroup[]}): ObjectRanking {
	const keyHash = hashTextToNumber(object);
	const scored = groups.map(group => {
		const distance = -Math.log(hashToFraction(`${object}\0${group.region}`));
		return {group, distance, score: distance / Math.max(1, group.slots)};
	});
	scored.sort((left, right) => left.score - right.score);
	return {
		regions: scored.map(({group, distance}) => new RegionRanking({group, keyHash, distance})),
		part: hashToFraction(`${object}\0part`),
	};
}

/** Options of {@link RankingCache.find}. */
export interface FindRankingOptions {
	readonly service: ServiceName;
	readonly object: string;
	/** Generation of the servers. */
	readonly generation: number;
	/** Groups the service's servers of this generation. */
	readonly group: () => readonly RegionGroup[];
}

/** Caches the rankings of objects until the servers change. */
export class RankingCache {
	readonly #rankings = new Map<string, ObjectRanking>();
	readonly #groups = new Map<ServiceName, readonly RegionGroup[]>();
	#generation: number | undefined;

	/** The ranking of an object, computed if it is not cached for this generation of the servers. */
	find({service, object, generation, group}: FindRankingOptions): ObjectRanking {
		if (generation !== this.#generation) {
			this.#rankings.clear();
			this.#groups.clear();
			this.#generation = generation;
		} else if (this.#rankings.size >= MAX_RANKINGS) {
			this.#rankings.clear();
		}

		const key = `${service}\0${object}`;
		let ranking = this.#rankings.get(key);
		if (!ranking) {
			const groups = this.#groups.get(service) ?? group();
			this.#groups.set(service, groups);
			ranking = rankObject({object, groups});
			this.#rankings.set(key, ranking);
		}

		return ranking;
	}
}

/** Hash of a text as a number between 0 and 1, both excluded. */
function hashToFraction(text: string): number {
	return (hashTextToNumber(text) + 1) / (HASH_RANGE + 2);
}
