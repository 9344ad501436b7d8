import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it, mock,
} from 'node:test';
import {
	createScriptedRun, createWait, retryPermit, settle,
} from './scripted-run.js';

const HEDGE_AFTER_MS = 100;

const cases: ReadonlyArray<{name: string; remainsUsable: boolean; expected: readonly string[]}> = [
	{name: 'is not sent to a server that left or asked for a pause while the request waited for a permit', remainsUsable: false, expected: ['server-0']},
	{name: 'is sent to the chosen server otherwise', remainsUsable: true, expected: ['server-0', 'server-1']},
];

describe('a request whose response is overdue', () => {
	beforeEach(() => {
		mock.timers.enable({apis: ['setTimeout']});
	});
	afterEach(() => {
		mock.timers.reset();
	});

	for (const {name, remainsUsable, expected} of cases) {
		it(name, async () => {
			let isUsable = true;
			const permit = createWait<typeof retryPermit>();
			const {run, sends} = createScriptedRun({
				repeatability: 'idempotent', targetLatencyMs: HEDGE_AFTER_MS, retryPermit: async () => permit.promise, isStillUsable: () => isUsable,
			});
			const result = run.run();
			await settle();
			await sends[0]!.connect();
			mock.timers.tick(HEDGE_AFTER_MS);
			await settle();
			isUsable = remainsUsable;
			permit.end(retryPermit);
			await settle();
			assert.deepEqual(sends.map(({server}) => server), expected);
			run.expire();
			await result;
		});
	}
});
