/** Guards against messages and records of other instances that end or mislead an instance. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {Client} from 'undici';
import {
	decodeInstance, decodeSuspicion, decodeUpstreamAnswer, instanceKey, readBroadcastMessage, readSuspicion,
} from '@pomelopick/calls.live';
import {
	decodePermitAnswer, decodePermitRequest, readRateLimit, readServerWarmup,
} from '@pomelopick/calls.rate-limits';
import {originOf} from '@pomelopick/core.types';
import type {InstanceId} from '@pomelopick/core.types';

const RUNS = 1000;
const DEEP = 200_000;
const nested = `${'['.repeat(DEEP)}${']'.repeat(DEEP)}`;
const encode = (text: string): Uint8Array => new TextEncoder().encode(text);

const upstream = {
	kind: 'changes', changes: [{key: 'servers/a', index: 4}], index: 4, ageMs: 0,
};
const limit = {
	name: 'a', startedAtMs: 1, requestsPerSecond: 2.9, version: 7,
};
const warmup = {name: 'a', startedAtMs: 1, warmupLeftMs: 2500};
const death = {
	kind: 'death', origin: 'a', sequence: 1, server: 's', startedAtMs: 1, fingerprints: ['a'.repeat(64)],
};
const instance = {
	id: 'a', failureDomain: 'north-a', region: 'north', callers: {address: '10.0.0.1', port: 80}, peers: {address: '10.0.0.1', port: 81},
};
const broadcast = {records: [death], passOn: ['b']};

const decoders: ReadonlyArray<{name: string; sound: Record<string, unknown>; decode: (text: string) => {isRight: () => boolean}}> = [
	{name: 'changes', sound: {...upstream, era: 2}, decode: text => decodeUpstreamAnswer({text, defaultEra: undefined})},
	{name: 'changes of older builds', sound: upstream, decode: text => decodeUpstreamAnswer({text, defaultEra: 1})},
	{name: 'suspicions', sound: death, decode: text => decodeSuspicion(encode(text))},
	{name: 'instances', sound: instance, decode: text => decodeInstance({key: instanceKey('a' as InstanceId), bytes: encode(text)})},
	{name: 'broadcasts', sound: broadcast, decode: text => readBroadcastMessage({subject: 'suspicions', value: JSON.parse(text), readRecord: readSuspicion})},
	{name: 'rate limits', sound: limit, decode: text => readRateLimit(JSON.parse(text))},
	{name: 'warm-ups', sound: warmup, decode: text => readServerWarmup(JSON.parse(text))},
	{name: 'requests for permits', sound: {record: limit}, decode: decodePermitRequest},
	{name: 'permits', sound: {isGranted: true, retryAfterMs: 1, record: limit}, decode: decodePermitAnswer},
];

const misleading: ReadonlyArray<{name: string; kind: string; value: unknown}> = [
	{name: 'an index that no store reaches', kind: 'changes', value: {...upstream, index: 1e300}},
	{name: 'an index that is not whole', kind: 'changes', value: {...upstream, index: 1.5}},
	{name: 'an index of a change that no store reaches', kind: 'changes', value: {...upstream, changes: [{key: 'servers/a', index: 1e300}]}},
	{name: 'a version that leaves no room for a newer one', kind: 'rate limits', value: {...limit, version: Number.MAX_SAFE_INTEGER}},
	{name: 'a warm-up that no response can state', kind: 'warm-ups', value: {...warmup, warmupLeftMs: 1e300}},
	{name: 'a negative warm-up', kind: 'warm-ups', value: {...warmup, warmupLeftMs: -1}},
	{name: 'a wait that no timer can measure', kind: 'permits', value: {isGranted: false, retryAfterMs: 1e300, record: limit}},
	{name: 'more requests than a crash can have', kind: 'suspicions', value: {...death, fingerprints: Array.from({length: 1000}, () => 'a'.repeat(64))}},
	{name: 'the id of another instance', kind: 'instances', value: {...instance, id: 'b'}},
	{name: 'a port of no listener', kind: 'instances', value: {...instance, peers: {address: '10.0.0.1', port: 0}}},
];

describe('what other instances write and send', () => {
	for (const {name, sound, decode} of decoders) {
		it(`is read, and nothing odd in its place ends the reading: ${name}`, () => {
			assert.equal(decode(JSON.stringify(sound)).isRight(), true);
			const field = fc.constantFrom(...Object.keys(sound));
			fc.assert(fc.property(fc.oneof(
				fc.json(),
				fc.dictionary(field, fc.oneof(fc.jsonValue(), fc.constantFrom(null, -1, 1.5, 1e300, [], {}, '')), {minKeys: 1}).map(changes => JSON.stringify({...sound, ...changes})),
			), text => {
				decode(text);
			}), {numRuns: RUNS});
			for (const text of [nested, ...Object.keys(sound).map(key => JSON.stringify({...sound, [key]: 'PLACE'}).replace('"PLACE"', nested))]) {
				decode(text);
			}
		});
	}

	for (const {name, kind, value} of misleading) {
		it(`is refused with ${name}`, () => {
			assert.equal(decoders.find(decoder => decoder.name === kind)!.decode(JSON.stringify(value)).isRight(), false);
		});
	}

	it('has an endpoint of an instance only if a client can be created for it', async () => {
		const endpoint = fc.record({address: fc.oneof(fc.ipV4(), fc.ipV6(), fc.ipV6().map(address => `${address}%lo`), fc.string()), port: fc.oneof(fc.integer({min: -1, max: 70_000}), fc.double())});
		await fc.assert(fc.asyncProperty(endpoint, async peers => {
			const found = decodeInstance({key: instanceKey('a' as InstanceId), bytes: encode(JSON.stringify({...instance, peers}))}).toMaybe().extract()?.peers;
			await (found && new Client(originOf(found)).destroy());
		}), {numRuns: RUNS});
	});
});
