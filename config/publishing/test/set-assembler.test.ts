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
	const cases: ReadonlyArray<{name: string; change: Partial<ConfigurationSetInput>; same: ReadonlyArray<keyof ConfigurationSet>; other: ReadonlyArray<keyof ConfigurationSet>}> = [
		{
			name: 'keeps the client blocks when a drain comes',
			change: {drains: [{name: 'stop', target: {kind: 'site', name: 'site-1'}}]},
			same: ['clientBlocks', 'backendServers', 'sites'],
			other: ['drains'],
		},
		{
			name: 'makes a new list when one client block goes', change: {clientBlocks: input.clientBlocks!.slice(1)}, same: ['backendServers', 'drains'], other: ['clientBlocks'],
		},
	];
	for (const {name, change, same, other} of cases) {
		it(name, () => {
			const assembler = new SetAssembler();
			const first = assembler.assemble(toVersion({change: {}, version: 1})).unsafeCoerce();
			const next = toVersion({change, version: 2});
			const second = assembler.assemble(next).unsafeCoerce();
			assert.deepEqual({...second.set, clientBlocks: [...second.set.clientBlocks]}, next.set);
			assert.equal(second.set.clientBlocks.length, next.set.clientBlocks.length);
			assert.deepEqual(same.filter(kind => first.set[kind] !== second.set[kind]), []);
			assert.deepEqual(other.filter(kind => first.set[kind] === second.set[kind]), []);
		});
	}

	const damages: ReadonlyArray<{name: string; content: string}> = [
		{name: 'refuses a chunk that is no JSON', content: '[{"name":'},
		{name: 'refuses a chunk with a bad object', content: '[{"name":"Bad Name!"}]'},
	];
	for (const {name, content} of damages) {
		it(name, () => {
			const assembler = new SetAssembler();
			const sound = toVersion({change: {}, version: 1});
			const damaged = new Map(sound.chunks);
			damaged.set(sound.root.chunks.find(({kind}) => kind === 'regions')!.hash, new TextEncoder().encode(content));
			assert.equal(assembler.assemble({root: sound.root, chunks: damaged}).swap().map(({code}) => code).orDefault('missing-chunk'), 'damaged-chunk');
			assert.equal(assembler.assemble(sound).isRight(), true);
		});
	}
});
