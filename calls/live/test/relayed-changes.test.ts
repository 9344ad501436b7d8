import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {ChangeHistory, LiveView} from '@pomelopick/calls.live';
import {decodeRouteSet, decodeServer, readSubject} from '@pomelopick/platform.wire';
import type {StoreChange} from '@pomelopick/platform.store';
import {entry, routes} from './fixture.js';

/** Makes a value so large that only the last value of its key is forwarded. */
const LARGE_TEXT = 'x'.repeat(5000);

const createView = (): LiveView => new LiveView({
	format: {readSubject, decodeRouteSet, decodeServer}, onChange() {/* The views are compared. */}, onRoutes() {/* Likewise. */}, recordReaders: [], onServerLost() {/* Likewise. */},
});

const written = ({key, value, modifyIndex}: {readonly key: string; readonly value: unknown; readonly modifyIndex: number}): StoreChange => ({
	kind: 'written', value: {key, value: new TextEncoder().encode(typeof value === 'string' ? value : JSON.stringify(value)), modifyIndex},
});
const removed = ({key, modifyIndex}: {readonly key: string; readonly modifyIndex: number}): StoreChange => ({kind: 'removed', key, modifyIndex});

/** The parts of a view that placement uses. */
function describeView(view: LiveView): unknown {
	return {
		version: view.routeSet?.version,
		evacuated: [...view.servers.evacuated],
		servers: [...view.servers.names].toSorted().map(name => {
			const known = view.servers.findEntry(name)!;
			return {...known, server: {...known.server, heartbeat: undefined, warmupLeftMs: undefined}};
		}),
	};
}

/** A random write or removal of a key. */
interface RandomChange {
	readonly key: string;
	/** Entry of a server; undefined: the key is removed, or, if it is the key of the configuration, written again. */
	readonly server?: {readonly state: string; readonly isNewStart: boolean; readonly warmupSeconds: number};
	readonly isEvacuated?: boolean;
}

function toChange({randomChange: {key, server, isEvacuated}, modifyIndex}: {readonly randomChange: RandomChange; readonly modifyIndex: number}): StoreChange {
	if (server) {
		const {state, isNewStart, warmupSeconds} = server;
		return written({
			key, modifyIndex, value: entry({
				state, sequence: modifyIndex, born: isNewStart ? modifyIndex : 0, 'warmup-left-s': warmupSeconds,
			}),
		});
	}

	if (key === 'op/config') {
		return written({key, value: {...routes(modifyIndex.toString(16).padStart(8, '0')), unknown: LARGE_TEXT}, modifyIndex});
	}

	return isEvacuated ? written({key, value: {}, modifyIndex}) : removed({key, modifyIndex});
}

function toChanges({randomChanges, after}: {readonly randomChanges: readonly RandomChange[]; readonly after: number}): readonly StoreChange[] {
	return randomChanges.map((randomChange, position) => toChange({randomChange, modifyIndex: after + position + 1}));
}

const cases: ReadonlyArray<{name: string; values: readonly unknown[]; forwarded: number}> = [
	{name: 'the first entry of a server', values: [entry({sequence: 1})], forwarded: 1},
	{name: 'no plain heartbeat', values: [entry({sequence: 1}), entry({sequence: 2}), entry({sequence: 3})], forwarded: 1},
	{name: 'that a server is leaving', values: [entry({sequence: 1}), entry({sequence: 2, state: 'draining'})], forwarded: 2},
	{name: 'each heartbeat of a server that is warming up', values: [entry({sequence: 1, 'warmup-left-s': 3}), entry({sequence: 2, 'warmup-left-s': 2})], forwarded: 2},
	{name: 'a restart', values: [entry({sequence: 5, born: 1}), entry({sequence: 1, born: 2})], forwarded: 2},
	{name: 'no outdated entry', values: [entry({sequence: 5, born: 1}), entry({sequence: 4, born: 1, state: 'draining'})], forwarded: 1},
	{name: 'a malformed entry', values: [entry({sequence: 1}), 'x'], forwarded: 2},
];

describe('the changes that an instance forwards', () => {
	for (const {name, values, forwarded} of cases) {
		it(`include ${name}`, () => {
			const changes = values.map((value, index) => written({key: 'servers/one', value, modifyIndex: index + 1}));
			assert.equal(createView().apply({changes, retainedUntilMs: undefined, nowMs: 0}).length, forwarded);
		});
	}

	it('lead to the same view, however late they are requested (seed 21)', () => {
		const key = fc.constantFrom('servers/one', 'servers/two', 'servers/three');
		const server = fc.record({state: fc.constantFrom('ready', 'ready', 'draining'), isNewStart: fc.boolean(), warmupSeconds: fc.constantFrom(0, 0, 2)});
		const change: fc.Arbitrary<RandomChange> = fc.oneof(
			{weight: 6, arbitrary: fc.record({key, server})},
			{weight: 2, arbitrary: fc.record({key})},
			{weight: 1, arbitrary: fc.record({key: fc.constant('op/evacuate/north-a'), isEvacuated: fc.boolean()})},
			{weight: 2, arbitrary: fc.record({key: fc.constant('op/config')})},
		);
		const batches = fc.array(fc.record({changes: fc.array(change, {maxLength: 6}), isAsked: fc.boolean()}), {minLength: 1, maxLength: 20});
		fc.assert(fc.property(batches, list => {
			const upstream = createView();
			const follower = createView();
			const history = new ChangeHistory({index: 0});
			let index = 0;
			let known = 0;
			for (const [position, {changes, isAsked}] of list.entries()) {
				const batch = toChanges({randomChanges: changes, after: index});
				index += changes.length;
				history.append({changes: upstream.apply({changes: batch, retainedUntilMs: undefined, nowMs: 0}), index});
				if (isAsked || position === list.length - 1) {
					follower.apply({changes: history.after(known)!, retainedUntilMs: undefined, nowMs: 0});
					known = history.index;
				}
			}

			assert.deepEqual(describeView(follower), describeView(upstream));
		}), {seed: 21, numRuns: 500});
	});
});
