/** Guards against sends for a caller whose key was revoked while its request waited for something. */
import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it, mock,
} from 'node:test';
import type {Refusal} from '@pomelopick/core.types';
import {
	createScriptedRun, createWait, retryPermit, settle,
} from './scripted-run.js';
import type {ScriptedParts, ScriptedSend} from './scripted-run.js';

const rejected = {status: 503, headers: {'request-id': 'request-1', 'not-run': '1'}};
const answered = {status: 200, headers: {'request-id': 'request-1', stamp: 's', 'content-length': '0'}};
const HEDGE_AFTER_MS = 1000;
const refusal: Refusal = {reason: 'unauthorised', execution: 'not-run', detail: 'revoked'};

interface Waiting {
	readonly parts: ScriptedParts;
	/** Brings the request to the point at which it waits. */
	readonly before?: (sends: readonly ScriptedSend[]) => Promise<void>;
	/** Ends the wait, after the key was revoked. */
	readonly after: (sends: readonly ScriptedSend[]) => void | Promise<void>;
}

interface Case {
	readonly name: string;
	readonly create: () => Waiting;
	/** Number of sends whose bytes were sent, and the reason of the refusal or the status. */
	readonly expected: {readonly sent: number; readonly result: string};
}

const cases: readonly Case[] = [
	...(['idempotent', 'at-most-once'] as const).flatMap((repeatability): Case[] => [
		{
			name: `${repeatability}, for a connection that is established later`, expected: {sent: 0, result: 'unauthorised'}, create: () => ({
				parts: {repeatability}, async after([send]) {
					await send!.connect();
				},
			}),
		},
		{
			name: `${repeatability}, for a connection that fails later`, expected: {sent: 0, result: 'unauthorised'}, create: () => ({
				parts: {repeatability}, after([send]) {
					send!.failToConnect();
				},
			}),
		},
		{
			name: `${repeatability}, for a server that rejects it later`, expected: {sent: 1, result: 'unauthorised'}, create: () => ({
				parts: {repeatability}, async before([send]) {
					await send!.connect();
				}, after([send]) {
					send!.respond(rejected);
				},
			}),
		},
		{
			name: `${repeatability}, for a server that drops it later`, expected: {sent: 1, result: 'backend-failed'}, create: () => ({
				parts: {repeatability}, async before([send]) {
					await send!.connect();
				}, after([send]) {
					send!.drop();
				},
			}),
		},
		{
			name: `${repeatability}, for a response that is ready later`, expected: {sent: 1, result: '200'}, create: () => ({
				parts: {repeatability}, async before([send]) {
					await send!.connect();
				}, after([send]) {
					send!.respond(answered);
				},
			}),
		},
		{
			name: `${repeatability}, for a permit of a limited server`, expected: {sent: 0, result: 'unauthorised'}, create() {
				const wait = createWait<boolean>();
				return {
					parts: {repeatability, ratePermit: async () => wait.promise}, after() {
						wait.end(true);
					},
				};
			},
		},
		{
			name: `${repeatability}, for a permit to send again`, expected: {sent: 1, result: 'unauthorised'}, create() {
				const wait = createWait<typeof retryPermit>();
				return {
					parts: {repeatability, retryPermit: async () => wait.promise}, async before([send]) {
						await send!.connect();
						send!.respond(rejected);
						await settle();
					}, after() {
						wait.end(retryPermit);
					},
				};
			},
		},
	]),
	{
		name: 'idempotent, for a permit to hedge', expected: {sent: 1, result: '200'}, create() {
			const wait = createWait<typeof retryPermit>();
			return {
				parts: {repeatability: 'idempotent', targetLatencyMs: HEDGE_AFTER_MS, retryPermit: async () => wait.promise}, async before([send]) {
					await send!.connect();
					mock.timers.tick(HEDGE_AFTER_MS);
					await settle();
				}, async after([send]) {
					wait.end(retryPermit);
					await settle();
					send!.respond(answered);
				},
			};
		},
	},
];

describe('a request whose key is revoked while it waits', () => {
	beforeEach(() => {
		mock.timers.enable({apis: ['setTimeout']});
	});
	afterEach(() => {
		mock.timers.reset();
	});

	const check = async ({create, expected}: Case): Promise<void> => {
		const {parts, before, after} = create();
		let isRevoked = false;
		const {run, sends} = createScriptedRun({...parts, identityRefusal: () => isRevoked ? refusal : undefined});
		const running = run.run();
		await settle();
		await before?.(sends);
		isRevoked = true;
		await after(sends);
		await settle();
		const result = await running;
		assert.deepEqual({sent: sends.filter(({wasSent}) => wasSent).length, result: result.caseOf({Left: ({reason}) => reason as string, Right: ({status}) => String(status)})}, expected);
	};

	for (const aCase of cases) {
		it(aCase.name, async () => check(aCase));
	}
});
