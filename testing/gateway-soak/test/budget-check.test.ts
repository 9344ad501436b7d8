import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {checkAttempts, checkTimes} from '@pomelopick/testing.gateway-soak';
import type {CheckBudgetOptions, Disturbance} from '@pomelopick/testing.gateway-soak';

/** An arrival of a request at a server, in milliseconds after the request was sent. */
interface TestArrival {
	readonly server: string;
	readonly afterMs: number;
	/** Time until the deadline that the server was told, in milliseconds. */
	readonly timeLeftMs?: number;
}

const SENT_AT_MS = 10_000;
const TIME_LEFT_MS = 2000;
const MAX_ATTEMPTS = 2;

/** Fabricates requests that all arrived in the same way. */
function fabricate({requests, arrivals, disturbances = []}: {readonly requests: number; readonly arrivals: readonly TestArrival[]; readonly disturbances?: readonly Disturbance[]}): CheckBudgetOptions {
	const ids = Array.from({length: requests}, (_, number) => `${arrivals.length}-${arrivals[0]!.afterMs}-${number}`);
	const list = ids.flatMap(requestId => arrivals.map(({server, afterMs, timeLeftMs}) => ({
		requestId, server, atMs: SENT_AT_MS + afterMs, timeLeftMs,
	})));
	return {
		calls: ids.map(requestId => ({
			method: 'GET', path: '/', body: '', instance: 'gateway', sentAtMs: SENT_AT_MS, answeredAtMs: SENT_AT_MS + TIME_LEFT_MS, timeLeftMs: TIME_LEFT_MS, answer: {
				requestId, status: 200, text: '', headers: {},
			},
		})),
		arrivals: list,
		executions: list.map(arrival => ({
			...arrival, method: 'GET', path: '/', body: '', expectedServer: undefined, timeLeftMs: arrival.timeLeftMs ?? Number.NaN, play: 'whole', wasCancelled: false,
		})),
		disturbances,
		maxAttempts: MAX_ATTEMPTS,
	};
}

const merge = (one: CheckBudgetOptions, other: CheckBudgetOptions): CheckBudgetOptions => ({
	...one, calls: [...one.calls, ...other.calls], arrivals: [...one.arrivals, ...other.arrivals], executions: [...one.executions, ...other.executions],
});
const disturb = (subject: string, fault: string, fromMs = SENT_AT_MS): Disturbance => ({
	subject, fault, fromMs, toMs: fromMs + 100,
});

const threeServers = ['a', 'b', 'c'].map((server, number): TestArrival => ({server, afterMs: number * 10, timeLeftMs: 1900}));
const attemptCases: ReadonlyArray<{name: string; isViolated: boolean; history: CheckBudgetOptions}> = [
	{name: 'four requests that ran on three servers', isViolated: true, history: fabricate({requests: 4, arrivals: threeServers})},
	{name: 'three requests that ran on three servers', isViolated: false, history: fabricate({requests: 3, arrivals: threeServers})},
	{name: 'requests that ran on two servers', isViolated: false, history: fabricate({requests: 40, arrivals: threeServers.slice(1)})},
	{name: 'requests that ran three times on two servers', isViolated: false, history: fabricate({requests: 40, arrivals: [...threeServers.slice(1), {server: 'b', afterMs: 40}]})},
	{name: 'requests of whose servers one was cut off meanwhile', isViolated: false, history: fabricate({requests: 4, arrivals: threeServers, disturbances: [disturb('a', 'path-cut', SENT_AT_MS - 50)]})},
	{name: 'requests of whose servers one was cut off before', isViolated: true, history: fabricate({requests: 4, arrivals: threeServers, disturbances: [disturb('a', 'path-cut', SENT_AT_MS - 200)]})},
];

const tooLong = {requests: 21, arrivals: [{server: 'a', afterMs: 10, timeLeftMs: 2501}]};
const lateAgain = (timeLeftMs: number, afterMs = 800): readonly TestArrival[] => [{server: 'a', afterMs: 10, timeLeftMs: 1980}, {server: 'b', afterMs, timeLeftMs}];
const timeCases: ReadonlyArray<{name: string; isViolated: boolean; history: CheckBudgetOptions}> = [
	{name: '21 requests with over half a second too much', isViolated: true, history: fabricate(tooLong)},
	{name: '20 requests with over half a second too much', isViolated: false, history: fabricate({...tooLong, requests: 20})},
	{name: 'requests with half a second too much', isViolated: false, history: fabricate({requests: 40, arrivals: [{server: 'a', afterMs: 10, timeLeftMs: 2500}]})},
	{name: '21 requests without a time', isViolated: true, history: fabricate({requests: 21, arrivals: [{server: 'a', afterMs: 10}]})},
	{name: '21 requests sent once more late with the first time', isViolated: true, history: fabricate({requests: 21, arrivals: lateAgain(1980)})},
	{name: 'requests sent once more late with what is left', isViolated: false, history: fabricate({requests: 40, arrivals: lateAgain(1200)})},
	{name: 'requests sent once more soon with the first time', isViolated: false, history: fabricate({requests: 40, arrivals: lateAgain(1980, 500)})},
	{
		name: '21 of 104 requests sent once more late', isViolated: true, history: merge(fabricate({requests: 83, arrivals: [{server: 'a', afterMs: 11, timeLeftMs: 1980}, {server: 'b', afterMs: 800, timeLeftMs: 1200}]}), fabricate({requests: 21, arrivals: lateAgain(1980)})),
	},
	{
		name: '21 of 105 requests sent once more late', isViolated: false, history: merge(fabricate({requests: 84, arrivals: [{server: 'a', afterMs: 11, timeLeftMs: 1980}, {server: 'b', afterMs: 800, timeLeftMs: 1200}]}), fabricate({requests: 21, arrivals: lateAgain(1980)})),
	},
	{name: 'requests of a gateway that was killed less than three seconds before', isViolated: false, history: fabricate({...tooLong, disturbances: [disturb('gateway', 'kill', SENT_AT_MS - 2900)]})},
	{name: 'requests of a gateway that was killed more than three seconds before', isViolated: true, history: fabricate({...tooLong, disturbances: [disturb('gateway', 'kill', SENT_AT_MS - 3200)]})},
	{name: 'requests of a gateway that ended by itself', isViolated: true, history: fabricate({...tooLong, disturbances: [disturb('gateway', 'own-end', SENT_AT_MS - 100)]})},
	{name: 'requests to a server whose path was delayed', isViolated: false, history: fabricate({requests: 21, arrivals: lateAgain(1980), disturbances: [disturb('b', 'path-delayed', SENT_AT_MS)]})},
	{name: 'requests while the store was away', isViolated: true, history: fabricate({...tooLong, disturbances: [disturb('gateway', 'store-outage')]})},
];

describe('checkAttempts', () => {
	for (const {name, isViolated, history} of attemptCases) {
		it(`${isViolated ? 'reports' : 'accepts'} ${name}`, () => {
			assert.deepEqual(checkAttempts(history).map(({kind}) => kind), isViolated ? ['max-attempts'] : []);
		});
	}
});

describe('checkTimes', () => {
	for (const {name, isViolated, history} of timeCases) {
		it(`${isViolated ? 'reports' : 'accepts'} ${name}`, () => {
			assert.deepEqual(checkTimes(history).map(({kind}) => kind), isViolated ? ['time-handed'] : []);
		});
	}
});
