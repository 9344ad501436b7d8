/** What is known of one request while it is relayed. */
import {fingerprintOf} from '@pomelopick/calls.quarantine';
import type {RequestFingerprint} from '@pomelopick/calls.quarantine';
import {Cancellation} from '@pomelopick/calls.forwarding';
import type {RequestBody} from '@pomelopick/calls.forwarding';
import type {
	BackendServerName, HedgeReason, RetryReason, Route, ServiceName,
} from '@pomelopick/core.types';

/** Options of {@link RelayedRequest}. */
export interface RelayedRequestOptions {
	/** Identifier as the caller sent it. */
	readonly id: string;
	readonly route: Route;
	/** Target of the route's split that the request goes to. */
	readonly service: ServiceName;
	readonly method: string;
	/** Path and query. */
	readonly path: string;
	/** Headers that go past this hop. */
	readonly headers: Readonly<Record<string, string | string[]>>;
	readonly body: RequestBody;
	/** Address of the caller. */
	readonly caller: string;
	/** Object that the request concerns; undefined: none. */
	readonly object: string | undefined;
	/** Monotonic times, in milliseconds: of the arrival, and by which the caller must have its final answer. */
	readonly arrivedAtMs: number;
	readonly answerByMs: number;
}

/** One attempt of a request, for its log line. */
export interface AttemptRecord {
	readonly server: BackendServerName;
	/** Why the server was chosen. */
	readonly why: string;
	/** Time from the arrival of the request to the start of the attempt, in milliseconds. */
	readonly startedAfterMs: number;
	/** Time that the attempt took, in milliseconds, and how it ended; undefined while it lasts. */
	heldMs?: number;
	outcome?: string;
}

/** One request. */
export class RelayedRequest {
	/** Cancelled when the caller left or the time is up. */
	readonly ended = new Cancellation();
	endedBy: 'caller' | 'deadline' | undefined;
	/** Servers that a byte of the request may have reached. */
	readonly sentTo = new Set<BackendServerName>();
	/** Servers that are not tried again for this request. */
	readonly avoid = new Set<BackendServerName>();
	readonly extraAttempts: Array<RetryReason | HedgeReason> = [];
	/** Whether any server may have run the request; once set, no refusal says that it was not run. */
	mayHaveRun = false;
	/** Whether the request may be one that crashes backend servers: a server dropped it, or it was in flight at a death and not answered since. */
	isSuspect = false;
	/** Attempts in the order of their start. */
	readonly attempts: AttemptRecord[] = [];
	/** Age of this instance's view of the store at the last choice, in milliseconds. */
	viewAgeMs = 0;
	#fingerprint: RequestFingerprint | undefined;

	constructor(readonly options: RelayedRequestOptions) {}

	/** Whether the request may run more than once. */
	get isIdempotent(): boolean {
		return this.options.route.repeatability === 'idempotent';
	}

	/** Whether its caller left or its time is up. */
	get hasEnded(): boolean {
		return this.endedBy !== undefined;
	}

	/** Fingerprint of the request, where anybody asked for it. */
	get knownFingerprint(): RequestFingerprint | undefined {
		return this.#fingerprint;
	}

	/** Fingerprint of the request. */
	fingerprint(): RequestFingerprint {
		const {method, service, path, body, headers, caller} = this.options;
		this.#fingerprint ??= fingerprintOf({
			method, service, path, bodyLength: headers['content-length'] as string | undefined, caller, bodyStart: body.start,
		});
		return this.#fingerprint;
	}

	/** Ends the request. */
	end(by: 'caller' | 'deadline'): void {
		if (!this.endedBy) {
			this.endedBy = by;
			this.ended.cancel();
		}
	}
}
