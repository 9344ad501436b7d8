/** Admission of calls: what can be refused without the body of a call or a backend server. */
import type {IncomingHttpHeaders} from 'node:http';
import {Left} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {ConfigurationSet, Refusal, Service} from '@pomelopick/core.types';
import {readDemands} from './call-headers.js';
import type {CallDemands} from './call-headers.js';

const RETRY_AFTER_MS = 1000;

/** Limits of an instance. */
export interface CallLimits {
	/** Calls in progress, waiting ones included. */
	readonly calls: number;
	/** Size of a request body, in bytes. */
	readonly bodyBytes: number;
	/** Bytes of request bodies that all calls together hold. */
	readonly heldBytes: number;
}

/** Options of {@link admitCall}. */
export interface AdmitCallOptions {
	readonly currentSet: () => ConfigurationSet | undefined;
	readonly limits: CallLimits;
	/** Whether this instance is about to stop and takes no new calls. */
	readonly isLeaving: () => boolean;
	/** Calls in progress here. */
	readonly inProgress: number;
	readonly headers: IncomingHttpHeaders;
	readonly serviceName: string;
}

/** A call that may be begun. */
export interface AdmittedCall {
	readonly service: Service;
	readonly demands: CallDemands;
}

/** Admits a call, or refuses it before anything was run. */
export function admitCall({currentSet, limits, isLeaving, inProgress, headers, serviceName}: AdmitCallOptions): Either<Refusal, AdmittedCall> {
	if (isLeaving()) {
		return Left({
			reason: 'instance-leaving', execution: 'not-run', detail: 'this instance is about to stop; another one takes the call', retryAfterMs: 0,
		});
	}

	if (inProgress >= limits.calls) {
		return Left({
			reason: 'instance-full', execution: 'not-run', detail: `${limits.calls} calls are in progress here`, retryAfterMs: RETRY_AFTER_MS,
		});
	}

	const set = currentSet();
	if (!set) {
		return Left({
			reason: 'configuration-missing', execution: 'not-run', detail: 'no configuration has arrived yet', retryAfterMs: RETRY_AFTER_MS,
		});
	}

	const service = set.services.find(({name}) => name === serviceName);
	if (!service) {
		return Left({reason: 'unknown-service', execution: 'not-run', detail: `no service is named ${JSON.stringify(serviceName)}`});
	}

	return readDemands(headers).bimap(
		(detail): Refusal => ({reason: 'bad-request', execution: 'not-run', detail}),
		demands => ({service, demands}),
	);
}
