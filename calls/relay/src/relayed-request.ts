/** State of one request while it is relayed. */
import {fingerprintOf} from '@pomelopick/calls.quarantine';
import type {RequestFingerprint} from '@pomelopick/calls.quarantine';
import {Cancellation} from '@pomelopick/calls.forwarding';
import type {RequestBody, BufferReservation} from '@pomelopick/calls.forwarding';
import type {UploadRefusal} from '@pomelopick/calls.uploads';
import type {
	BackendServerName, HedgeReason, InstanceId, RetryReason, Route, ServiceName,
} from '@pomelopick/core.types';
import type {Identity} from './authenticate.js';

/** Options of {@link RelayedRequest}. */
export interface RelayedRequestOptions {
	/** Identifier as the caller sent it. */
	readonly id: string;
	readonly route: Route;
	/** Service that was chosen among the targets of the route's traffic split. */
	readonly service: ServiceName;
	readonly method: string;
	/** Path and query. */
	readonly path: string;
	/** End-to-end headers, which are forwarded. */
	readonly headers: Readonly<Record<string, string | string[]>>;
	readonly body: RequestBody;
	/** Counts the bytes that are held for the request; undefined: none is read ahead of its caller. */
	readonly reservation?: BufferReservation | undefined;
	/** Whether further requests have arrived behind this one on the caller's connection; never if left out. */
	readonly hasRequestsBehind?: (() => boolean) | undefined;
	/** Address of the caller. */
	readonly caller: string;
	/** Who sent the request; undefined: callers are not authenticated. */
	readonly identity?: Identity | undefined;
	/** Object that the request concerns; undefined: none. */
	readonly object: string | undefined;
	/** Monotonic time of the arrival, in milliseconds. */
	readonly arrivedAtMs: number;
	/** Monotonic time by which the caller must have its final response, in milliseconds. */
	readonly answerByMs: number;
	/** Whether another instance forwarded the request here; it is then not forwarded again. */
	readonly isForwarded?: boolean;
}

/** What an attempt told its server, and how long it waited for its connection. */
export interface AttemptTiming {
	/** Time until the deadline that was written to the server, in milliseconds; undefined if nothing was. */
	timeLeftMs?: number;
	/** Time that the attempt waited for its connection, in milliseconds; undefined if it never got one. */
	waitedMs?: number;
}

/** Record of one attempt for the log line of its request. */
export interface AttemptRecord extends AttemptTiming {
	readonly server: BackendServerName;
	/** Why the server was chosen. */
	readonly why: string;
	/** Time from the arrival of the request to the start of the attempt, in milliseconds. */
	readonly startedAfterMs: number;
	/** Duration of the attempt, in milliseconds; undefined while it is in progress. */
	heldMs?: number;
	/** How the attempt ended; undefined while it is in progress. */
	outcome?: string;
}

/** What the last admission decision on a request knew. */
export interface AdmissionRecord {
	/** Expected wait and work at the chosen server, and time left until the deadline, in milliseconds. */
	readonly waitMs: number;
	readonly workMs: number;
	readonly leftMs: number;
	/** Pressure at the service, from 0 to 1; undefined: not measured. */
	readonly pressure: number | undefined;
}

/** Begin of the outcome of an attempt that was answered. */
export const ANSWERED = 'answered';

/** Who ended a request before its response: its caller disconnected, its deadline passed, or this instance stops. */
export type RequestEnder = 'caller' | 'deadline' | 'instance';

/** One request with the state of its attempts. */
export class RelayedRequest {
	/** Cancelled when the request is ended. */
	readonly ended = new Cancellation();
	endedBy: RequestEnder | undefined;
	/** Monotonic time at which the caller disconnected, in milliseconds; undefined while it is connected. */
	callerLeftAtMs: number | undefined;
	/** Servers that a byte of the request may have reached. */
	readonly sentTo = new Set<BackendServerName>();
	/** Servers that are not tried again for this request. */
	readonly avoid = new Set<BackendServerName>();
	/** Why chosen servers could not be sent the request, an upload. */
	readonly uploadRefusals: UploadRefusal[] = [];
	/** Instances that the request was forwarded to. */
	readonly triedPeers = new Set<InstanceId>();
	readonly extraAttempts: Array<RetryReason | HedgeReason> = [];
	/** Whether any server may have run the request. Once set, no refusal may claim that the request was not run. */
	mayHaveRun = false;
	/** Whether the request is suspected of crashing backend servers: a server dropped it, or it was in flight at a crash and has not been answered since. */
	isSuspect = false;
	/** What the last admission decision knew; undefined: none was made. */
	admission: AdmissionRecord | undefined;
	/** Attempts in the order of their start. */
	readonly attempts: AttemptRecord[] = [];
	/** Age of this instance's view of the store when a server was last chosen, in milliseconds. */
	viewAgeMs = 0;
	#fingerprint: RequestFingerprint | undefined;

	constructor(readonly options: RelayedRequestOptions) {}

	/** Whether the request may run more than once. */
	get isIdempotent(): boolean {
		return this.options.route.repeatability === 'idempotent';
	}

	/** Server that answered the last attempt that was answered; undefined if none was. */
	get answeredBy(): BackendServerName | undefined {
		return this.attempts.findLast(({outcome}) => outcome?.startsWith(ANSWERED))?.server;
	}

	/** Whether the request was ended before its response. */
	get hasEnded(): boolean {
		return this.endedBy !== undefined;
	}

	/** Fingerprint of the request; undefined if it has not been computed yet. */
	get knownFingerprint(): RequestFingerprint | undefined {
		return this.#fingerprint;
	}

	/** Returns the fingerprint of the request and computes it on the first call. */
	fingerprint(): RequestFingerprint {
		const {method, service, path, body, headers, caller} = this.options;
		this.#fingerprint ??= fingerprintOf({
			method, service, path, bodyLength: headers['content-length'] as string | undefined, caller, bodyStart: body.start,
		});
		return this.#fingerprint;
	}

	/** Ends the request. Only the first call has an effect. */
	end(by: RequestEnder): void {
		if (!this.endedBy) {
			this.endedBy = by;
			this.ended.cancel();
		}
	}
}
