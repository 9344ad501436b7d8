/** Conversion between the outcomes of keyed calls and their form in the journal. */
import type {IncomingHttpHeaders} from 'node:http';
import {create} from '@bufbuild/protobuf';
import type {KeyedResponse, KeyedOutcome} from '@pomelopick/calls.forwarding';
import {KeptOutcomeSchema} from '@pomelopick/peer.protocol';
import type {KeptOutcome} from '@pomelopick/peer.protocol';

/** Maximum size of a response body that is kept, in bytes. */
export const MAX_KEPT_BODY_BYTES = 4096;
/** Status of a kept outcome whose call was certainly not run. */
export const NOT_RUN_STATUS = 0;
/** Status of a kept outcome whose call may have been run. */
export const UNKNOWN_STATUS = 1;

const keptHeaders = ['content-type', 'content-language', 'content-encoding', 'etag', 'last-modified', 'location'] as const satisfies ReadonlyArray<keyof IncomingHttpHeaders>;

/** Converts an outcome to the form in which it is kept: status, selected headers and a body up to the maximum size. */
export function toKeptOutcome(outcome: KeyedOutcome): KeptOutcome {
	if ('execution' in outcome) {
		return create(KeptOutcomeSchema, {status: outcome.execution === 'not-run' ? NOT_RUN_STATUS : UNKNOWN_STATUS});
	}

	const isBodyDropped = outcome.body.length > MAX_KEPT_BODY_BYTES;
	return create(KeptOutcomeSchema, {
		status: outcome.status,
		headers: keptHeaders.filter(name => outcome.headers[name] !== undefined).map(name => ({name, values: [outcome.headers[name]!].flat()})),
		body: isBodyDropped ? new Uint8Array() : outcome.body,
		isBodyDropped,
	});
}

/** Converts a kept outcome to the response that a later copy gets; undefined when its body was too large to keep. */
export function toKeyedResponse({status, headers, body, isBodyDropped}: KeptOutcome): KeyedResponse | undefined {
	return isBodyDropped ? undefined : {status, headers: Object.fromEntries(headers.map(({name, values}) => [name, values.length === 1 ? values[0]! : values])), body};
}
