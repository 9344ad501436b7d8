import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';
import type {Endpoint} from '@pomelopick/core.types';
import {Caller} from '@pomelopick/testing.callers';
import type {CallRecord} from '@pomelopick/testing.callers';
import {popescuVlad, startFleet} from '@pomelopick/testing.fleet';
import type {Deployment, Fleet} from '@pomelopick/testing.fleet';

const DIRECT_TIMEOUT_MS = 8000;
const WORK_MS = 150;
const GRACE_MS = 3000;
const SLOTS = 3;
const small: Deployment = {
	...popescuVlad,
	services: [{
		name: 'archive', priority: 'interactive', servers: 3, slots: SLOTS,
	}],
};

/** Dispatcher for callers in region muntenia, whose slots the second instance owns. */
const munteniaCallers = new Agent({localAddress: '127.0.2.9', connections: 64});

/** Calls one instance from region muntenia, without a look-up, and returns how the call ended. */
async function callDirectly({endpoint: {address, port}, path}: {readonly endpoint: Endpoint; readonly path: string}): Promise<string> {
	try {
		const response = await request(`http://${address}:${port}/v1/services/archive${path}`, {
			dispatcher: munteniaCallers, headers: {'x-request-timeout-ms': String(DIRECT_TIMEOUT_MS)}, signal: AbortSignal.timeout(DIRECT_TIMEOUT_MS + 1500),
		});
		const body = await response.body.json() as {readonly title?: string};
		return response.statusCode === 200 ? 'answered' : body.title ?? String(response.statusCode);
	} catch {
		return 'silent';
	}
}

describe('placement by slot owners', () => {
	let fleet: Fleet;
	const callers = Array.from({length: 6}, (_, index) => new Caller({localAddress: `127.0.1.${index + 1}`, bootstrap: () => fleet.entries.map(({instance}) => instance.callers)}));
	before(async () => {
		fleet = await startFleet({deployment: small, entries: 3, behaviour: {workMs: WORK_MS}});
	});
	after(async () => {
		await Promise.all(callers.map(async caller => caller.close()));
		await munteniaCallers.destroy();
		await fleet.stop();
	});

	interface LoadOptions {
		readonly calls: number;
		readonly intervalMs: number;
		readonly path?: string;
		readonly timeoutMs?: number;
	}

	/** Starts a call every interval, from the callers in turn. */
	async function load({calls, intervalMs, path = '/notices', timeoutMs = 5000}: LoadOptions): Promise<readonly CallRecord[]> {
		const records: Array<Promise<CallRecord>> = [];
		for (let index = 0; index < calls; index += 1) {
			records.push(callers[index % callers.length]!.call({service: 'archive', path: `${path}?n=${index}`, timeoutMs}));
			await sleep(intervalMs);
		}

		return Promise.all(records);
	}

	function countEnded(records: readonly CallRecord[]): Record<string, number> {
		const counts: Record<string, number> = {};
		for (const {ended, reason} of records) {
			const outcome = reason ?? ended;
			counts[outcome] = (counts[outcome] ?? 0) + 1;
		}

		return counts;
	}

	it('gives no server more calls than it has slots under three times the load, and responds to every call', async () => {
		await load({calls: 30, intervalMs: 30});
		const records = await load({calls: 300, intervalMs: 5});
		const statistics = await fleet.listStatistics();
		assert.deepEqual(statistics.map(({worstInFlight}) => worstInFlight > SLOTS), [false, false, false], JSON.stringify(statistics));
		const counts = countEnded(records);
		assert.equal(counts.silent ?? 0, 0, JSON.stringify(counts));
		assert.ok(counts.answered! > 0 && records.every(({ended, reason}) => ended === 'answered' || reason !== undefined), JSON.stringify(counts));
	});

	it('sends no new calls to a drained site or to a server that reports that it is leaving', async () => {
		const set = fleet.configurationSet();
		const drained = fleet.backends[0]!;
		const leaving = fleet.backends[1]!;
		const loading = load({calls: 200, intervalMs: 40});
		const drainedAtMs = Date.now();
		await fleet.publish({...set, drains: [{name: 'works', target: {kind: 'site', name: drained.planned.site}}]});
		await fleet.setBehaviour({backend: leaving, behaviour: {draining: true}});
		await sleep(GRACE_MS);
		const shedOf = async (): Promise<number> => {
			const statistics = await fleet.listStatistics();
			return statistics.find(({name}) => name === leaving.planned.name)!.shed;
		};

		const shedBefore = await shedOf();
		const records = await loading;
		const executions = await fleet.listExecutionsByServer();
		const late = executions.get(drained.planned.name)!.filter(({startedAtMs}) => startedAtMs > drainedAtMs + GRACE_MS);
		assert.equal(late.length, 0);
		assert.equal(await shedOf(), shedBefore);
		assert.equal(countEnded(records).silent ?? 0, 0, JSON.stringify(countEnded(records)));
		await fleet.setBehaviour({backend: leaving, behaviour: {draining: false}});
		await fleet.publish(set);
	});

	it('answers calls while an instance that owns slots is frozen, and after it resumes', async () => {
		const frozen = fleet.entries[1]!;
		frozen.child.signal('SIGSTOP');
		const live = fleet.entries.filter(entry => entry !== frozen);
		const calls: Array<Promise<string>> = [];
		for (let index = 0; index < 30; index += 1) {
			calls.push(callDirectly({endpoint: live[index % live.length]!.instance.callers, path: `/frozen?n=${index}`}));
			await sleep(200);
		}

		const ended = await Promise.all(calls);
		frozen.child.signal('SIGCONT');
		const counts: Record<string, number> = {};
		for (const name of ended) {
			counts[name] = (counts[name] ?? 0) + 1;
		}

		assert.equal(counts.silent ?? 0, 0, JSON.stringify(counts));
		assert.ok(counts.answered! >= 20, JSON.stringify(counts));
	});
});
