import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {DecisionLog} from '@pomelopick/core.telemetry';

const REQUESTS = 1000;

function createLog(write: (line: string) => boolean = () => true): {readonly log: DecisionLog; readonly lines: Array<Record<string, unknown>>; readonly pass: (milliseconds: number) => void} {
	const lines: Array<Record<string, unknown>> = [];
	let nowMs = 1_000_000;
	const log = new DecisionLog({
		common: {instance: 'a'}, wallClock: () => nowMs, write(line) {
			lines.push(JSON.parse(line) as Record<string, unknown>);
			return write(line);
		},
	});
	return {
		log, lines, pass(milliseconds) {
			nowMs += milliseconds;
		},
	};
}

describe('DecisionLog', () => {
	it('limits the lines about requests per second and logs how many were omitted', () => {
		const {log, lines, pass} = createLog();
		for (let request = 0; request < REQUESTS; request += 1) {
			log.request('answered', {requestId: String(request)});
			log.request('failed', {requestId: String(request), reason: 'queue-timeout'});
		}

		const written = lines.length;
		const failed = lines.filter(({reason}) => reason !== undefined).length;
		assert.ok(written < REQUESTS);
		pass(1000);
		log.request('answered', {requestId: 'next'});
		assert.deepEqual(lines.slice(written).map(({time, instance, ...fields}) => fields), [
			{event: 'request-lines-left-out', answered: REQUESTS - (written - failed), failed: REQUESTS - failed},
			{event: 'request', requestId: 'next'},
		]);
	});

	it('writes the line of a failed request after any number of answered ones', () => {
		const {log, lines} = createLog();
		for (let request = 0; request < REQUESTS; request += 1) {
			log.request('answered', {requestId: String(request)});
		}

		log.request('failed', {requestId: 'refused'});
		assert.equal(lines.at(-1)?.requestId, 'refused');
	});

	it('omits no lines about changes of the view', () => {
		const {log, lines} = createLog();
		for (let change = 0; change < REQUESTS; change += 1) {
			log.line('server-changed', {subject: String(change)});
		}

		assert.equal(lines.length, REQUESTS);
	});

	it('counts dropped lines', () => {
		const {log} = createLog(() => false);
		log.line('started', {});
		assert.equal(log.dropped, 1);
	});
});
