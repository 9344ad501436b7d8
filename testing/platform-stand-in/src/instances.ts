/** Instance list that lags behind registrations, in the format of Consul's health endpoint. */
import type {Instance, InstanceId} from '@pomelopick/core.types';

interface Version {
	readonly atMs: number;
	readonly instances: readonly Instance[];
}

/** Keeps all versions of the instance list, so that an earlier version can be returned. */
export class LaggingInstances {
	readonly #now: () => number;
	readonly #versions: Version[] = [{atMs: Number.NEGATIVE_INFINITY, instances: []}];

	constructor({now}: {readonly now: () => number}) {
		this.#now = now;
	}

	/** Adds or replaces an instance. */
	register(instance: Instance): void {
		this.#append([...this.#newest().filter(({id}) => id !== instance.id), instance]);
	}

	/** Removes an instance. */
	deregister(id: InstanceId): void {
		this.#append(this.#newest().filter(instance => instance.id !== id));
	}

	/** Returns the list as it was `lagMs` milliseconds ago. */
	list({lagMs}: {readonly lagMs: number}): readonly Instance[] {
		const atMs = this.#now() - lagMs;
		return this.#versions.findLast(version => version.atMs <= atMs)?.instances ?? [];
	}

	#newest(): readonly Instance[] {
		return this.#versions.at(-1)!.instances;
	}

	#append(instances: readonly Instance[]): void {
		this.#versions.push({atMs: this.#now(), instances});
	}
}

/** Renders an instance as an entry of `GET /v1/health/service/NAME`. */
export function toHealthEntry(instance: Instance): unknown {
	return {
		Node: {Node: instance.id, Address: instance.callers.address},
		Service: {
			ID: instance.id,
			Service: 'pomelopick-entry',
			Address: instance.callers.address,
			Port: instance.callers.port,
			Meta: {
				failureDomain: instance.failureDomain,
				state: instance.state,
				peersPort: String(instance.peers.port),
				operatorsPort: String(instance.operators.port),
			},
		},
		Checks: [{Status: 'passing'}],
	};
}
