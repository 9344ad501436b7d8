/** Admission control: refuses calls for reasons that need neither the body nor a backend server. */
import type {IncomingHttpHeaders} from 'node:http';
import {Left} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {ConfigurationSet, Refusal, Service} from '@pomelopick/core.types';
import {readCallParameters} from './call-headers.js';
import type {CallParameters} from './call-headers.js';

const RETRY_AFTER_MS = 1000;

/** Limits of one instance. */
export interface CallLimits {
	/** Maximum calls in progress, including those that wait for a slot. */
	readonly calls: number;
	/** Maximum size of a request body, in bytes. */
	readonly bodyBytes: number;
	/** Maximum bytes of request bodies that are buffered for all calls together. */
	readonly heldBytes: number;
}

/** Options of {@link admitCall}. */
export interface AdmitCallOptions {
	readonly currentSet: () => ConfigurationSet | undefined;
	readonly limits: CallLimits;
	/** Whether this instance is shutting down and accepts no new calls. */
	readonly isLeaving: () => boolean;
	/** Calls in progress at this instance. */
	readonly inProgress: number;
	readonly headers: IncomingHttpHeaders;
	readonly serviceName: string;
}

/** A call that may start. */
export interface AdmittedCall {
	readonly service: Service;
	readonly parameters: CallParameters;
}

/** Admits a call, or refuses it before any backend server was involved. */
export function admitCall({currentSet, limits, isLeaving, inProgress, headers, serviceName}: AdmitCallOptions): Either<Refusal, AdmittedCall> {
	if (isLeaving()) {
		return Left({
			reason: 'instance-leaving', execution: 'not-run', detail: 'this instance is about to stop; send the call to another instance', retryAfterMs: 0,
		});
	}

	if (inProgress >= limits.calls) {
		return Left({
			reason: 'instance-full', execution: 'not-run', detail: `this instance has reached its maximum of ${limits.calls} calls in progress`, retryAfterMs: RETRY_AFTER_MS,
		});
	}

	const set = currentSet();
	if (!set) {
		return Left({
			reason: 'configuration-missing', execution: 'not-run', detail: 'this instance has not received a configuration yet', retryAfterMs: RETRY_AFTER_MS,
		});
	}

	const service = set.services.find(({name}) => name === serviceName);
	if (!service) {
		return Left({reason: 'unknown-service', execution: 'not-run', detail: `service: expected the name of a configured service, found ${JSON.stringify(serviceName)}`});
	}

	return readCallParameters(headers).bimap(
		(detail): Refusal => ({reason: 'bad-request', execution: 'not-run', detail}),
		parameters => ({service, parameters}),
	);
}
