import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {Left, Right} from 'purify-ts';
import {ServerNotices, UnsentAttempts} from '@pomelopick/calls.relay';
import {DecisionLog, ServedCounters} from '@pomelopick/core.telemetry';
import {
	LeavingServers, NamedRateLimits, RequestedPauses, ServerTable,
} from '@pomelopick/steering.servers';
import type {BackendServerName, RegisteredServer, ServerLoad} from '@pomelopick/core.types';
import {createServer} from './records.js';

const NOW_MS = 1000;

function createFixture(registered: readonly RegisteredServer[]) {
	const servers = new ServerTable();
	for (const entry of registered) {
		servers.write({server: entry, nowMs: 0});
	}

	const lines: string[] = [];
	const heardLoads: string[] = [];
	const leaving = new LeavingServers();
	const pauses = new RequestedPauses();
	const rateLimits = new NamedRateLimits();
	const unsent = new UnsentAttempts();
	const names = {
		serverLeaving: 'leaving', retryAfter: 'retry-after', rateLimit: 'rate-limit', warmupLeft: 'warmup-left', requestId: 'request-id', answerStamp: 'stamp', serverLoad: 'load',
	};
	const notices = new ServerNotices({
		format: {
			headers: names as never,
			decodeServerLoad: text => decodedLoads[text],
			decodeServerLeaving: text => text === 'yes' ? Right(true) : Left({code: 'malformed-value', message: text}),
			decodeRetryAfter: text => Number.isFinite(Number(text)) ? Right(Number(text)) : Left({code: 'malformed-value', message: text}),
			decodeWarmupLeft: text => Right(Number(text)),
			decodeRateLimit: text => Number.isFinite(Number(text)) ? Right(Number(text)) : Left({code: 'malformed-value', message: text}),
		},
		servers,
		leaving,
		pauses,
		hasRateLimit: start => rateLimits.requestsPerSecond(start) !== undefined,
		hearRateLimit(heard) {
			rateLimits.hear({...heard, nowMs: NOW_MS, wallClockMs: 0});
		},
		hearWarmup({name, startedAtMs, warmupLeftMs}) {
			servers.recordWarmup({server: {name, startedAtMs}, warmupLeftMs, nowMs: NOW_MS});
		},
		hearLoad({server, load}) {
			heardLoads.push(`${server.name} ${load.running}`);
		},
		unsent,
		counters: new ServedCounters(),
		log: new DecisionLog({
			write(line) {
				lines.push(line);
				return true;
			}, common: {}, wallClock: () => 0,
		}),
		now: () => NOW_MS,
		wallClockMs: () => 0,
	});
	return {
		notices, leaving, pauses, rateLimits, unsent, lines, heardLoads,
	};
}

/** Loads by the text of their header. */
const decodedLoads: Readonly<Record<string, ServerLoad>> = {
	valid: {
		running: 2, waiting: 0, slots: 4, workFactor: 2.5,
	}, odd: {
		running: 3, waiting: 0, slots: 4, ignoredText: 'x',
	},
};
const requested = createServer('requested');
const restarted = createServer('requested', {startedAtMs: 2, heartbeat: 2});
const neighbour = createServer('neighbour');
const otherPort = createServer('other-port', {port: 81});

const cases: ReadonlyArray<{
	name: string;
	registered: readonly RegisteredServer[];
	status: number;
	headers: Readonly<Record<string, string>>;
	leaves?: readonly RegisteredServer[];
	pausesUntilMs?: number;
	isRefused?: boolean;
}> = [
	{
		name: 'a success response of a leaving server', registered: [requested], status: 200, headers: {leaving: 'yes'}, leaves: [requested],
	},
	{
		name: 'a failure response of a leaving server', registered: [requested], status: 500, headers: {leaving: 'yes'}, leaves: [requested],
	},
	{
		name: 'a server that is leaving and asks for a pause',
		registered: [requested],
		status: 503,
		headers: {leaving: 'yes', 'retry-after': '250'},
		leaves: [requested],
		pausesUntilMs: NOW_MS + 250,
	},
	{
		name: 'a pause', registered: [requested], status: 503, headers: {'retry-after': '250.5'}, pausesUntilMs: NOW_MS + 250.5,
	},
	{
		name: 'a pause in a response that is no refusal, which is ignored', registered: [requested], status: 200, headers: {'retry-after': '250'},
	},
	{
		name: 'a malformed pause', registered: [requested], status: 503, headers: {'retry-after': 'Fri, 04 Dec 2026 08:00:00 GMT'}, isRefused: true,
	},
	{
		name: 'a malformed leaving notice', registered: [requested], status: 200, headers: {leaving: 'perhaps'}, isRefused: true,
	},
	{
		name: 'another server at the address, if it is known', registered: [requested, neighbour, otherPort], status: 421, headers: {leaving: 'yes'}, leaves: [neighbour],
	},
	{
		name: 'another server at the address, if it is not known', registered: [requested, otherPort], status: 421, headers: {leaving: 'yes'},
	},
	{
		name: 'a server that has restarted since it was chosen', registered: [restarted], status: 200, headers: {leaving: 'yes'}, leaves: [requested, restarted],
	},
	{
		name: 'a server that is no longer registered', registered: [], status: 200, headers: {leaving: 'yes'}, leaves: [requested],
	},
];

describe('ServerNotices', () => {
	for (const {name, registered, status, headers, leaves = [], pausesUntilMs, isRefused = false} of cases) {
		it(`handles ${name}`, () => {
			const {notices, leaving, pauses, lines} = createFixture(registered);
			notices.read({server: requested, head: {status, headers}});
			for (const start of [requested, restarted, neighbour, otherPort]) {
				assert.equal(leaving.has(start), leaves.includes(start), `${start.name} of ${start.startedAtMs}`);
			}

			assert.equal(pauses.endMs({server: requested, nowMs: NOW_MS}), pausesUntilMs);
			assert.equal(lines.some(line => line.includes('server-notice-refused')), isRefused, lines.join(''));
		});
	}

	const loadCases: ReadonlyArray<{name: string; text: string; isHealthCheck: boolean; heard: readonly string[]; isRefused: boolean}> = [
		{
			name: 'the load in a health response', text: 'valid', isHealthCheck: true, heard: ['requested 2'], isRefused: false,
		},
		{
			name: 'the load in a response to a request, which its attempt records', text: 'valid', isHealthCheck: false, heard: [], isRefused: false,
		},
		{
			name: 'a fourth value that is malformed, which is counted while the others hold', text: 'odd', isHealthCheck: true, heard: ['requested 3'], isRefused: true,
		},
		{
			name: 'a load that is malformed as a whole', text: 'none', isHealthCheck: true, heard: [], isRefused: false,
		},
	];
	for (const {name, text, isHealthCheck, heard, isRefused} of loadCases) {
		it(`handles ${name}`, () => {
			const {notices, lines, heardLoads} = createFixture([requested]);
			notices.read({server: requested, head: {status: 200, headers: {load: text}}, ...(!isHealthCheck && {request: {id: '1', sentAtMs: 0}})});
			assert.deepEqual(heardLoads, heard);
			assert.equal(lines.some(line => line.includes('server-notice-refused')), isRefused, lines.join(''));
		});
	}

	const rateLimitCases: ReadonlyArray<{
		name: string;
		registered: readonly RegisteredServer[];
		heads: ReadonlyArray<{status?: number; limit?: string; isOwn?: boolean; isStamped?: boolean; sentAtMs?: number}>;
		expected: ReadonlyArray<{server: RegisteredServer; requestsPerSecond: number | undefined}>;
		isRefused?: boolean;
	}> = [
		{
			name: 'a rate limit in a success response', registered: [requested], heads: [{limit: '2.9'}], expected: [{server: requested, requestsPerSecond: 2.9}],
		},
		{
			name: 'a rate limit in a refusal', registered: [requested], heads: [{status: 503, limit: '2'}], expected: [{server: requested, requestsPerSecond: 2}],
		},
		{
			name: 'a response without a rate limit after one with it',
			registered: [requested],
			heads: [{limit: '2'}, {sentAtMs: NOW_MS}],
			expected: [{server: requested, requestsPerSecond: undefined}],
		},
		{
			name: 'a response without a rate limit to a request that was sent before the limit was known',
			registered: [requested],
			heads: [{limit: '2'}, {sentAtMs: NOW_MS - 1}],
			expected: [{server: requested, requestsPerSecond: 2}],
		},
		{
			name: 'a response without a rate limit that belongs to another request',
			registered: [requested],
			heads: [{limit: '2'}, {sentAtMs: NOW_MS, isOwn: false}],
			expected: [{server: requested, requestsPerSecond: 2}],
		},
		{
			name: 'a response without a rate limit and without a stamp',
			registered: [requested],
			heads: [{limit: '2'}, {sentAtMs: NOW_MS, isStamped: false}],
			expected: [{server: requested, requestsPerSecond: 2}],
		},
		{
			name: 'a malformed rate limit after a valid one',
			registered: [requested],
			heads: [{limit: '2'}, {sentAtMs: NOW_MS, limit: 'few'}],
			expected: [{server: requested, requestsPerSecond: 2}],
			isRefused: true,
		},
		{
			name: 'the rate limit of another server at the address',
			registered: [requested, neighbour],
			heads: [{status: 421, limit: '2'}],
			expected: [{server: requested, requestsPerSecond: undefined}, {server: neighbour, requestsPerSecond: 2}],
		},
		{
			name: 'a rate limit of a server that has restarted since it was chosen',
			registered: [restarted],
			heads: [{limit: '2'}],
			expected: [{server: requested, requestsPerSecond: 2}, {server: restarted, requestsPerSecond: 2}],
		},
	];
	for (const {name, registered, heads, expected, isRefused = false} of rateLimitCases) {
		it(`handles ${name}`, () => {
			const {notices, rateLimits, lines} = createFixture(registered);
			for (const {status = 200, limit, isOwn = true, isStamped = true, sentAtMs = 0} of heads) {
				notices.read({
					server: requested,
					request: {id: 'own', sentAtMs},
					head: {status, headers: {'request-id': isOwn ? 'own' : 'other', ...(isStamped && {stamp: 'stamp'}), ...(limit !== undefined && {'rate-limit': limit})}},
				});
			}

			assert.deepEqual(expected.map(({server: start}) => ({server: start, requestsPerSecond: rateLimits.requestsPerSecond(start)})), expected);
			assert.equal(lines.some(line => line.includes('server-notice-refused')), isRefused, lines.join(''));
		});
	}

	it('logs a notice that comes with every response once per second and server', () => {
		const {notices, lines} = createFixture([requested]);
		for (let responses = 0; responses < 50; responses += 1) {
			notices.read({server: requested, head: {status: 503, headers: {leaving: 'perhaps', 'retry-after': '1'}}});
		}

		assert.equal(lines.length, 2, lines.join(''));
	});

	it('recalls attempts that wait for a connection to a server that asks for a pause, and none that were sent', () => {
		const {notices, unsent} = createFixture([requested]);
		const recalled: string[] = [];
		const attempt = (name: string, isSent: boolean) => ({
			recall() {
				if (!isSent) {
					recalled.push(name);
				}

				return !isSent;
			},
		});
		unsent.add({server: requested.name, attempt: attempt('waiting', false)});
		unsent.add({server: requested.name, attempt: attempt('sent', true)});
		unsent.add({server: otherPort.name, attempt: attempt('other-port', false)});
		const ended = attempt('ended', false);
		unsent.add({server: requested.name, attempt: ended});
		unsent.delete({server: requested.name, attempt: ended});
		notices.read({server: requested, head: {status: 503, headers: {'retry-after': '100'}}});
		assert.deepEqual(recalled, ['waiting']);
	});
});
