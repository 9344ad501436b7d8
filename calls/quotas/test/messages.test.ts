/** Malformed messages and records are refused with an error that names the field. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createQuotaListener, decodeQuotaAnswer, decodeQuotaRequest, decodeShard, encodeShard, QUOTA_PATH, QuotaClient,
} from '@pomelopick/calls.quotas';
import type {QuotaRequest} from '@pomelopick/calls.quotas';
import type {InstanceId, OrganisationName} from '@pomelopick/core.types';
import {listenOnLoopback} from '@pomelopick/testing.gateway-fleet';

const organisation = 'a' as OrganisationName;
const request: QuotaRequest = {instance: 'gateway-0', shard: 1, asks: [{organisation, permits: 3}]};
const grant = {organisation, permits: 2, retryAfterMs: 20};
const owner = {id: 'gateway-0' as InstanceId, process: 17};

const badRequests: ReadonlyArray<readonly [field: string, value: unknown]> = [
	['instance', {...request, instance: 7}],
	['instance', null],
	['shard', {...request, shard: 4}],
	['shard', {...request, shard: -1}],
	['shard', {...request, shard: 0.5}],
	['asks', {...request, asks: []}],
	['asks', {...request, asks: Array.from({length: 65}, () => request.asks[0])}],
	['asks', {...request, asks: 'all'}],
	['asks.organisation', {...request, asks: [{permits: 1}]}],
	['asks.organisation', {...request, asks: [null]}],
	['asks.permits', {...request, asks: [{organisation, permits: 0}]}],
	['asks.permits', {...request, asks: [{organisation, permits: 65}]}],
	['asks.permits', {...request, asks: [{organisation, permits: '1'}]}],
];

const badAnswers: typeof badRequests = [
	['grants', {}],
	['grants', {grants: [grant, grant]}],
	['grants.organisation', {grants: [{...grant, organisation: 'b'}]}],
	['grants.permits', {grants: [{...grant, permits: 4}]}],
	['grants.permits', {grants: [{...grant, permits: -1}]}],
	['grants.retryAfterMs', {grants: [{...grant, retryAfterMs: Number.MAX_SAFE_INTEGER}]}],
	['grants.retryAfterMs', {grants: [{...grant, retryAfterMs: undefined}]}],
];

const tables = [
	{name: 'a request', decode: decodeQuotaRequest, cases: badRequests},
	{name: 'an answer', decode: (text: string) => decodeQuotaAnswer({text, request}), cases: badAnswers},
] as const;

const record = {
	owner: 'gateway-0', process: 17, claim: 3, predecessors: [],
};
const badRecords: readonly unknown[] = [
	'text', [], {...record, owner: 7}, {...record, owner: null}, {...record, process: -1}, {...record, claim: 'x'}, {...record, predecessors: undefined}, {...record, predecessors: [{id: 'gateway-1'}]}, {...record, predecessors: [null]}, {...record, predecessors: Array.from({length: 17}, () => owner)},
];

describe('messages about quotas', () => {
	for (const {name, decode, cases} of tables) {
		for (const [field, value] of cases) {
			it(`are refused as ${name} for ${field}: ${JSON.stringify(value).slice(0, 80)}`, () => {
				const error = decode(JSON.stringify(value)).swap().unsafeCoerce();
				assert.equal(error.code, 'malformed-quota-message');
				assert.ok(error.message.startsWith(`${field}: `), error.message);
			});
		}
	}

	it('are refused when they are no JSON', () => {
		assert.equal(decodeQuotaRequest('{').swap().unsafeCoerce().code, 'malformed-value');
		assert.equal(decodeQuotaAnswer({text: '', request}).swap().unsafeCoerce().code, 'malformed-value');
	});

	it('are read as they were written', () => {
		assert.deepEqual(decodeQuotaRequest(JSON.stringify(request)).unsafeCoerce(), request);
		assert.deepEqual(decodeQuotaAnswer({text: JSON.stringify({grants: [grant]}), request}).unsafeCoerce(), {grants: [grant]});
	});
});

describe('records of shards', () => {
	for (const value of badRecords) {
		it(`are refused: ${JSON.stringify(value)}`, () => {
			assert.equal(decodeShard(new TextEncoder().encode(JSON.stringify(value))).swap().unsafeCoerce().code, 'malformed-quota-shard');
		});
	}

	it('are read as they were written', () => {
		for (const written of [{
			owner, claim: 1, predecessors: [],
		}, {
			owner: undefined, claim: 2, predecessors: [owner],
		}] as const) {
			assert.deepEqual(decodeShard(encodeShard(written)).unsafeCoerce(), written);
		}
	});
});

const answers = [
	['an instance of a build without quotas', 404, '', 'quota-unsupported'],
	['an instance that does not own the shard', 409, '', 'quota-not-owner'],
	['an instance that fails', 500, '', 'quota-refused'],
	['a malformed answer', 200, '{"grants":[{}]}', 'malformed-quota-message'],
] as const;

describe('a client', () => {
	for (const [name, status, text, expected] of answers) {
		it(`tells ${name} from others`, async () => {
			const {endpoint, close} = await listenOnLoopback((_, response) => {
				response.writeHead(status).end(text);
			});
			const client = new QuotaClient();
			const answered = await client.ask({endpoint, request, timeoutMs: 1000});
			client.close();
			close();
			assert.equal(answered.swap().unsafeCoerce().code, expected);
		});
	}

	it('gets the reason for which its request is refused', async () => {
		const reported: string[] = [];
		const {endpoint: {address, port}, close} = await listenOnLoopback(createQuotaListener({
			answer: () => undefined, onMalformed({message}) {
				reported.push(message);
			},
		}));
		const post = async (body: unknown): Promise<readonly [number, string]> => {
			const response = await fetch(`http://${address}:${port}${QUOTA_PATH}`, {method: 'POST', body: JSON.stringify(body)});
			return [response.status, await response.text()];
		};

		const refused = await post({...request, shard: 9});
		const notOwned = await post(request);
		close();
		assert.equal(refused[0], 400);
		assert.match(refused[1], /^shard: /u);
		assert.deepEqual(reported, [refused[1]]);
		assert.equal(notOwned[0], 409);
	});
});
