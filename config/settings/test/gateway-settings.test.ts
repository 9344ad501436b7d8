/** Guards against settings that end the process where they are checked or used. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {parseGatewaySettings, parseSettings} from '@pomelopick/config.settings';

const DEEP = 200_000;
const at = '127.0.0.1:80';
const settings = {
	instance: 'a', failureDomain: 'north-a', region: 'north', regions: {'north-a': 'north'}, store: at, shutdownSeconds: 1, directoryMostSeconds: 1,
	listen: {
		callers: at, readiness: at, directory: at, metrics: at, peers: at,
	},
	retries: {ratio: 0.2, allowance: 5, windowSeconds: 10},
};
const nested: unknown = JSON.parse(`${'['.repeat(DEEP)}${']'.repeat(DEEP)}`);

/** What deployments state of an instance, and the bytes that it holds: 64 MiB as ever unless its memory is another than 350 MB. */
const capacityCases = [
	{
		name: 'without a capacity', capacity: undefined, heldBytes: 67_108_864, read: undefined,
	},
	{
		name: 'from 350 MB', capacity: {
			cores: 2, cpuShare: 0.25, linkMbps: 100, memoryMb: 350,
		}, heldBytes: 67_108_864, read: {cores: 0.5, linkMbps: 100, memoryMb: 350},
	},
	{
		name: 'from 202 MB', capacity: {cores: 0.19, linkMbps: 7, memoryMb: 202}, heldBytes: 19_813_093, read: {cores: 0.19, linkMbps: 7, memoryMb: 202},
	},
	{
		name: 'from 602 MB', capacity: {cores: 1.35, linkMbps: 140, memoryMb: 602}, heldBytes: 147_639_500, read: {cores: 1.35, linkMbps: 140, memoryMb: 602},
	},
	{
		name: 'from a memory that is too small', capacity: {memoryMb: 64}, heldBytes: 8_388_608, read: undefined,
	},
	{
		name: 'without values', capacity: {
			cores: null, cpuShare: null, linkMbps: null, memoryMb: null,
		}, heldBytes: 67_108_864, read: undefined,
	},
];

describe('settings', () => {
	it('are read', () => {
		assert.equal(parseGatewaySettings(settings).isRight(), true);
	});

	for (const {name, capacity, heldBytes, read} of capacityCases) {
		it(`derive the bytes that are held ${name}`, () => {
			const parsed = parseGatewaySettings({...settings, ...(capacity !== undefined && {capacity})}).unsafeCoerce();
			assert.deepEqual([parsed.limits.heldBytes, parsed.capacity], [heldBytes, read]);
		});
	}

	it('are refused with a negative memory', () => {
		assert.match(parseGatewaySettings({...settings, capacity: {memoryMb: -1}}).swap().map(({message}) => message).orDefault('read'), /^capacity.memoryMb: /u);
	});

	for (const store of ['[fe80::1%lo]:80', '0.0.0.0:80', '127.0.0.1:0', '[::]:80']) {
		it(`are refused with the store at ${store}`, () => {
			assert.match(parseGatewaySettings({...settings, store}).swap().map(({message}) => message).orDefault('read'), /^store: /u);
		});
	}

	for (const [name, parse] of [['gateway', parseGatewaySettings], ['entry', parseSettings]] as const) {
		it(`are refused with a text when they are nested too deeply: ${name}`, () => {
			assert.equal(parse(nested).isLeft(), true);
			assert.equal(parse({...settings, instance: nested}).isLeft(), true);
		});
	}
});
