import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {checkNotices} from '@pomelopick/testing.gateway-soak';
import type {TracedCall, Disturbance, Violation} from '@pomelopick/testing.gateway-soak';
import type {ArrivalRecord} from '@pomelopick/testing.gateway-fleet';

/** A call and what the server announced when it arrived. */
interface TestCall {
	readonly id: string;
	readonly instance?: string;
	readonly sentAtMs: number;
	/** How many times the server had started to leave, including this time. Undefined if it was not leaving. */
	readonly leaving?: number;
	/** Pause that the server asked for when it rejected the call, in milliseconds. */
	readonly pauseMs?: number;
}

const DELAY_MS = 10;

const callOf = ({id, instance = 'one', sentAtMs, leaving}: TestCall): TracedCall => ({
	method: 'GET',
	path: '/read/x',
	body: '',
	instance,
	sentAtMs,
	answeredAtMs: sentAtMs + (2 * DELAY_MS),
	timeLeftMs: 2000,
	answer: {
		requestId: id, status: 200, text: '', headers: {'x-server-stamp': `server.${id}`, ...(leaving !== undefined && {'server-leaving': '1'})},
	},
});
const arrivalOf = ({id, sentAtMs, leaving, pauseMs}: TestCall): ArrivalRecord => ({
	requestId: id, server: 'server', atMs: sentAtMs + DELAY_MS, ...(leaving !== undefined && {leaving}), ...(pauseMs !== undefined && {pauseMs}),
});
const inPause = (count: number, instance?: string): readonly TestCall[] => Array.from({length: count}, (_, index) => ({id: `late-${index}`, instance, sentAtMs: 1000 + index}));
const disturb = (fault: string, fromMs: number, subject = 'one'): Disturbance => ({
	subject, fault, fromMs, toMs: fromMs + 50,
});

const cases: ReadonlyArray<{name: string; calls: readonly TestCall[]; disturbances?: readonly Disturbance[]; expected: ReadonlyArray<Violation['kind']>}> = [
	{name: 'nothing without an announcement', calls: [{id: 'a', sentAtMs: 0}, {id: 'b', sentAtMs: 9000}], expected: []},
	{name: 'a call sent too late to a leaving server', calls: [{id: 'a', sentAtMs: 0, leaving: 1}, {id: 'b', sentAtMs: 2100, leaving: 1}], expected: ['sent-to-leaving']},
	{name: 'nothing in a call sent in time', calls: [{id: 'a', sentAtMs: 0, leaving: 1}, {id: 'b', sentAtMs: 2000, leaving: 1}], expected: []},
	{name: 'nothing in a call to the next start of the server', calls: [{id: 'a', sentAtMs: 0, leaving: 1}, {id: 'b', sentAtMs: 4000, leaving: 2}], expected: []},
	{
		name: 'nothing in a call of a gateway that did not receive the announcement', calls: [{id: 'a', sentAtMs: 0, leaving: 1}, {
			id: 'b', instance: 'two', sentAtMs: 4000, leaving: 1,
		}], expected: [],
	},
	{
		name: 'nothing in a call of a gateway killed after the announcement', calls: [{id: 'a', sentAtMs: 0, leaving: 1}, {id: 'b', sentAtMs: 4000, leaving: 1}], disturbances: [disturb('kill', 500)], expected: [],
	},
	{
		name: 'a call of a gateway killed before the announcement', calls: [{id: 'a', sentAtMs: 1000, leaving: 1}, {id: 'b', sentAtMs: 4000, leaving: 1}], disturbances: [disturb('kill', 500)], expected: ['sent-to-leaving'],
	},
	{
		name: 'a call of a gateway that was cut off from the store', calls: [{id: 'a', sentAtMs: 0, leaving: 1}, {id: 'b', sentAtMs: 4000, leaving: 1}], disturbances: [disturb('store-outage', 500)], expected: ['sent-to-leaving'],
	},
	{name: 'three calls in a pause', calls: [{id: 'a', sentAtMs: 0, pauseMs: 3000}, ...inPause(3)], expected: ['sent-in-pause']},
	{name: 'nothing in two calls in a pause', calls: [{id: 'a', sentAtMs: 0, pauseMs: 3000}, ...inPause(2)], expected: []},
	{name: 'nothing in calls right after a pause was asked for', calls: [{id: 'a', sentAtMs: 500, pauseMs: 1000}, ...inPause(3)], expected: []},
	{name: 'nothing in calls after a pause', calls: [{id: 'a', sentAtMs: 0, pauseMs: 900}, ...inPause(3)], expected: []},
	{name: 'nothing in calls of another gateway in a pause', calls: [{id: 'a', sentAtMs: 0, pauseMs: 3000}, ...inPause(3, 'two')], expected: []},
	{
		name: 'three calls in a pause by a gateway that ended by itself', calls: [{id: 'a', sentAtMs: 0, pauseMs: 3000}, ...inPause(3)], disturbances: [disturb('own-end', 500)], expected: ['sent-in-pause'],
	},
	{
		name: 'nothing in calls delayed on the path to the server', calls: [{id: 'a', sentAtMs: 0, pauseMs: 3000}, ...inPause(3)], disturbances: [disturb('path-delayed', 200, 'server')], expected: [],
	},
];

describe('checkNotices', () => {
	for (const {name, calls, disturbances = [], expected} of cases) {
		it(`finds ${name}`, () => {
			const found = checkNotices({calls: calls.map(testCall => callOf(testCall)), arrivals: calls.map(testCall => arrivalOf(testCall)), disturbances});
			assert.deepEqual(found.map(({kind}) => kind), expected);
		});
	}
});
