/** Guards against a soak that overlooks what it judges of keys and organisations. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {checkOrganisations} from '@pomelopick/testing.gateway-soak';
import type {Disturbance, Violation} from '@pomelopick/testing.gateway-soak';

const lasting = {
	key: 'lasting', organisation: 'first', fromMs: Number.NEGATIVE_INFINITY, toMs: Number.POSITIVE_INFINITY,
};
const revoked = {
	key: 'revoked', organisation: 'second', fromMs: 0, toMs: 10_000,
};
const call = (key: string | undefined, status = 200) => ({
	method: 'GET' as const, path: '/read/x', body: '', key, instance: 'gateway-0', answer: {
		requestId: 'a', status, text: '', headers: {},
	},
});
const run = (changes: Readonly<Record<string, unknown>>) => ({
	requestId: 'a', server: 'one', method: 'GET', path: '/read/x', body: '', expectedServer: 'one', timeLeftMs: 100, play: 'whole' as const, wasCancelled: false, atMs: 5000, ...changes,
});
const fault = (name: string, fromMs: number, subject = 'gateway-0'): Disturbance => ({
	subject, fault: name, fromMs, toMs: fromMs + 1000,
});

const cases: ReadonlyArray<{name: string; key: string | undefined; status?: number; ran?: ReturnType<typeof run>; disturbances?: readonly Disturbance[]; expected: ReadonlyArray<Violation['kind']>}> = [
	{
		name: 'nothing for a request of its organisation', key: 'lasting', ran: run({organisation: 'first'}), expected: [],
	},
	{
		name: 'nothing for a request without a key', key: undefined, ran: run({credentials: 'Basic a'}), expected: [],
	},
	{
		name: 'another organisation', key: 'lasting', ran: run({organisation: 'second'}), expected: ['wrong-organisation'],
	},
	{
		name: 'no organisation', key: 'lasting', ran: run({}), expected: ['wrong-organisation'],
	},
	{
		name: 'a key at a server', key: 'lasting', ran: run({organisation: 'first', credentials: 'Bearer lasting'}), expected: ['key-passed-on'],
	},
	{
		name: 'a valid key that is refused', key: 'lasting', status: 401, expected: ['valid-key-refused'],
	},
	{
		name: 'nothing for a revoked key that is refused', key: 'revoked', status: 401, expected: [],
	},
	{
		name: 'nothing for a key that was revoked just before', key: 'revoked', ran: run({organisation: 'second', atMs: 12_900}), expected: [],
	},
	{
		name: 'a key that was revoked long before', key: 'revoked', ran: run({organisation: 'second', atMs: 13_100}), expected: ['revoked-key-served'],
	},
	{
		name: 'nothing for a revoked key at an instance that was paused', key: 'revoked', ran: run({organisation: 'second', atMs: 13_100}), disturbances: [fault('pause', 12_000)], expected: [],
	},
	{
		name: 'a revoked key while another instance was paused', key: 'revoked', ran: run({organisation: 'second', atMs: 13_100}), disturbances: [fault('pause', 12_000, 'gateway-1')], expected: ['revoked-key-served'],
	},
	{
		name: 'nothing for a revoked key during an outage of the store', key: 'revoked', ran: run({organisation: 'second', atMs: 13_100}), disturbances: [fault('store-outage', 12_000, 'gateway-1')], expected: [],
	},
	{
		name: 'a revoked key long after an outage of the store', key: 'revoked', ran: run({organisation: 'second', atMs: 19_000}), disturbances: [fault('store-outage', 12_000)], expected: ['revoked-key-served'],
	},
	{
		name: 'nothing for a key that an older copy of the store has again', key: 'revoked', ran: run({organisation: 'second', atMs: 90_000}), disturbances: [fault('store-returns-older', 50_000)], expected: [],
	},
];

describe('checkOrganisations', () => {
	for (const {name, key, status, ran, disturbances = [], expected} of cases) {
		it(`finds ${name}`, () => {
			const violations = checkOrganisations({
				calls: [call(key, status)], executions: ran ? [ran] : [], periods: [lasting, revoked], disturbances,
			});
			assert.deepEqual(violations.map(({kind}) => kind), expected);
		});
	}
});
