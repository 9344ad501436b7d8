import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {Left} from 'purify-ts';
import type {PlaceCallOptions} from '@pomelopick/calls.forwarding';
import {ServerSubsets, withinSubset} from '@pomelopick/calls.placement';
import type {
	BackendServerName, ConfigurationSet, Instance, InstanceId, Service, ServiceName,
} from '@pomelopick/core.types';
import {connectionsPerInstance} from '@pomelopick/steering.subsets';

const CONNECTIONS = 330;
const service = {name: 'ledger'} as unknown as Service;

function listNames(prefix: string, count: number): string[] {
	return Array.from({length: count}, (_, index) => `${prefix}-${String(index).padStart(4, '0')}`);
}

function subsetsOf({instances, servers}: {readonly instances: number; readonly servers: number}): ServerSubsets[] {
	const live = listNames('entry', instances).map(id => ({id}) as unknown as Instance);
	const set = {backendServers: listNames('server', servers).map(name => ({name, service: service.name, connections: CONNECTIONS}))} as unknown as ConfigurationSet;
	return live.map(({id}) => new ServerSubsets({instance: id, liveInstances: () => live, currentSet: () => set}));
}

const cases = [
	{
		name: 'few instances: all of them use all servers', instances: 9, servers: 16, usesAll: true,
	},
	{
		name: 'the maximum number of instances that use all servers', instances: 165, servers: 28, usesAll: true,
	},
	{
		name: 'one instance above that maximum', instances: 166, servers: 28, usesAll: false,
	},
	{
		name: 'the fleet size that the system is designed for', instances: 920, servers: 170, usesAll: false,
	},
];

describe('ServerSubsets', () => {
	for (const {
		name, instances, servers, usesAll,
	} of cases) {
		it(`keeps the connections to each server within what it accepts: ${name}`, () => {
			const subsets = subsetsOf({instances, servers});
			const instancesByServer = new Map(listNames('server', servers).map(server => [server, instances]));
			for (const subset of subsets) {
				const excluded = subset.listExcluded(service.name);
				assert.ok(excluded.size < servers, 'an instance has no server to use');
				assert.equal(excluded.size === 0, usesAll);
				for (const server of excluded) {
					instancesByServer.set(server, instancesByServer.get(server)! - 1);
				}
			}

			const maxConnections = Math.max(...instancesByServer.values()) * connectionsPerInstance({instances, connections: CONNECTIONS});
			assert.ok(maxConnections <= CONNECTIONS, `${maxConnections} connections to one server`);
		});
	}

	it('restricts the placement of calls to the subset', async () => {
		const [subsets] = subsetsOf({instances: 920, servers: 170});
		let avoided: ReadonlySet<BackendServerName> = new Set();
		const placeCall = withinSubset({
			subsets: subsets!, async placeCall({avoidServers}) {
				avoided = avoidServers;
				return Left({reason: 'no-backend-server', execution: 'not-run', detail: ''});
			},
		});
		const failed = 'failed-before' as BackendServerName;
		await placeCall({service, avoidServers: new Set([failed])} as unknown as PlaceCallOptions);
		assert.deepEqual(avoided, new Set([failed, ...subsets!.listExcluded('ledger' as ServiceName)]));
		assert.ok(avoided.size > 1);
	});
});
