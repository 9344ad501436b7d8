import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {callDirectly} from '@pomelopick/testing.callers';
import type {DirectResponse} from '@pomelopick/testing.callers';
import {startFleet} from '@pomelopick/testing.fleet';
import type {Deployment, EntryProcess, Fleet} from '@pomelopick/testing.fleet';
import {MAX_CRASHES_BEFORE_QUARANTINE} from '@pomelopick/calls.quarantine';

const SENDS = 16;
const CONCURRENT_CALLERS = 24;

const deployment: Deployment = {
	name: 'crashes', regions: ['north', 'south'], failureDomainsPerRegion: 1, megabitsPerSecond: 100, regionDelayMs: 0, failureDomainDelayMs: 0, clientDelayMs: 0,
	services: [{
		name: 'ledger', priority: 'interactive', servers: 10, slots: 4,
	}],
};

const methods = [{method: 'GET'}, {method: 'POST'}] as const;

for (const {method} of methods) {
	describe(`a ${method} that crashes backend servers, sent again to each instance in turn`, () => {
		let fleet: Fleet;
		const crash = async (entry: EntryProcess): Promise<DirectResponse> => callDirectly({
			endpoint: entry.instance.callers, service: 'ledger', method, path: '/crash?crash=1', timeoutMs: 3000, ...(method === 'POST' && {body: '{}'}),
		});
		const countCrashed = (): number => fleet.backends.filter(({child}) => child.hasExited()).length;
		before(async () => {
			fleet = await startFleet({deployment, entries: 4});
		});
		after(async () => {
			await fleet.stop();
		});

		it('crashes a bounded number of servers and is refused by every instance, and concurrent requests are answered', async () => {
			const done = new AbortController();
			const callers = Array.from({length: CONCURRENT_CALLERS}, async (_, index) => {
				const records: DirectResponse[] = [];
				const {instance} = fleet.entries[index % fleet.entries.length]!;
				for (let number = 0; !done.signal.aborted; number += 1) {
					records.push(await callDirectly({
						endpoint: instance.callers, service: 'ledger', path: `/stock/${index}-${number}?workMs=30`, timeoutMs: 3000,
					}));
				}

				return records;
			});
			await sleep(200);
			const crashes: DirectResponse[] = [];
			for (let send = 0; send < SENDS; send += 1) {
				crashes.push(await crash(fleet.entries[send % fleet.entries.length]!));
			}

			done.abort();
			const crashed = countCrashed();
			const recordsByCaller = await Promise.all(callers);
			const concurrentRecords = recordsByCaller.flat();
			const unanswered = concurrentRecords.filter(({ended}) => ended !== 'answered');
			assert.ok(crashed >= 1 && crashed <= MAX_CRASHES_BEFORE_QUARANTINE, `${crashed} servers crashed`);
			assert.deepEqual(new Set(crashes.slice(-fleet.entries.length * 2).map(({reason}) => reason)), new Set(['request-quarantined']));
			assert.deepEqual(crashes.filter(({ended}) => ended !== 'refused'), []);
			assert.deepEqual(unanswered.slice(0, 3), [], `${unanswered.length} of ${concurrentRecords.length} concurrent requests were not answered`);
		});

		it('is refused by an instance that started afterwards, without another crash', async () => {
			const entry = await fleet.startEntry({id: 'entry-late', failureDomain: 'north-1'});
			await fleet.waitForInstances();
			await sleep(1500);
			const crashed = countCrashed();
			const {reason, execution} = await crash(entry);
			assert.deepEqual([reason, execution, countCrashed()], ['request-quarantined', 'not-run', crashed]);
		});
	});
}
