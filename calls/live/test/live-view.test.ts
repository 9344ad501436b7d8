import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {OrganisationName} from '@pomelopick/core.types';
import {
	entry, routes, startFixture, until,
} from './fixture.js';
import type {Fixture} from './fixture.js';

describe('a view that follows the store', () => {
	let fixture: Fixture;
	beforeEach(async () => {
		fixture = await startFixture();
		fixture.write('op/config', routes('00000005'));
		fixture.write('servers/one', entry());
		fixture.write('servers/two', entry({sequence: 1}));
		await until(() => fixture.view.routeSet !== undefined && fixture.usable().length === 2);
	});
	afterEach(async () => {
		await fixture.stop();
	});

	const changes: ReadonlyArray<{name: string; act: (fixture: Fixture) => void; isApplied: (fixture: Fixture) => boolean}> = [
		{
			name: 'activates a newer version', act({write}) {
				write('op/config', routes('0000000b'));
			}, isApplied: ({view}) => view.routeSet?.version === 11,
		},
		{
			name: 'stops using a server that is leaving', act({write}) {
				write('servers/one', entry({state: 'draining', sequence: 2}));
			}, isApplied: ({usable}) => usable().join(',') === 'two',
		},
		{
			name: 'stops using a server whose entry is removed', act({platform}) {
				platform.keyValues.delete({key: 'servers/one'});
			}, isApplied: ({usable}) => usable().join(',') === 'two',
		},
		{
			name: 'stops using the servers of an evacuated failure domain', act({write}) {
				write('op/evacuate/north-a', {});
			}, isApplied: ({usable}) => usable().length === 0,
		},
		{
			name: 'detects keys that were removed during a gap in the history', act({platform}) {
				platform.keyValues.delete({key: 'servers/one'});
				platform.keyValues.compactHistory();
			}, isApplied: ({usable}) => usable().join(',') === 'two',
		},
		{
			name: 'adds another instance', act({write}) {
				write('pomelopick/instances/b', {
					id: 'b', failureDomain: 'north-b', region: 'north', callers: {address: '10.0.0.2', port: 80},
				});
			}, isApplied: ({view}) => view.instances.list().some(({id}) => String(id) === 'b'),
		},
	];
	const checkChange = async ({act, isApplied}: typeof changes[number]): Promise<void> => {
		act(fixture);
		await until(() => isApplied(fixture));
	};

	for (const change of changes) {
		it(change.name, async () => checkChange(change));
	}

	const refused: ReadonlyArray<{name: string; key: string; value: unknown; event: string}> = [
		{
			name: 'a version lower than the active one', key: 'op/config', value: routes('00000004'), event: 'routes-refused',
		},
		{
			name: 'a truncated configuration', key: 'op/config', value: JSON.stringify(routes('0000000c')).slice(0, 100), event: 'routes-refused',
		},
		{
			name: 'an incomplete server entry', key: 'servers/three', value: {service: 'ledger'}, event: 'server-refused',
		},
		{
			name: 'a malformed instance record', key: 'pomelopick/instances/c', value: 'not a record', event: 'instance-refused',
		},
	];
	const checkRefusal = async ({key, value, event}: typeof refused[number]): Promise<void> => {
		const {write, reported, view, usable} = fixture;
		write(key, value);
		await until(() => reported.some(change => change.event === event));
		assert.equal(view.routeSet?.version, 5);
		assert.deepEqual(usable(), ['one', 'two']);
		write('op/config', routes('0000000d'));
		await until(() => view.routeSet?.version === 13);
	};

	for (const refusal of refused) {
		it(`reports that it refuses ${refusal.name}, and continues`, async () => checkRefusal(refusal));
	}

	it('reports what it reads in part, and activates the rest', async () => {
		const columns = ['name', 'api-keys', 'rate-per-s'];
		fixture.write('op/config', {...routes('0000000b'), tenants: {columns, rows: [['first', ['key-1'], -1]]}});
		await until(() => fixture.view.routeSet?.version === 11);
		const change = fixture.reported.find(({event}) => event === 'routes-read-in-part');
		assert.deepEqual([change?.subject, change?.reason], ['11', 'read-in-part']);
		assert.match(change!.detail, /^tenants\[0\]\.rate-per-s: /u);
	});

	it('keeps the organisations of the version before when a version is ambiguous', async () => {
		const columns = ['name', 'api-keys'];
		fixture.write('op/config', {...routes('0000000b'), tenants: {columns, rows: [['first', ['key-1']]]}});
		await until(() => fixture.view.routeSet?.version === 11);
		fixture.write('op/config', {...routes('0000000c'), tenants: {columns, rows: [['first', ['key-1']], ['second', ['key-1']]]}});
		await until(() => fixture.reported.some(({event}) => event === 'routes-refused'));
		assert.deepEqual([fixture.view.routeSet?.version, fixture.view.organisations?.findByName('first' as OrganisationName)?.keys], [11, ['key-1']]);
	});

	it('keeps its state while the store is unavailable, and retains expired entries for a while after it is available again', async () => {
		fixture.platform.faults.outage = true;
		await until(() => fixture.feed.isFailing);
		fixture.platform.keyValues.delete({key: 'servers/one'});
		fixture.platform.keyValues.delete({key: 'servers/two'});
		assert.deepEqual(fixture.usable(), ['one', 'two']);
		fixture.platform.faults.outage = false;
		await until(() => fixture.reported.filter(({event}) => event === 'server-held').length === 2);
		assert.deepEqual(fixture.usable(), ['one', 'two']);
		fixture.write('servers/two', entry({sequence: 9}));
		await until(() => fixture.reported.some(({event, subject}) => event === 'server-gone' && subject === 'one'));
		assert.deepEqual(fixture.usable(), ['two']);
	});

	it('does not retain entries when only a few disappeared while the store was unavailable', async () => {
		fixture.write('servers/three', entry());
		await until(() => fixture.usable().length === 3);
		fixture.platform.faults.outage = true;
		await until(() => fixture.feed.isFailing);
		fixture.platform.keyValues.delete({key: 'servers/one'});
		fixture.platform.faults.outage = false;
		await until(() => fixture.reported.some(({event, subject}) => event === 'server-gone' && subject === 'one'));
		assert.equal(fixture.reported.some(({event}) => event === 'server-held'), false);
	});

	it('does not retain a server that is removed after the store became available again', async () => {
		fixture.platform.faults.outage = true;
		await until(() => fixture.feed.isFailing);
		fixture.platform.faults.outage = false;
		await until(() => !fixture.feed.isFailing);
		await sleep(600);
		fixture.platform.keyValues.delete({key: 'servers/one'});
		await until(() => fixture.reported.some(({event, subject}) => event === 'server-gone' && subject === 'one'));
		assert.equal(fixture.reported.some(({event}) => event === 'server-held'), false);
	});

	it('detects that its connections no longer respond', async () => {
		fixture.platform.faults.silent = true;
		await until(() => fixture.feed.isFailing);
		fixture.platform.faults.silent = false;
		fixture.write('servers/one', entry({state: 'draining', sequence: 2}));
		await until(() => fixture.usable().join(',') === 'two');
	});
});
