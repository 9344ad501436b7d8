/** Refusals that need neither the body of a call nor a backend server. */
import type {IncomingHttpHeaders} from 'node:http';
import type {ConfigurationSet, Refusal, Service} from '@pomelopick/core.types';
import {readDemands} from './call-headers.js';

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

/** Options of {@link findEarlyRefusal}. */
export interface FindEarlyRefusalOptions {
	readonly currentSet: () => ConfigurationSet | undefined;
	readonly limits: CallLimits;
	/** Whether this instance is about to stop and takes no new calls. */
	readonly isLeaving: () => boolean;
	/** Calls in progress here. */
	readonly inProgress: number;
	readonly headers: IncomingHttpHeaders;
	readonly serviceName: string;
}

/** The refusal of a call that cannot be begun; undefined when it can. */
export function findEarlyRefusal({currentSet, limits, isLeaving, inProgress, headers, serviceName}: FindEarlyRefusalOptions): Refusal | undefined {
	if (isLeaving()) {
		return {
			reason: 'instance-leaving', execution: 'not-run', detail: 'this instance is about to stop; another one takes the call', retryAfterMs: 0,
		};
	}

	if (inProgress >= limits.calls) {
		return {
			reason: 'instance-full', execution: 'not-run', detail: `${limits.calls} calls are in progress here`, retryAfterMs: RETRY_AFTER_MS,
		};
	}

	const set = currentSet();
	if (!set) {
		return {
			reason: 'configuration-missing', execution: 'not-run', detail: 'no configuration has arrived yet', retryAfterMs: RETRY_AFTER_MS,
		};
	}

	if (!findService({set, name: serviceName})) {
		return {reason: 'unknown-service', execution: 'not-run', detail: `no service is named ${JSON.stringify(serviceName)}`};
	}

	const demands = readDemands(headers);
	return demands.isLeft() ? {reason: 'bad-request', execution: 'not-run', detail: demands.extract()} : undefined;
}

/** The service of a name, where it is configured. */
export function findService({set, name}: {readonly set: ConfigurationSet | undefined; readonly name: string}): Service | undefined {
	return set?.services.find(service => service.name === name);
}
