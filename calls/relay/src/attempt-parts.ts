/** Dependencies of the attempts of requests at backend servers. */
import type {BackendConnections} from '@pomelopick/calls.connections';
import type {CrashDetector} from '@pomelopick/calls.quarantine';
import type {RateLimitUse} from '@pomelopick/calls.rate-limits';
import type {Refusal} from '@pomelopick/core.types';
import type {ObjectPlacement, ObjectPlacer} from '@pomelopick/steering.objects';
import type {ObservationTable} from '@pomelopick/steering.servers';
import type {ConnectionCheck} from './connection-check.js';
import type {ContactMonitor} from './contact-monitor.js';
import type {RelayFormat} from './relay-format.js';
import type {RelayServer} from './relay-server.js';
import type {RelayedRequest} from './relayed-request.js';
import type {RequestAdmission} from './request-admission.js';
import type {ServerNotices} from './server-notices.js';
import type {ServerUploads} from './server-uploads.js';
import type {UnsentAttempts} from './unsent-attempts.js';

/** Dependencies shared by all attempts. */
export interface AttemptParts {
	readonly format: RelayFormat;
	readonly connections: BackendConnections;
	readonly crashDetector: CrashDetector<RelayServer>;
	readonly placer: ObjectPlacer;
	readonly admission: Pick<RequestAdmission, 'decisionFor' | 'recordUnplaced' | 'recordEnd'>;
	readonly observations: ObservationTable;
	/** Processes notices that servers send about themselves in response headers. */
	readonly notices: ServerNotices;
	/** Counts the requests to servers that named a rate limit. */
	readonly rateLimitUse: RateLimitUse;
	readonly unsent: UnsentAttempts;
	/** Sends uploads once their bytes are reserved. */
	readonly uploads: ServerUploads;
	/** Watches attempts, and records responses and losses of contact. */
	readonly contactMonitor: Pick<ContactMonitor, 'track' | 'untrack' | 'recordResponse' | 'lose' | 'checkAfterSuspect'>;
	/** Checks the state of servers on connections, while the store does not tell of restarts. */
	readonly connectionCheck: Pick<ConnectionCheck, 'check'>;
	/** Whether a request is suspected of crashing servers, or quarantined. */
	readonly isSuspect: (request: RelayedRequest) => boolean;
	/** Why a request may no longer be sent, as the organisations have changed since it was admitted; undefined while it may. */
	readonly identityRefusal: (request: RelayedRequest) => Refusal | undefined;
	/** Maximum number of connections that this instance may open to a server. */
	readonly maxConnections: (placement: ObjectPlacement) => number;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}
