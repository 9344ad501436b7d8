import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import xxhash from 'xxhash-wasm';
import type {BackendServerName, InstanceId} from '@pomelopick/core.types';
import {chooseSubset, subsetSize} from '@pomelopick/steering.subsets';

const SEED = 3;
const {h32} = await xxhash();

function listNames<Name extends string>({count, prefix}: {readonly count: number; readonly prefix: string}): Name[] {
	return Array.from({length: count}, (_, index) => `${prefix}-${String(index).padStart(4, '0')}` as Name);
}

function countByServer({instances, servers, size}: {readonly instances: readonly InstanceId[]; readonly servers: readonly BackendServerName[]; readonly size: number}): Map<BackendServerName, number> {
	const counts = new Map(servers.map(name => [name, 0]));
	for (const instance of instances) {
		for (const name of chooseSubset({
			instance, instances, servers, size, hash: h32,
		})) {
			counts.set(name, counts.get(name)! + 1);
		}
	}

	return counts;
}

describe('chooseSubset', () => {
	it('opens no more connections to a server than it accepts, for any size of the fleet', () => {
		const counts = [fc.integer({min: 1, max: 300}), fc.integer({min: 1, max: 60}), fc.integer({min: 1, max: 8}), fc.integer({min: 100, max: 400})] as const;
		fc.assert(fc.property(...counts, (instanceCount, serverCount, connectionsPerServer, connections) => {
			const instances = listNames<InstanceId>({count: instanceCount, prefix: 'entry'});
			const servers = listNames<BackendServerName>({count: serverCount, prefix: 'server'});
			const size = subsetSize({
				instances: instanceCount, servers: serverCount, connectionsPerServer, connections,
			});
			fc.pre(Math.ceil(instanceCount / Math.floor(serverCount / size)) * connectionsPerServer <= connections);
			const maxInstances = Math.max(...countByServer({instances, servers, size}).values());
			assert.ok(maxInstances * connectionsPerServer <= connections, `${maxInstances} instances with ${connectionsPerServer} connections each`);
		}), {seed: SEED, numRuns: 200});
	});

	it('spreads 920 instances over the 170 servers of a service with at most 330 connections each', () => {
		const instances = listNames<InstanceId>({count: 920, prefix: 'entry'});
		const servers = listNames<BackendServerName>({count: 170, prefix: 'server'});
		const size = subsetSize({
			instances: 920, servers: 170, connectionsPerServer: 4, connections: 330,
		});
		const counts = [...countByServer({instances, servers, size}).values()];
		assert.ok(Math.max(...counts) * 4 <= 330, `${Math.max(...counts)} instances at one server`);
		assert.ok(Math.max(...counts) - Math.min(...counts) <= Math.ceil(920 / Math.floor(170 / size)), `from ${Math.min(...counts)} to ${Math.max(...counts)}`);
	});

	it('changes no subset of the other instances when one is added at the end', () => {
		const servers = listNames<BackendServerName>({count: 40, prefix: 'server'});
		const before = listNames<InstanceId>({count: 20, prefix: 'entry'});
		const after = listNames<InstanceId>({count: 21, prefix: 'entry'});
		const subset = (instance: InstanceId, instances: readonly InstanceId[]) => chooseSubset({
			instance, instances, servers, size: 8, hash: h32,
		});
		for (const instance of before) {
			assert.deepEqual(subset(instance, after), subset(instance, before));
		}
	});
});
