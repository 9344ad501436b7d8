import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {WarmupSharing} from '@pomelopick/calls.rate-limits';
import type {ServerWarmup} from '@pomelopick/calls.rate-limits';
import {DecisionLog, ServedCounters} from '@pomelopick/core.telemetry';
import type {BackendServerName} from '@pomelopick/core.types';

const warmup: ServerWarmup = {name: 'a' as BackendServerName, startedAtMs: 1, warmupLeftMs: 2500};

const cases: ReadonlyArray<{name: string; source: 'hear' | 'receive'; isNew: boolean; told: readonly ServerWarmup[]; lines: number}> = [
	{
		name: 'tells all instances of a warm-up that a server states', source: 'hear', isNew: true, told: [warmup], lines: 1,
	},
	{
		name: 'tells nobody of a warm-up that is known', source: 'hear', isNew: false, told: [], lines: 0,
	},
	{
		name: 'does not tell again what another instance reported', source: 'receive', isNew: true, told: [], lines: 1,
	},
];

describe('WarmupSharing', () => {
	for (const {name, source, isNew, told: expected, lines: expectedLines} of cases) {
		it(name, () => {
			const told: ServerWarmup[] = [];
			const lines: string[] = [];
			const longer: BackendServerName[] = [];
			const sharing = new WarmupSharing({
				recordWarmup({server, warmupLeftMs}) {
					assert.deepEqual({...server, warmupLeftMs}, warmup);
					return isNew;
				},
				onLonger(name) {
					longer.push(name);
				},
				broadcast(takeRecords) {
					told.push(...takeRecords());
				},
				counters: new ServedCounters(),
				log: new DecisionLog({
					write(line) {
						lines.push(line);
						return true;
					}, common: {}, wallClock: () => 0,
				}),
				now: () => 0,
			});
			sharing[source](warmup);
			assert.deepEqual(told, expected);
			assert.equal(lines.length, expectedLines);
			// Attempts that wait for a connection would otherwise reach the cold server at the full rate.
			assert.deepEqual(longer, isNew ? [warmup.name] : []);
		});
	}
});
