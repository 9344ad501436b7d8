import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {InstanceId} from '@pomelopick/core.types';
import {Observer} from '@pomelopick/peer.membership';
import type {HeartbeatOutcome} from '@pomelopick/peer.membership';

/** Heartbeat outcomes by subject: `.` answered, `x` lost, `r` refused. */
type Heartbeats = Readonly<Record<string, string>>;

const outcomes: Readonly<Record<string, HeartbeatOutcome>> = {'.': 'answered', x: 'lost', r: 'refused'};

const cases: ReadonlyArray<{name: string; heartbeats: Heartbeats; expected: Readonly<Record<string, boolean>>}> = [
	{name: 'two consecutive lost heartbeats do not make a subject unreachable', heartbeats: {a: '.xx', b: '...'}, expected: {}},
	{name: 'three consecutive lost heartbeats do', heartbeats: {a: '.xxx', b: '....'}, expected: {a: true}},
	{name: 'a response in between restarts the count', heartbeats: {a: 'xx.xx', b: '.....'}, expected: {}},
	{name: 'two consecutive refused connections do', heartbeats: {a: 'rr', b: '..'}, expected: {a: true}},
	{name: 'lost heartbeats do not count when no subject responds', heartbeats: {a: 'xxx', b: 'xxx'}, expected: {}},
	{name: 'refused connections count also when no subject responds', heartbeats: {a: 'rrr', b: 'xxx'}, expected: {a: true}},
	{name: 'a single subject counts by itself', heartbeats: {a: 'xxx'}, expected: {a: true}},
];

const id = (text: string): InstanceId => text as InstanceId;

function record({observer, heartbeats}: {readonly observer: Observer; readonly heartbeats: Heartbeats}): void {
	for (const [subject, text] of Object.entries(heartbeats)) {
		for (const sign of text) {
			observer.record({subject: id(subject), outcome: outcomes[sign]!});
		}
	}
}

const unreachable = (observer: Observer): Record<string, boolean> => Object.fromEntries([...observer.takeChanges()].map(([subject, finding]) => [subject, finding.unreachable]));

describe('Observer', () => {
	for (const {name, heartbeats, expected} of cases) {
		it(name, () => {
			const observer = new Observer();
			record({observer, heartbeats});
			assert.deepEqual(unreachable(observer), expected);
		});
	}

	it('reports a finding once, and retracts it after a response', () => {
		const observer = new Observer();
		record({observer, heartbeats: {a: 'xxx', b: '...'}});
		assert.deepEqual(unreachable(observer), {a: true});
		assert.deepEqual(unreachable(observer), {});
		record({observer, heartbeats: {a: '.'}});
		assert.deepEqual(unreachable(observer), {a: false});
	});

	it('retracts a finding when it no longer observes the subject', () => {
		const observer = new Observer();
		record({observer, heartbeats: {a: 'xxx', b: '...'}});
		unreachable(observer);
		observer.keepOnly({subjects: new Set([id('b')]), isKnown: () => true});
		assert.deepEqual(unreachable(observer), {a: false});
	});

	it('does not retract a finding when the subject is no longer known', () => {
		const observer = new Observer();
		record({observer, heartbeats: {a: 'xxx', b: '...'}});
		unreachable(observer);
		observer.keepOnly({subjects: new Set([id('b')]), isKnown: () => false});
		assert.deepEqual(unreachable(observer), {});
	});

	it('needs more lost heartbeats after a retraction, until the subject has responded for long enough', () => {
		const observer = new Observer();
		record({observer, heartbeats: {a: 'xxx', b: '...'}});
		unreachable(observer);
		record({observer, heartbeats: {a: '.'}});
		unreachable(observer);
		record({observer, heartbeats: {a: 'xxxxxxx'}});
		assert.deepEqual(unreachable(observer), {});
		record({observer, heartbeats: {a: 'x'}});
		assert.deepEqual(unreachable(observer), {a: true});
		record({observer, heartbeats: {a: '.'.repeat(30)}});
		assert.deepEqual(unreachable(observer), {a: false});
		record({observer, heartbeats: {a: `${'.'.repeat(30)}xxx`}});
		assert.deepEqual(unreachable(observer), {a: true});
	});

	it('forgets failures after this process was stalled', () => {
		const observer = new Observer();
		record({observer, heartbeats: {a: 'xx', b: '..'}});
		observer.discardFailures();
		record({observer, heartbeats: {a: 'x', b: '.'}});
		assert.deepEqual(unreachable(observer), {});
	});
});
