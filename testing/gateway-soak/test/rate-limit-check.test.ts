import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {checkRateLimits} from '@pomelopick/testing.gateway-soak';
import type {CheckRateLimitsOptions, TracedCall} from '@pomelopick/testing.gateway-soak';
import type {ArrivalRecord} from '@pomelopick/testing.gateway-fleet';

/** A request at a server, and how it was answered to the caller 5 ms later. */
interface Sent {
	readonly atMs: number;
	readonly limit: string | undefined;
	readonly instance?: string;
	readonly isRelayed?: boolean;
}

const every = (count: number, {fromMs, everyMs, limit, instance, isRelayed}: {readonly fromMs: number; readonly everyMs: number} & Omit<Sent, 'atMs'>): readonly Sent[] => Array.from({length: count}, (_, number) => ({
	atMs: fromMs + (number * everyMs), limit, instance, isRelayed,
}));

function toOptions({sent, disturbances = []}: {readonly sent: readonly Sent[]; readonly disturbances?: CheckRateLimitsOptions['disturbances']}): CheckRateLimitsOptions {
	const arrivals = sent.map(({atMs, limit}, number): ArrivalRecord => ({
		requestId: String(number), server: 'server', atMs, ...(limit !== undefined && {rateLimit: limit}),
	}));
	const calls = sent.map(({atMs, limit, instance = 'gateway', isRelayed = true}, number): TracedCall => ({
		method: 'GET', path: '/', body: '', instance, sentAtMs: atMs - 5, answeredAtMs: atMs + 5, timeLeftMs: 2000, answer: {
			requestId: String(number), status: 200, text: '', headers: {'x-server-stamp': `server.${number}`, ...(isRelayed && limit !== undefined && {'server-limit': limit})},
		},
	}));
	return {calls, arrivals, disturbances};
}

const told: Sent = {atMs: 0, limit: '2'};
const cases: ReadonlyArray<{name: string; sent: readonly Sent[]; disturbances?: CheckRateLimitsOptions['disturbances']; isViolated: boolean}> = [
	{
		name: '17 requests in 4 s with a limit of 2', sent: [told, ...every(17, {fromMs: 3500, everyMs: 200, limit: '2'})], isViolated: false,
	},
	{
		name: '18 requests in 4 s with a limit of 2', sent: [told, ...every(18, {fromMs: 3500, everyMs: 200, limit: '2'})], isViolated: true,
	},
	{
		name: '18 requests in 4 s by two gateways that knew', sent: [told, {...told, instance: 'other'}, ...every(9, {fromMs: 3500, everyMs: 400, limit: '2'}), ...every(9, {
			fromMs: 3510, everyMs: 400, limit: '2', instance: 'other',
		})].toSorted((a, b) => a.atMs - b.atMs), isViolated: true,
	},
	{name: 'many requests in the first three seconds', sent: every(29, {fromMs: 0, everyMs: 100, limit: '2'}), isViolated: false},
	{
		name: 'many requests of a gateway that relayed no answer with the limit', sent: [told, ...every(30, {
			fromMs: 3500, everyMs: 100, limit: '2', instance: 'other', isRelayed: false,
		})], isViolated: false,
	},
	{name: 'many requests after the limit ended', sent: [told, ...every(30, {fromMs: 3500, everyMs: 100, limit: undefined})], isViolated: false},
	{
		name: 'many requests of a gateway that was killed', sent: [told, ...every(30, {fromMs: 3500, everyMs: 100, limit: '2'})], disturbances: [{
			subject: 'gateway', fault: 'kill', fromMs: 2000, toMs: 2000,
		}], isViolated: false,
	},
	{
		name: 'many requests of a gateway whose settings were read again', sent: [told, ...every(30, {fromMs: 3500, everyMs: 100, limit: '2'})], disturbances: [{
			subject: 'gateway', fault: 'reload', fromMs: 2000, toMs: 2000,
		}], isViolated: true,
	},
	{
		name: 'many requests before the first limit that can be read',
		sent: [...every(60, {fromMs: 0, everyMs: 100, limit: 'few'}), ...every(4, {fromMs: 6100, everyMs: 100, limit: '2'})],
		isViolated: false,
	},
	{
		name: 'many requests after a limit, of which some cannot be read',
		sent: [told, ...every(15, {fromMs: 3500, everyMs: 100, limit: '2'}), ...every(15, {fromMs: 5000, everyMs: 100, limit: 'few'})],
		isViolated: true,
	},
	{name: 'many requests with a limit that cannot be read', sent: every(60, {fromMs: 0, everyMs: 100, limit: 'few'}), isViolated: false},
	{
		name: 'requests within a limit that fell less than three seconds before',
		sent: [...every(20, {fromMs: 0, everyMs: 200, limit: '12'}), ...every(18, {fromMs: 4000, everyMs: 150, limit: '2'})],
		isViolated: false,
	},
];

describe('the check of rate limits', () => {
	for (const {name, sent, disturbances, isViolated} of cases) {
		it(`${isViolated ? 'reports' : 'accepts'} ${name}`, () => {
			assert.equal(checkRateLimits(toOptions({sent, disturbances})).length > 0, isViolated);
		});
	}
});
