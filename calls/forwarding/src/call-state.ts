/** State of one call while it is handled. */
import type {
	BackendServerName, CallId, FailureDomainName, HedgeReason, RetryReason, Service, SiteName,
} from '@pomelopick/core.types';
import {fingerprintOf} from '@pomelopick/calls.quarantine';
import type {RequestFingerprint} from '@pomelopick/calls.quarantine';
import {Cancellation} from './cancellation.js';
import type {RequestBody} from './request-body.js';

/** Options of {@link CallState}. */
export interface CallStateOptions {
	readonly id: CallId;
	readonly service: Service;
	readonly method: string;
	/** Path and query that the backend server receives. */
	readonly path: string;
	/** Headers that are passed on to the backend server (end-to-end headers). */
	readonly headers: Record<string, string | string[]>;
	readonly body: RequestBody;
	readonly key: string | undefined;
	readonly caller: string;
	readonly callerSite: SiteName | undefined;
	readonly startedAtMs: number;
	readonly deadlineMs: number;
	readonly maxSentAttempts: number;
}

/** State of one call. */
export class CallState {
	/** Cancelled when the caller disconnects or the deadline passes. */
	readonly cancellation = new Cancellation();
	endedBy: 'caller' | 'deadline' | undefined;
	readonly avoidServers = new Set<BackendServerName>();
	readonly avoidDomains = new Set<FailureDomainName>();
	readonly extraAttempts: Array<RetryReason | HedgeReason> = [];
	/** Attempts started, including those that found no server or could not connect. */
	attempts = 0;
	/** Attempts whose request may have been sent. */
	sentAttempts = 0;
	/** Whether the request was in flight when a backend server crashed and has not been cleared since. */
	isSuspect = false;
	/** Whether a backend server may have run any attempt; once set, no refusal of the call says `not-run`. */
	mayHaveRun = false;
	/** Whether a backend server certainly ran an attempt: the head of a successful response arrived. */
	hasRun = false;
	waitedMs = 0;
	lastServer: BackendServerName | undefined;
	why = '';
	#fingerprint: RequestFingerprint | undefined;

	constructor(readonly options: CallStateOptions) {}

	/** Whether the call is a read (GET or HEAD), which may be run more than once. */
	get isRead(): boolean {
		return this.options.method === 'GET' || this.options.method === 'HEAD';
	}

	/** Digest of the request, by which copies of it are recognised; computed when first needed. */
	fingerprint(): RequestFingerprint {
		const {method, service, path, body, headers} = this.options;
		this.#fingerprint ??= fingerprintOf({
			method, service: service.name, path, bodyLength: headers['content-length'] as string | undefined, bodyStart: body.start,
		});
		return this.#fingerprint;
	}

	/** Marks the call as ended and cancels what waits for it; further calls do nothing. */
	end(by: 'caller' | 'deadline'): void {
		if (!this.endedBy) {
			this.endedBy = by;
			this.cancellation.cancel();
		}
	}
}
