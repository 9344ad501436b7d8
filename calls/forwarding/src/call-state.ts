/** What is known of one call while it is carried. */
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
	/** Headers that go past this hop. */
	readonly headers: Record<string, string | string[]>;
	readonly body: RequestBody;
	readonly key: string | undefined;
	readonly caller: string;
	readonly callerSite: SiteName | undefined;
	readonly startedAtMs: number;
	readonly deadlineMs: number;
	readonly mostAttempts: number;
}

/** One call. */
export class CallState {
	/** Cancelled when the caller left or the deadline passed. */
	readonly ended = new Cancellation();
	endedBy: 'caller' | 'deadline' | undefined;
	readonly avoidServers = new Set<BackendServerName>();
	readonly avoidDomains = new Set<FailureDomainName>();
	readonly extraAttempts: Array<RetryReason | HedgeReason> = [];
	/** Attempts made, those included that found no server or could not connect. */
	attempts = 0;
	/** Attempts whose request may have left. */
	sentAttempts = 0;
	/** Whether the request was in flight at the death of a backend server and has not been cleared since. */
	isSuspect = false;
	/** Whether any attempt may have been run; once set, no refusal says "not run". */
	mayHaveRun = false;
	/** Whether any attempt surely was run: the head of its successful answer came. */
	hasRun = false;
	waitedMs = 0;
	lastServer: BackendServerName | undefined;
	why = '';
	#fingerprint: RequestFingerprint | undefined;

	constructor(readonly options: CallStateOptions) {}

	/** Whether the call is a read, which may be run more than once. */
	get isRead(): boolean {
		return this.options.method === 'GET' || this.options.method === 'HEAD';
	}

	/** Fingerprint of the request. */
	fingerprint(): RequestFingerprint {
		const {method, service, path, body, headers} = this.options;
		this.#fingerprint ??= fingerprintOf({
			method, service: service.name, path, bodyLength: headers['content-length'] as string | undefined, bodyStart: body.start,
		});
		return this.#fingerprint;
	}

	/** Ends the call; its attempts are given up. */
	end(by: 'caller' | 'deadline'): void {
		if (!this.endedBy) {
			this.endedBy = by;
			this.ended.cancel();
		}
	}
}
