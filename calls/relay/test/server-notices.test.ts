import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {Left, Right} from 'purify-ts';
import {ServerNotices, UnsentAttempts} from '@pomelopick/calls.relay';
import {DecisionLog, ServedCounters} from '@pomelopick/core.telemetry';
import {LeavingServers, RequestedPauses, ServerTable} from '@pomelopick/steering.servers';
import type {
	BackendServerName, FailureDomainName, RegisteredServer, ServiceName,
} from '@pomelopick/core.types';

const NOW_MS = 1000;

const server = (name: string, changes: Partial<RegisteredServer> = {}): RegisteredServer => ({
	name: name as BackendServerName,
	service: 'ledger' as ServiceName,
	address: '10.0.0.1',
	port: 80,
	failureDomain: 'north-a' as FailureDomainName,
	slots: 4,
	state: 'ready',
	warmupLeftMs: 0,
	startedAtMs: 1,
	heartbeat: 1,
	...changes,
});

function createFixture(registered: readonly RegisteredServer[]) {
	const servers = new ServerTable();
	for (const entry of registered) {
		servers.write({server: entry, nowMs: 0});
	}

	const lines: string[] = [];
	const leaving = new LeavingServers();
	const pauses = new RequestedPauses();
	const unsent = new UnsentAttempts();
	const names = {serverLeaving: 'leaving', retryAfter: 'come-back'};
	const notices = new ServerNotices({
		format: {
			headers: names as never,
			decodeServerLeaving: text => text === 'yes' ? Right(true) : Left({code: 'malformed-value', message: text}),
			decodeRetryAfter: text => Number.isFinite(Number(text)) ? Right(Number(text)) : Left({code: 'malformed-value', message: text}),
		},
		servers,
		leaving,
		pauses,
		unsent,
		counters: new ServedCounters(),
		log: new DecisionLog({
			write(line) {
				lines.push(line);
				return true;
			}, common: {}, wallClock: () => 0,
		}),
		now: () => NOW_MS,
	});
	return {
		notices, leaving, pauses, unsent, lines,
	};
}

const own = server('own');
const restarted = server('own', {startedAtMs: 2, heartbeat: 2});
const neighbour = server('neighbour');
const elsewhere = server('elsewhere', {port: 81});

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
		name: 'a success of a leaving server', registered: [own], status: 200, headers: {leaving: 'yes'}, leaves: [own],
	},
	{
		name: 'a failure of a leaving server', registered: [own], status: 500, headers: {leaving: 'yes'}, leaves: [own],
	},
	{
		name: 'a server that leaves and wants a pause', registered: [own], status: 503, headers: {leaving: 'yes', 'come-back': '250'}, leaves: [own], pausesUntilMs: NOW_MS + 250,
	},
	{
		name: 'a pause', registered: [own], status: 503, headers: {'come-back': '250.5'}, pausesUntilMs: NOW_MS + 250.5,
	},
	{
		name: 'a time to come back that is no refusal', registered: [own], status: 200, headers: {'come-back': '250'},
	},
	{
		name: 'a pause that cannot be read', registered: [own], status: 503, headers: {'come-back': 'Fri, 04 Dec 2026 08:00:00 GMT'}, isRefused: true,
	},
	{
		name: 'a leaving that cannot be read', registered: [own], status: 200, headers: {leaving: 'perhaps'}, isRefused: true,
	},
	{
		name: 'another server at the address, when it is known', registered: [own, neighbour, elsewhere], status: 421, headers: {leaving: 'yes'}, leaves: [neighbour],
	},
	{
		name: 'another server at the address, when it is not known', registered: [own, elsewhere], status: 421, headers: {leaving: 'yes'},
	},
	{
		name: 'a server that started anew since the request was placed', registered: [restarted], status: 200, headers: {leaving: 'yes'}, leaves: [own, restarted],
	},
	{
		name: 'a server whose entry is gone', registered: [], status: 200, headers: {leaving: 'yes'}, leaves: [own],
	},
];

describe('ServerNotices', () => {
	for (const {name, registered, status, headers, leaves = [], pausesUntilMs, isRefused = false} of cases) {
		it(`takes note of ${name}`, () => {
			const {notices, leaving, pauses, lines} = createFixture(registered);
			notices.read({server: own, head: {status, headers}});
			for (const start of [own, restarted, neighbour, elsewhere]) {
				assert.equal(leaving.has(start), leaves.includes(start), `${start.name} of ${start.startedAtMs}`);
			}

			assert.equal(pauses.endMs({server: own, nowMs: NOW_MS}), pausesUntilMs);
			assert.equal(lines.some(line => line.includes('server-notice-refused')), isRefused, lines.join(''));
		});
	}

	it('writes one line a second and server about what comes with every answer', () => {
		const {notices, lines} = createFixture([own]);
		for (let answer = 0; answer < 50; answer += 1) {
			notices.read({server: own, head: {status: 503, headers: {leaving: 'perhaps', 'come-back': '1'}}});
		}

		assert.equal(lines.length, 2, lines.join(''));
	});

	it('takes back what waits for a connection to a server that wants nothing, and nothing that was sent', () => {
		const {notices, unsent} = createFixture([own]);
		const recalled: string[] = [];
		const attempt = (name: string, isSent: boolean) => ({
			recall() {
				if (!isSent) {
					recalled.push(name);
				}

				return !isSent;
			},
		});
		unsent.add({server: own.name, attempt: attempt('waiting', false)});
		unsent.add({server: own.name, attempt: attempt('sent', true)});
		unsent.add({server: elsewhere.name, attempt: attempt('elsewhere', false)});
		const ended = attempt('ended', false);
		unsent.add({server: own.name, attempt: ended});
		unsent.delete({server: own.name, attempt: ended});
		notices.read({server: own, head: {status: 503, headers: {'come-back': '100'}}});
		assert.deepEqual(recalled, ['waiting']);
	});
});
