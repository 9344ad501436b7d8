import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {BackendServerName} from '@pomelopick/core.types';
import {CrashDetector} from '@pomelopick/calls.quarantine';
import type {
	CrashReport, InFlightCall, RequestFingerprint, ServerRun,
} from '@pomelopick/calls.quarantine';

const server = {name: 's1' as BackendServerName, startedAtMs: 7};

interface Fixture {
	readonly detector: CrashDetector<typeof server>;
	readonly reports: CrashReport[];
	begin(name: string, options?: {readonly wasSent?: boolean}): ServerRun;
	wait(durationMs: number): void;
}

function createFixture(): Fixture {
	let nowMs = 0;
	const reports: CrashReport[] = [];
	const detector = new CrashDetector<typeof server>({
		isGone: async () => true,
		async reportCrash(report) {
			reports.push(report);
		},
		now: () => nowMs,
		clockOffsetMs: 0,
	});
	return {
		detector,
		reports,
		begin(name, {wasSent = true} = {}) {
			const call: InFlightCall = {isSuspect: false, mayHaveRun: wasSent, fingerprint: () => name as RequestFingerprint};
			return detector.begin({server: server.name, call});
		},
		wait(durationMs) {
			nowMs += durationMs;
		},
	};
}

const cases: ReadonlyArray<{name: string; act: (fixture: Fixture) => void; expected: readonly string[]}> = [
	{
		name: 'names a request that is in progress', act({begin}) {
			begin('a');
		}, expected: ['a'],
	},
	{
		name: 'names a request whose attempt ended without an answer', act({detector, begin, wait}) {
			const run = begin('a');
			wait(100);
			detector.end(run);
			wait(1500);
		}, expected: ['a'],
	},
	{
		name: 'leaves out a request that was answered', act({detector, begin}) {
			begin('b');
			detector.resolve(begin('a'));
		}, expected: ['b'],
	},
	{
		name: 'leaves out a request of which nothing was sent', act({begin}) {
			begin('b');
			begin('a', {wasSent: false});
		}, expected: ['b'],
	},
	{
		name: 'leaves out an ended run that the server survived, by a response on a connection older than the run', act({detector, begin, wait}) {
			begin('b');
			detector.end(begin('a'));
			wait(1200);
			detector.recordResponse({server: server.name, openedAtMs: -10});
		}, expected: ['b'],
	},
	{
		name: 'names an ended run after a response on a newer connection, which a restarted server may have sent', act({detector, begin, wait}) {
			detector.end(begin('a'));
			wait(1200);
			detector.recordResponse({server: server.name, openedAtMs: 1100});
		}, expected: ['a'],
	},
	{
		name: 'forgets an ended run after some time', act({detector, begin, wait}) {
			begin('b');
			detector.end(begin('a'));
			wait(20_000);
		}, expected: ['b'],
	},
	{
		name: 'keeps a bounded number of ended runs', act({detector, begin}) {
			for (let number = 0; number < 4100; number += 1) {
				detector.end(begin(`a${number}`));
			}
		}, expected: Array.from({length: 4096}, (_, index) => `a${4 + index}`),
	},
];

describe('CrashDetector', () => {
	for (const {name, act, expected} of cases) {
		it(`${name}, when a server ends`, async () => {
			const fixture = createFixture();
			act(fixture);
			await fixture.detector.reportEnd({server, evidence: 'restarted', endedByMs: 30_000});
			assert.deepEqual(fixture.reports.flatMap(({fingerprints}) => fingerprints), expected);
		});
	}

	it('keeps nothing of a run that was resolved before its attempt ended', async () => {
		const {detector, reports, begin} = createFixture();
		const run = begin('a');
		detector.resolve(run);
		detector.end(run);
		await detector.reportEnd({server, evidence: 'restarted', endedByMs: 0});
		assert.deepEqual(reports, []);
	});

	it('reports each run with one end only', async () => {
		const {detector, reports, begin} = createFixture();
		begin('a');
		await detector.reportEnd({server, evidence: 'unreachable', endedByMs: 0});
		await detector.reportEnd({server, evidence: 'restarted', endedByMs: 0});
		assert.deepEqual(reports.map(({evidence}) => evidence), ['unreachable']);
	});

	it('leaves out runs that began after the end', async () => {
		const {detector, reports, begin, wait} = createFixture();
		begin('a');
		wait(500);
		begin('b');
		await detector.reportEnd({server, evidence: 'restarted', endedByMs: 300});
		assert.deepEqual(reports.map(({fingerprints, spans}) => [fingerprints, spans]), [[['a'], [{fromMs: 0, toMs: 300}]]]);
	});

	it('states until when a run whose attempt ended may have ended its server', async () => {
		const {detector, reports, begin, wait} = createFixture();
		const run = begin('a');
		wait(100);
		detector.end(run);
		wait(5000);
		await detector.reportEnd({server, evidence: 'restarted', endedByMs: 5000});
		assert.deepEqual(reports.map(({spans}) => spans), [[{fromMs: 0, toMs: 1100}]]);
	});
});
