import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ServerTable} from '@pomelopick/steering.servers';
import type {RecordWarmupOptions} from '@pomelopick/steering.servers';
import type {
	BackendServerName, FailureDomainName, RegisteredServer, ServiceName,
} from '@pomelopick/core.types';

const service = 'ledger' as ServiceName;
const north = 'north-a' as FailureDomainName;
const one = 'one' as BackendServerName;
const two = 'two' as BackendServerName;

function server(changes: Partial<RegisteredServer> = {}): RegisteredServer {
	return {
		name: one, service, address: '10.0.0.1', port: 80, failureDomain: north, slots: 4, state: 'ready', warmupLeftMs: 0, startedAtMs: 1000, heartbeat: 5, ...changes,
	};
}

const namesOf = (table: ServerTable): readonly string[] => table.listUsable(service).map(known => known.server.name);

interface Step {
	readonly name: string;
	readonly act: (table: ServerTable) => void;
	readonly usable: readonly string[];
}

const cases: readonly Step[] = [
	{name: 'uses a ready server', act() {/* The server stays ready. */}, usable: ['one']},
	{
		name: 'does not use a draining server', act(table) {
			table.write({server: server({state: 'draining', heartbeat: 6}), nowMs: 0});
		}, usable: [],
	},
	{
		name: 'ignores an entry of an earlier start', act(table) {
			table.write({server: server({state: 'draining', startedAtMs: 900, heartbeat: 90}), nowMs: 0});
		}, usable: ['one'],
	},
	{
		name: 'ignores an entry of an earlier heartbeat', act(table) {
			table.write({server: server({state: 'draining', heartbeat: 4}), nowMs: 0});
		}, usable: ['one'],
	},
	{
		name: 'accepts an entry of a later start whose heartbeats begin again at 0', act(table) {
			table.write({server: server({state: 'draining', startedAtMs: 2000, heartbeat: 0}), nowMs: 0});
		}, usable: [],
	},
	{
		name: 'removes a server at once when its entry is not kept', act(table) {
			table.remove({name: one, retainUntilMs: undefined});
		}, usable: [],
	},
	{
		name: 'keeps using a server whose entry expired in a store outage', act(table) {
			table.remove({name: one, retainUntilMs: 2000});
			table.expire(1999);
		}, usable: ['one'],
	},
	{
		name: 'removes a server whose expired entry is not registered again in time', act(table) {
			table.remove({name: one, retainUntilMs: 2000});
			table.expire(2000);
		}, usable: [],
	},
	{
		name: 'keeps a server whose expired entry was registered again', act(table) {
			table.remove({name: one, retainUntilMs: 2000});
			table.write({server: server({heartbeat: 6}), nowMs: 1000});
			table.expire(5000);
		}, usable: ['one'],
	},
	{
		name: 'does not keep the expired entry of a draining server', act(table) {
			table.write({server: server({state: 'draining', heartbeat: 6}), nowMs: 0});
			table.remove({name: one, retainUntilMs: 2000});
			table.write({server: server({state: 'ready', heartbeat: 1, startedAtMs: 500}), nowMs: 0});
		}, usable: ['one'],
	},
	{
		name: 'does not use servers in an evacuated failure domain', act(table) {
			table.evacuate(north);
		}, usable: [],
	},
	{
		name: 'uses the servers of a failure domain again after the end of its evacuation', act(table) {
			table.evacuate(north);
			table.endEvacuation({failureDomain: north, nowMs: 0});
		}, usable: ['one'],
	},
];

const remove = (table: ServerTable): void => {
	table.remove({name: one, retainUntilMs: undefined});
};

const expire = (table: ServerTable): void => {
	table.remove({name: one, retainUntilMs: 2000});
	table.expire(2000);
};

/** Entries that are written after the one of the table was removed: heartbeat 5 of the start 1000. */
const lateCases: readonly Step[] = [
	{
		name: 'of an earlier heartbeat', act(table) {
			remove(table);
			table.write({server: server({heartbeat: 3}), nowMs: 0});
		}, usable: [],
	},
	{
		name: 'of the last heartbeat', act(table) {
			remove(table);
			table.write({server: server(), nowMs: 0});
		}, usable: [],
	},
	{
		name: 'of two earlier heartbeats, one after the other', act(table) {
			remove(table);
			table.write({server: server({heartbeat: 3}), nowMs: 0});
			remove(table);
			table.write({server: server({heartbeat: 4}), nowMs: 0});
		}, usable: [],
	},
	{
		name: 'of a heartbeat before the server reported that it drains', act(table) {
			table.write({server: server({state: 'draining', heartbeat: 6}), nowMs: 0});
			remove(table);
			table.write({server: server({heartbeat: 5}), nowMs: 0});
		}, usable: [],
	},
	{
		name: 'of an earlier start, though its heartbeat was not seen before', act(table) {
			table.write({server: server({startedAtMs: 2000, heartbeat: 1}), nowMs: 0});
			remove(table);
			table.write({server: server({heartbeat: 6}), nowMs: 0});
		}, usable: [],
	},
	{
		name: 'of a replaced start, while an entry of a start with a clock that is behind is known', act(table) {
			remove(table);
			table.write({server: server({startedAtMs: 900, heartbeat: 1}), nowMs: 0});
			table.write({server: server({heartbeat: 4, state: 'draining'}), nowMs: 0});
		}, usable: ['one'],
	},
	{
		name: 'of a heartbeat before the last one, after the entry expired in a store outage', act(table) {
			expire(table);
			table.write({server: server({heartbeat: 4}), nowMs: 3000});
		}, usable: [],
	},
	{
		name: 'of the last heartbeat, after the entry expired in a store outage', act(table) {
			expire(table);
			table.write({server: server(), nowMs: 3000});
		}, usable: ['one'],
	},
	{
		name: 'of a later heartbeat, by which the start goes on', act(table) {
			remove(table);
			table.write({server: server({heartbeat: 6}), nowMs: 0});
		}, usable: ['one'],
	},
	{
		name: 'of a later start', act(table) {
			remove(table);
			table.write({server: server({startedAtMs: 2000, heartbeat: 0}), nowMs: 0});
		}, usable: ['one'],
	},
	{
		name: 'of a new start with a clock that is behind', act(table) {
			remove(table);
			table.write({server: server({startedAtMs: 900, heartbeat: 0}), nowMs: 0});
		}, usable: ['one'],
	},
	{
		name: 'of a server that does not state its start', act(table) {
			remove(table);
			table.write({server: server({startedAtMs: undefined, heartbeat: 1}), nowMs: 0});
		}, usable: ['one'],
	},
];

describe('ServerTable', () => {
	for (const {name, act, usable} of lateCases) {
		it(`${usable.length > 0 ? 'uses' : 'does not use'} a server after a late entry ${name}`, () => {
			const table = new ServerTable();
			table.write({server: server(), nowMs: 0});
			act(table);
			assert.deepEqual(namesOf(table), usable);
		});
	}

	for (const {name, act, usable} of cases) {
		it(name, () => {
			const table = new ServerTable();
			table.write({server: server(), nowMs: 0});
			act(table);
			assert.deepEqual(namesOf(table), usable);
		});
	}

	it('considers a server warming up for at least the time that it reports', () => {
		const table = new ServerTable();
		table.write({server: server({warmupLeftMs: 3000}), nowMs: 100});
		assert.ok(table.findUsable(one)!.coldUntilMs >= 3100);
	});

	it('considers a server warming up for at least the time that it states in a health response', () => {
		const table = new ServerTable();
		table.write({server: server(), nowMs: 0});
		table.recordWarmup({server: server(), warmupLeftMs: 3000, nowMs: 100});
		table.recordWarmup({server: server(), warmupLeftMs: 0, nowMs: 200});
		assert.ok(table.findUsable(one)!.coldUntilMs >= 3100);
	});

	it('reports only statements about a warm-up that is longer than was known', () => {
		const table = new ServerTable();
		table.write({server: server({startedAtMs: 7}), nowMs: 0});
		const states = (options: Partial<RecordWarmupOptions>): boolean => table.recordWarmup({
			server: server({startedAtMs: 7}), warmupLeftMs: 3000, nowMs: 100, ...options,
		});
		assert.equal(states({server: server({startedAtMs: 6})}), false, 'of an earlier start');
		assert.equal(states({}), true, 'not known yet');
		assert.equal(states({warmupLeftMs: 2900, nowMs: 210}), false, 'the same, 110 ms later');
		assert.equal(states({server: server({startedAtMs: 8}), warmupLeftMs: 6000, nowMs: 300}), true, 'of a start whose entry is not known yet');
		assert.equal(states({server: {...server(), name: two}}), false, 'of a server that is not registered');
	});

	it('considers the servers of a failure domain warming up after the end of its evacuation', () => {
		const table = new ServerTable();
		table.write({server: server(), nowMs: 0});
		table.evacuate(north);
		table.endEvacuation({failureDomain: north, nowMs: 5000});
		assert.ok(table.findUsable(one)!.coldUntilMs > 5000);
	});

	it('changes the generation only when the usable servers may have changed', () => {
		const table = new ServerTable();
		table.write({server: server(), nowMs: 0});
		const {generation} = table;
		table.write({server: server({heartbeat: 6, warmupLeftMs: 10}), nowMs: 0});
		assert.equal(table.generation, generation);
		table.write({server: server({heartbeat: 7, state: 'draining'}), nowMs: 0});
		assert.notEqual(table.generation, generation);
	});
});
