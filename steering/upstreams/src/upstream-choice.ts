/**
 * Chooses the upstream of this instance: the instance from which it receives the changes of the store.
 *
 * In each large failure domain, and in each region whose failure domains are small, a few instances read the store
 * directly. The other instances of that group each follow one of them, so that most of the traffic stays inside a large
 * failure domain. The upstreams are ranked by highest-random-weight hashing, which needs no agreement between
 * instances: an instance from which another one requests changes reads the store whatever its own ranking says, and an
 * instance whose upstream is silent reads the store itself until it has found another upstream. So the number of calls
 * to the store depends on the number of regions and upstreams rather than on the number of instances.
 */
import {chooseOwners} from '@pomelopick/core.rendezvous';
import type {FailureDomainName, InstanceId, RegionName} from '@pomelopick/core.types';

/** Maximum number of instances for each upstream, so that the fan-out takes a small part of its processor time. */
const MAX_DOWNSTREAM = 36;
/** Minimum number of instances for a failure domain with its own upstreams: in a smaller one the upstreams would call the store as often as all others together. */
const MIN_DOMAIN_INSTANCES = 12;
/** Key by which the instances of a group are ranked as upstreams. */
const RANKING_KEY = 'upstreams';
/** Time for which an upstream is skipped after it was silent, and after it had no connection to the store, in milliseconds. */
const SILENT_PAUSE_MS = 3000;
const UNAVAILABLE_PAUSE_MS = 500;

/** An instance that may be an upstream. */
export interface UpstreamCandidate {
	readonly id: InstanceId;
	readonly failureDomain: FailureDomainName;
	readonly region: RegionName;
}

/** How an upstream failed: it did not respond, or it reported that it cannot reach the store. */
export type UpstreamFailure = 'silent' | 'unavailable';

/** Options of {@link UpstreamChoice.choose}. */
export interface ChooseUpstreamOptions<Candidate extends UpstreamCandidate> {
	/** Instances of the fleet, with or without this one. */
	readonly instances: readonly Candidate[];
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Chooses the upstream of one instance. */
export class UpstreamChoice {
	readonly #self: UpstreamCandidate;
	readonly #skippedUntilMs = new Map<InstanceId, number>();

	constructor({self}: {readonly self: UpstreamCandidate}) {
		this.#self = self;
	}

	/** The upstream to follow; undefined when this instance reads the store itself. */
	choose<Candidate extends UpstreamCandidate>({instances, nowMs}: ChooseUpstreamOptions<Candidate>): Candidate | undefined {
		const {id: selfId} = this.#self;
		const others = this.#listGroup(instances);
		const count = Math.ceil((others.length + 1) / MAX_DOWNSTREAM);
		// One more instance is on standby for an upstream that fails.
		const ranked = chooseOwners({key: RANKING_KEY, instances: [...others, this.#self], count: count + 1});
		const position = ranked.findIndex(({id}) => id === selfId);
		if (position !== -1 && position < count) {
			return undefined;
		}

		const [standby, ...upstreams] = ranked.toReversed() as Candidate[];
		const preferred = chooseOwners({key: selfId, instances: upstreams, count: upstreams.length});
		return [...preferred, standby!].find(({id}) => id !== selfId && this.#isAvailable({id, nowMs}));
	}

	/** Records that an upstream failed; it is skipped for a while. */
	recordFailure({id, failure, nowMs}: {readonly id: InstanceId; readonly failure: UpstreamFailure; readonly nowMs: number}): void {
		this.#skippedUntilMs.set(id, nowMs + (failure === 'silent' ? SILENT_PAUSE_MS : UNAVAILABLE_PAUSE_MS));
	}

	/** The other instances of this instance's group: its failure domain if that is large, otherwise its region. */
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
