/** One of the system's own instances, as listed by the platform. */
import type {Endpoint} from './endpoint.js';
import type {FailureDomainName, InstanceId} from './ids.js';

/** State of an instance in the platform's list. */
export type InstanceState = 'live' | 'leaving';

/** An instance and its listeners. */
export interface Instance {
	readonly id: InstanceId;
	readonly failureDomain: FailureDomainName;
	readonly state: InstanceState;
	/** Listener for callers. */
	readonly callers: Endpoint;
	/** Listener for the system's other instances. */
	readonly peers: Endpoint;
	/** Listener for operators. */
	readonly operators: Endpoint;
}

/** Capacity of an instance, as its settings state it. */
export interface InstanceCapacity {
	/** Number of processor cores; may be a fraction. */
	readonly cores: number;
	/** Rate of its network link in each direction, in megabits per second. */
	readonly linkMbps: number;
	/** Memory of its machine, in megabytes; undefined: not stated. */
	readonly memoryMb?: number;
}
