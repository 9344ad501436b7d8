import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createPlannedSet, plannedSize} from '@pomelopick/config.examples';
import {checkConfigurationSet} from '@pomelopick/config.schema';
import type {ConfigurationSetInput} from '@pomelopick/config.schema';
import type {ConfigurationSet, ConfigurationVersion, PublishId} from '@pomelopick/core.types';
import type {ConfigurationRoot} from '@pomelopick/config.publishing';
import {SetAssembler, splitIntoChunks} from '@pomelopick/config.publishing';

const input = createPlannedSet({seed: 1, size: {...plannedSize, clientBlocks: 3000}});

interface Version {
	readonly root: ConfigurationRoot;
	readonly chunks: Map<string, Uint8Array>;
	readonly set: ConfigurationSet;
}

function toVersion({change, version}: {readonly change: Partial<ConfigurationSetInput>; readonly version: number}): Version {
	const set = checkConfigurationSet({...input, ...change}).unsafeCoerce();
	const chunks = splitIntoChunks(set);
	const root: ConfigurationRoot = {
		version: version as ConfigurationVersion, publishId: `publish-${version}` as PublishId, author: 'test', publishedAtMs: 0, chunks: chunks.map(({kind, hash, bytes}) => ({kind, hash, bytes})),
	};
	return {root, set, chunks: new Map(chunks.map(({hash, content}) => [hash, content]))};
}

describe('SetAssembler', () => {
	const cases: ReadonlyArray<{name: string; change: Partial<ConfigurationSetInput>; unchanged: ReadonlyArray<keyof ConfigurationSet>; changed: ReadonlyArray<keyof ConfigurationSet>}> = [
		{
			name: 'returns the same client block list when a drain is added',
			change: {drains: [{name: 'stop', target: {kind: 'site', name: 'site-1'}}]},
			unchanged: ['clientBlocks', 'backendServers', 'sites'],
			changed: ['drains'],
		},
		{
			name: 'returns a new list when a client block is removed', change: {clientBlocks: input.clientBlocks!.slice(1)}, unchanged: ['backendServers', 'drains'], changed: ['clientBlocks'],
		},
	];
	for (const {name, change, unchanged, changed} of cases) {
		it(name, () => {
			const assembler = new SetAssembler();
			const first = assembler.assemble(toVersion({change: {}, version: 1})).unsafeCoerce();
			const next = toVersion({change, version: 2});
			const second = assembler.assemble(next).unsafeCoerce();
			assert.deepEqual({...second.set, clientBlocks: [...second.set.clientBlocks]}, next.set);
			assert.equal(second.set.clientBlocks.length, next.set.clientBlocks.length);
			assert.deepEqual(unchanged.filter(kind => first.set[kind] !== second.set[kind]), []);
			assert.deepEqual(changed.filter(kind => first.set[kind] === second.set[kind]), []);
		});
	}

	const invalidChunks: ReadonlyArray<{name: string; content: string}> = [
		{name: 'rejects a chunk that is not valid JSON', content: '[{"name":'},
		{name: 'rejects a chunk with an invalid object', content: '[{"name":"Bad Name!"}]'},
	];
	for (const {name, content} of invalidChunks) {
		it(name, () => {
			const assembler = new SetAssembler();
			const valid = toVersion({change: {}, version: 1});
			const damaged = new Map(valid.chunks);
			damaged.set(valid.root.chunks.find(({kind}) => kind === 'regions')!.hash, new TextEncoder().encode(content));
			assert.equal(assembler.assemble({root: valid.root, chunks: damaged}).swap().map(({code}) => code).orDefault('missing-chunk'), 'damaged-chunk');
			assert.equal(assembler.assemble(valid).isRight(), true);
		});
	}
});
