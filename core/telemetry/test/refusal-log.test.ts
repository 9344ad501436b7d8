import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RefusalLog} from '@pomelopick/core.telemetry';

const SUM_MS = 1000;

describe('RefusalLog', () => {
	it('does not flood the log with odd entries, and sums up what it leaves out', async context => {
		context.mock.timers.enable({apis: ['setTimeout']});
		const lines: Array<Readonly<Record<string, unknown>>> = [];
		const refusals = new RefusalLog({
			now: () => 0, log: {
				line(event, fields) {
					lines.push({event, ...fields});
				},
			},
		});
		for (let entry = 0; entry < 1000; entry += 1) {
			refusals.line('server-refused', {subject: `odd-${entry}`, detail: 'x'.repeat(100_000)});
		}

		assert.ok(JSON.stringify(lines).length < 10_000);
		const written = lines.length;
		context.mock.timers.tick(SUM_MS);
		assert.deepEqual(lines.slice(written), [{event: 'refusals-left-out', count: 1000 - written}]);
	});

	it('writes a line for each change of a refusal, and again after something was accepted', () => {
		const details: unknown[] = [];
		const refusals = new RefusalLog({
			now: () => 0, log: {
				line(_event, {detail}) {
					details.push(detail);
				},
			},
		});
		for (const detail of ['a', 'a', 'b', 'a']) {
			refusals.line('server-refused', {subject: 'odd', detail});
		}

		refusals.accept('odd');
		refusals.line('server-refused', {subject: 'odd', detail: 'a'});
		assert.deepEqual(details, ['a', 'b', 'a', 'a']);
	});
});
