/** Guards against odd writes that cost other servers their entries, or end the view. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {LiveView} from '@pomelopick/calls.live';
import type {ViewChange} from '@pomelopick/calls.live';
import type {StoreChange, StoredValue} from '@pomelopick/platform.store';
import {decodeRouteSet, decodeServer, readSubject} from '@pomelopick/platform.wire';
import type {BackendServerName} from '@pomelopick/core.types';
import {entry} from './fixture.js';

const RUNS = 500;
const BROKEN_PREFIX = 'broken/';
const encode = (text: string): Uint8Array => new TextEncoder().encode(text);
const soundKeys = ['servers/a', 'servers/b', 'servers/c'];

function createView(): {readonly view: LiveView; readonly reported: ViewChange[]} {
	const reported: ViewChange[] = [];
	const view = new LiveView({
		format: {readSubject, decodeRouteSet, decodeServer},
		onChange(change) {
			reported.push(change);
		},
		onRoutes() {/* Not used. */},
		recordReaders: [{
			prefix: BROKEN_PREFIX, write({key}) {
				throw new Error(`invariant broken by ${key}`);
			}, remove(key) {
				throw new Error(`invariant broken by ${key}`);
			},
		}],
		onServerLost() {/* Not used. */},
	});
	return {view, reported};
}

interface Operation {
	readonly kind: 'sound' | 'odd' | 'removal' | 'snapshot';
	readonly key: string;
	readonly bytes: Uint8Array;
}

const soundOperation: fc.Arbitrary<Operation> = fc.record({
	kind: fc.constant('sound' as const),
	key: fc.constantFrom(...soundKeys),
	bytes: fc.record({
		sequence: fc.nat(9), born: fc.constantFrom(1000, 2000), state: fc.constantFrom('ready', 'draining'), slots: fc.integer({min: 1, max: 8}), zone: fc.constantFrom('north-a', 'north-b'),
	}).map(changes => encode(JSON.stringify(entry(changes)))),
});
const oddValue = fc.oneof(fc.uint8Array(), fc.json().map(text => encode(text)), fc.dictionary(fc.constantFrom('service', 'address', 'zone', 'slots', 'state', 'sequence'), fc.constantFrom('', null, -1, 1.5, [], 'fe80::1%lo:80'), {minKeys: 1, maxKeys: 3}).map(changes => encode(JSON.stringify(entry(changes)))));
const oddKey = fc.oneof(
	fc.constantFrom('servers/', 'servers/a/b', 'servers/__proto__', 'servers/\uD800', '', 'op/other', 'pomelopick/instances/', 'pomelopick/instances/a', `${BROKEN_PREFIX}a`, ...soundKeys),
	fc.string({unit: 'binary'}).map(id => `servers/${id}`),
	fc.string({unit: 'binary'}),
).filter(key => !key.startsWith('op/evacuate/'));
const operation: fc.Arbitrary<Operation> = fc.oneof(
	soundOperation,
	soundOperation,
	fc.record({kind: fc.constant('odd' as const), key: oddKey, bytes: oddValue}),
	fc.record({kind: fc.constant('removal' as const), key: oddKey, bytes: fc.constant(new Uint8Array())}),
	fc.constant({kind: 'snapshot' as const, key: '', bytes: new Uint8Array()}),
);

const isServer = ({key, value}: StoredValue): boolean => {
	const subject = readSubject(key);
	return subject?.kind === 'server' && decodeServer({name: subject.server, bytes: value}).isRight();
};

/** Returns the removal of a key whose write names no usable server, and any other change as it is. */
function toSound(change: StoreChange): StoreChange {
	return change.kind === 'written' && !isServer(change.value) ? {kind: 'removed', key: change.value.key, modifyIndex: change.value.modifyIndex} : change;
}

/** Applies all operations to one view, and to another one only the writes of usable servers; an odd write there is a removal. */
function play(batches: ReadonlyArray<readonly Operation[]>): {readonly whole: LiveView; readonly sound: LiveView; readonly reported: readonly ViewChange[]} {
	const {view: whole, reported} = createView();
	const {view: sound} = createView();
	const stored = new Map<string, StoredValue>();
	let index = 0;
	const times = {retainedUntilMs: undefined, nowMs: 0};
	for (const batch of batches) {
		const changes: StoreChange[] = [];
		for (const {kind, key, bytes} of batch) {
			index += 1;
			if (kind === 'snapshot') {
				continue;
			}

			const value = {key, value: bytes, modifyIndex: index};
			changes.push(kind === 'removal' ? {kind: 'removed', key, modifyIndex: index} : {kind: 'written', value});
			stored.delete(key);
			if (kind !== 'removal') {
				stored.set(key, value);
			}
		}

		whole.apply({changes, ...times});
		sound.apply({changes: changes.map(change => toSound(change)), ...times});
		if (batch.some(({kind}) => kind === 'snapshot')) {
			const values = [...stored.values()];
			whole.replace({
				prefix: '', values, hasReturned: false, ...times,
			});
			sound.replace({
				prefix: '', values: values.filter(value => isServer(value)), hasReturned: false, ...times,
			});
		}
	}

	return {whole, sound, reported};
}

const listServers = ({servers}: LiveView): ReadonlyArray<readonly [name: BackendServerName, text: string]> => servers.listEntries()
	.map(({server}) => [server.name, JSON.stringify(server)] as const).sort(([left], [right]) => left < right ? -1 : 1);

describe('a view of the store after odd writes', () => {
	it('has the well-formed servers as if the odd ones had not been written', () => {
		fc.assert(fc.property(fc.array(fc.array(operation, {maxLength: 8}), {maxLength: 8}), batches => {
			const {whole, sound} = play(batches);
			assert.deepEqual(listServers(whole), listServers(sound));
		}), {numRuns: RUNS});
	});

	it('reports a broken invariant with its key and applies the changes around it', () => {
		const written = (key: string, bytes: Uint8Array): Operation => ({kind: 'sound', key, bytes});
		const sound = encode(JSON.stringify(entry()));
		const {whole, reported} = play([[written('servers/a', sound), written(`${BROKEN_PREFIX}x`, sound), written('servers/b', sound)]]);
		assert.deepEqual(listServers(whole).map(([name]) => String(name)), ['a', 'b']);
		assert.deepEqual(reported.filter(({event}) => event === 'change-not-applied').map(({subject}) => subject), [`${BROKEN_PREFIX}x`]);
	});
});
