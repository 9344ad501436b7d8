/** Entries and load reports of backend servers. */
import type {BackendServerName, FailureDomainName, ServiceName} from './ids.js';

/** The entry with which a backend server registers itself. */
export interface RegisteredServer {
	readonly name: BackendServerName;
	readonly service: ServiceName;
	/** IP address. */
	readonly address: string;
	readonly port: number;
	readonly failureDomain: FailureDomainName;
	/** Number of requests that it runs concurrently. */
	readonly slots: number;
	readonly state: 'ready' | 'draining';
	/** Remaining warm-up time when the entry was written, in milliseconds. */
	readonly warmupLeftMs: number;
	/** Wall-clock time of its start, in milliseconds since the epoch, to detect a restart under the same name; undefined when it is not reported. */
	readonly startedAtMs: number | undefined;
	/** Number of the heartbeat that wrote the entry; begins again with each start of the server. */
	readonly heartbeat: number;
}

/** The load that a backend server reported. */
export interface ServerLoad {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** Momentary speed, stated as the time that work takes now as a multiple of the usual time (2: half as fast); absent when the server does not report it. */
	readonly workFactor?: number;
	/** Text of the report after these values that is malformed and was ignored; absent when there was none. */
	readonly ignoredText?: string;
}
