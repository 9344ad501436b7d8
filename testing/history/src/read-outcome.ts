/** Asks one instance for the outcome of a key. */
import {Buffer} from 'node:buffer';
import {request} from 'undici';
import type {Endpoint} from '@pomelopick/core.types';
import type {OutcomeRecord} from './records.js';

const TIMEOUT_MS = 3000;

/** Options of {@link readOutcome}. */
export interface ReadOutcomeOptions {
	readonly endpoint: Endpoint;
	readonly service: string;
	readonly key: string;
}

interface OutcomeDocument extends Pick<OutcomeRecord, 'state' | 'execution'> {
	readonly answer?: {readonly body: string};
}

/** What the instance says; undefined when it refuses or is silent. Never rejects. */
export async function readOutcome({endpoint: {address, port}, service, key}: ReadOutcomeOptions): Promise<OutcomeRecord | undefined> {
	const startedAtMs = Date.now();
	try {
		const response = await request(`http://${address}:${port}/v1/outcomes/${key}?service=${service}`, {signal: AbortSignal.timeout(TIMEOUT_MS)});
		const document = await response.body.json() as OutcomeDocument;
		return response.statusCode === 200
			? {
				key, state: document.state, execution: document.execution, startedAtMs, ...(document.answer && {answeredCallId: readCallId(document.answer.body)}),
			}
			: undefined;
	} catch {
		return undefined;
	}
}

function readCallId(body: string): string {
	const {callId} = JSON.parse(Buffer.from(body, 'base64').toString()) as {readonly callId: string};
	return callId;
}
