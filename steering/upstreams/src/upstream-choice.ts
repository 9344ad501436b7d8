/**
 * Chooses the instance from which this one takes the store's changes.
 *
 * A few instances of each failure domain follow the store itself, or of each region where the domains are small; the
 * others of the group follow one of them, so that most bytes stay inside a large domain. Who follows the store is a
 * ranking by highest-random-weight hashing, so that nobody has to agree on it: an instance that is asked for changes
 * follows the store whatever it makes of the ranking, and one whose upstream is silent follows the store itself until
 * it has found another. The number of calls to the store so follows the number of regions and of upstreams, not of
 * instances.
 */
import {chooseOwners} from '@pomelopick/core.rendezvous';
import type {FailureDomainName, InstanceId, RegionName} from '@pomelopick/core.types';

/** Instances that one upstream serves, so that the fan-out stays a small part of its processor time. */
const MAX_DOWNSTREAM = 36;
/** Instances from which on a failure domain has upstreams of its own: in a small one they would ask the store as often as all the others together. */
const MIN_DOMAIN_INSTANCES = 12;
/** Key by which the instances of a group are ranked as upstreams. */
const RANKING_KEY = 'upstreams';
/** Time for which an upstream is passed over, in milliseconds: one that was silent, and one that had no word of the store. */
const SILENT_PAUSE_MS = 3000;
const UNAVAILABLE_PAUSE_MS = 500;

/** An instance that may be an upstream. */
export interface UpstreamCandidate {
	readonly id: InstanceId;
	readonly failureDomain: FailureDomainName;
	readonly region: RegionName;
}

/** How an upstream failed: no answer came, or it said that it has no word of the store. */
export type UpstreamFailure = 'silent' | 'unavailable';

/** Options of {@link UpstreamChoice.choose}. */
export interface ChooseUpstreamOptions<Candidate extends UpstreamCandidate> {
	/** Instances that are there, this one included or not. */
	readonly instances: readonly Candidate[];
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** The choice of one instance. */
export class UpstreamChoice {
	readonly #self: UpstreamCandidate;
	readonly #skippedUntilMs = new Map<InstanceId, number>();

	constructor({self}: {readonly self: UpstreamCandidate}) {
		this.#self = self;
	}

	/** The upstream to follow; undefined: the store itself. */
	choose<Candidate extends UpstreamCandidate>({instances, nowMs}: ChooseUpstreamOptions<Candidate>): Candidate | undefined {
		const {id: selfId} = this.#self;
		const others = this.#listGroup(instances);
		const count = Math.ceil((others.length + 1) / MAX_DOWNSTREAM);
		// One more stands by for an upstream that fails.
		const ranked = chooseOwners({key: RANKING_KEY, instances: [...others, this.#self], count: count + 1});
		const position = ranked.findIndex(({id}) => id === selfId);
		if (position !== -1 && position < count) {
			return undefined;
		}

		const [standby, ...upstreams] = ranked.toReversed() as Candidate[];
		const preferred = chooseOwners({key: selfId, instances: upstreams, count: upstreams.length});
		return [...preferred, standby!].find(({id}) => id !== selfId && this.#isAvailable({id, nowMs}));
	}

	/** Notes that an upstream failed; it is passed over for a while. */
	recordFailure({id, failure, nowMs}: {readonly id: InstanceId; readonly failure: UpstreamFailure; readonly nowMs: number}): void {
		this.#skippedUntilMs.set(id, nowMs + (failure === 'silent' ? SILENT_PAUSE_MS : UNAVAILABLE_PAUSE_MS));
	}

	/** The other instances of this one's group. */
	#listGroup<Candidate extends UpstreamCandidate>(instances: readonly Candidate[]): readonly Candidate[] {
		const {id: selfId, failureDomain, region} = this.#self;
		const others = instances.filter(({id}) => id !== selfId);
		const inDomain = others.filter(other => other.failureDomain === failureDomain);
		return inDomain.length + 1 >= MIN_DOMAIN_INSTANCES ? inDomain : others.filter(other => other.region === region);
	}

	#isAvailable({id, nowMs}: {readonly id: InstanceId; readonly nowMs: number}): boolean {
		const untilMs = this.#skippedUntilMs.get(id);
		if (untilMs !== undefined && nowMs >= untilMs) {
			this.#skippedUntilMs.delete(id);
		}

		return untilMs === undefined || nowMs >= untilMs;
	}
}
