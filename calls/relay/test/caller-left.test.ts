/** Guards against sends for a caller that disconnected while its request waited for something. */
import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it, mock,
} from 'node:test';
import {
	createScriptedRun, createWait, retryPermit, settle,
} from './scripted-run.js';
import type {ScriptedParts, ScriptedSend} from './scripted-run.js';

const rejected = {status: 503, headers: {'request-id': 'request-1', 'not-run': '1'}};
const answered = {status: 200, headers: {'request-id': 'request-1', stamp: 's'}};
const HEDGE_AFTER_MS = 1000;

interface Waiting {
	readonly parts: ScriptedParts;
	/** Brings the request to the point at which it waits. */
	readonly before?: (sends: readonly ScriptedSend[]) => Promise<void>;
	/** Ends the wait, after the caller has left. */
	readonly after: (sends: readonly ScriptedSend[]) => void | Promise<void>;
}

interface Case {
	readonly name: string;
	readonly create: () => Waiting;
	/** Number of sends, and of those whose bytes were sent. */
	readonly expected: {readonly sends: number; readonly sent: number};
}

const cases: readonly Case[] = [
	...(['idempotent', 'at-most-once'] as const).flatMap((repeatability): Case[] => [
		{
			name: `${repeatability}, for a connection that is established later`, expected: {sends: 1, sent: 0}, create: () => ({
				parts: {repeatability}, async after([send]) {
					await send!.connect();
				},
			}),
		},
		{
			name: `${repeatability}, for a connection that fails later`, expected: {sends: 1, sent: 0}, create: () => ({
				parts: {repeatability}, after([send]) {
					send!.failToConnect();
				},
			}),
		},
		{
			name: `${repeatability}, for a server that rejects it later`, expected: {sends: 1, sent: 1}, create: () => ({
				parts: {repeatability}, async before([send]) {
					await send!.connect();
				}, after([send]) {
					if (!send!.isAborted) {
						send!.respond(rejected);
					}
				},
			}),
		},
		{
			name: `${repeatability}, for a connection after a rejection`, expected: {sends: 2, sent: 1}, create: () => ({
				parts: {repeatability}, async before(sends) {
					await sends[0]!.connect();
					sends[0]!.respond(rejected);
					await settle();
				}, async after(sends) {
					await sends[1]!.connect();
				},
			}),
		},
		{
			name: `${repeatability}, for a permit of a limited server, first`, expected: {sends: 0, sent: 0}, create() {
				const permit = createWait<boolean>();
				return {
					parts: {repeatability, ratePermit: async () => permit.promise}, after() {
						permit.end(true);
					},
				};
			},
		},
		{
			name: `${repeatability}, for a permit of a limited server, after a rejection`, expected: {sends: 1, sent: 1}, create() {
				const permit = createWait<boolean>();
				return {
					parts: {repeatability, ratePermit: async sends => sends === 0 || permit.promise}, async before([send]) {
						await send!.connect();
						send!.respond(rejected);
					}, after() {
						permit.end(true);
					},
				};
			},
		},
		{
			name: `${repeatability}, for a permit to retry, after a rejection`, expected: {sends: 1, sent: 1}, create() {
				const permit = createWait<typeof retryPermit>();
				return {
					parts: {repeatability, retryPermit: async () => permit.promise}, async before([send]) {
						await send!.connect();
						send!.respond(rejected);
					}, after() {
						permit.end(retryPermit);
					},
				};
			},
		},
	]),
	{
		name: 'idempotent, for the check whether its server crashed', expected: {sends: 1, sent: 1}, create() {
			const check = createWait<boolean>();
			return {
				parts: {repeatability: 'idempotent', isSuspect: true, crashCheck: async () => check.promise}, async before([send]) {
					await send!.connect();
					send!.drop();
				}, after() {
					check.end(true);
				},
			};
		},
	},
	{
		name: 'idempotent, for the time of a hedge', expected: {sends: 1, sent: 1}, create: () => ({
			parts: {repeatability: 'idempotent', targetLatencyMs: HEDGE_AFTER_MS}, async before([send]) {
				await send!.connect();
			}, after() {
				mock.timers.tick(HEDGE_AFTER_MS);
			},
		}),
	},
	{
		name: 'idempotent, for a permit to hedge', expected: {sends: 1, sent: 1}, create() {
			const permit = createWait<typeof retryPermit>();
			return {
				parts: {repeatability: 'idempotent', targetLatencyMs: HEDGE_AFTER_MS, retryPermit: async () => permit.promise}, async before([send]) {
					await send!.connect();
					await settle();
					mock.timers.tick(HEDGE_AFTER_MS);
				}, after() {
					permit.end(retryPermit);
				},
			};
		},
	},
];

/** Plays a case and returns its sends; the caller leaves during the wait, or stays. */
async function play({create, leaves}: {readonly create: Case['create']; readonly leaves: boolean}) {
	const {parts, before, after} = create();
	const {run, sends} = createScriptedRun(parts);
	const result = run.run();
	await settle();
	await before?.(sends);
	await settle();
	if (leaves) {
		run.leave();
	}

	await after(sends);
	await settle();
	return {counts: {sends: sends.length, sent: sends.filter(({wasSent}) => wasSent).length}, result, run};
}

describe('a request that waits', () => {
	beforeEach(() => {
		mock.timers.enable({apis: ['setTimeout']});
	});
	afterEach(() => {
		mock.timers.reset();
	});

	for (const {name, create, expected} of cases) {
		it(`is sent no more once its caller has left: ${name}`, async () => {
			const {counts, result} = await play({create, leaves: true});
			assert.deepEqual(counts, expected);
			const ended = await result;
			assert.ok(ended.isLeft());
		});

		it(`goes on while its caller stays: ${name}`, async () => {
			const {counts, result, run} = await play({create, leaves: false});
			assert.ok(counts.sends + counts.sent > expected.sends + expected.sent, JSON.stringify(counts));
			run.expire();
			await result;
		});
	}
});

describe('a request whose caller leaves while a server may be running it', () => {
	it('goes on at that server if it may run once only', async () => {
		const {run, sends} = createScriptedRun({repeatability: 'at-most-once'});
		const result = run.run();
		await settle();
		await sends[0]!.connect();
		run.leave();
		await settle();
		assert.equal(sends[0]!.isAborted, false);
		sends[0]!.respond(answered);
		const ended = await result;
		assert.equal(ended.map(({status}) => status).orDefault(0), 200);
	});

	it('is aborted if it may run again', async () => {
		const {run, sends} = createScriptedRun({repeatability: 'idempotent'});
		const result = run.run();
		await settle();
		await sends[0]!.connect();
		run.leave();
		await result;
		assert.equal(sends[0]!.isAborted, true);
	});
});
