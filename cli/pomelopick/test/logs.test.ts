import assert from 'node:assert/strict';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {PassThrough, Readable} from 'node:stream';
import {text} from 'node:stream/consumers';
import {describe, it} from 'node:test';
import {
	createCli, decodeLogLine, describeUsageError, findCause, analyseRequest,
} from '@pomelopick/cli.pomelopick';
import type {LogLine} from '@pomelopick/cli.pomelopick';

const START_MS = Date.parse('2026-02-09T06:30:00.000Z');
const requestId = '54163ffab8ff54a6';

const line = (afterMs: number, fields: Partial<LogLine>): LogLine => ({
	atMs: START_MS + afterMs, event: 'request', instance: 'gateway-1', ...fields,
});

/** The request of all cases: refused after 3 s at server `a`, which was expected to respond in 300 ms. */
const refused = (fields: Partial<LogLine>): LogLine => line(3000, {
	requestId, server: 'a', why: 'warm, wait 0 ms, expected 300 ms', outcome: 'refused', execution: 'unknown', totalMs: 3000, allowedMs: 3000, ...fields,
});

const answered = (totalMs: number, server = 'a'): LogLine => line(2500, {
	requestId: 'other', server, outcome: 'answered 200', totalMs,
});

const causes: ReadonlyArray<{readonly name: string; readonly lines: readonly LogLine[]; readonly cause: RegExp}> = [
	{
		name: 'a server that was slow for other requests too',
		lines: [answered(900), answered(1000), answered(1100), answered(300, 'b'), refused({reason: 'deadline-exceeded'})],
		cause: /^a was slow: .* took 1000 ms at the median there around then, and 300 ms at other servers$/u,
	},
	{
		name: 'a server that answered other requests as fast as other servers',
		lines: [answered(200), answered(400), answered(300, 'b'), refused({reason: 'deadline-exceeded'})],
		cause: /^a answered 2 other requests around then, those of the route in 400 ms at the median: the response to this one was lost/u,
	},
	{
		name: 'a server that answered only requests of another route',
		lines: [{...answered(900), route: 'other'}, answered(300, 'b'), refused({reason: 'deadline-exceeded'})],
		cause: /^a answered 1 other requests around then: the response/u,
	},
	{
		name: 'a server that answered no request', lines: [line(2600, {
			requestId: 'other', server: 'a', outcome: 'refused', reason: 'deadline-exceeded',
		}), refused({reason: 'deadline-exceeded'})], cause: /^a did not answer in time, and answered no other request around then \(1 deadline-exceeded\)/u,
	},
	{
		name: 'a timeout before a server was found', lines: [refused({reason: 'deadline-exceeded', server: undefined})], cause: /^the time was up before a backend server was found$/u,
	},
	{
		name: 'two servers that failed the request', lines: [
			refused({
				reason: 'backend-failed', tried: [
					{
						server: 'b', why: 'cold', startedAfterMs: 0, heldMs: 40, outcome: 'b: ECONNRESET',
					},
					{
						server: 'a', why: 'warm', startedAfterMs: 50, heldMs: 90, outcome: 'answered 500',
					},
				],
			}),
		], cause: /^b: ECONNRESET; then a: answered 500; of a: it answered 0 other requests around then$/u,
	},
	{
		name: 'full servers during the evacuation of a failure domain',
		lines: [line(100, {event: 'evacuation-begun', subject: 'north-a'}), refused({reason: 'queue-timeout', detail: 'the shortest wait is 501 ms'})],
		cause: /^the shortest wait is 501 ms; failure domain north-a was being evacuated$/u,
	},
	{
		name: 'an instance that had just started while the store was unavailable',
		lines: [line(2000, {event: 'started'}), line(2100, {event: 'store-lost', detail: 'timeout'}), refused({reason: 'configuration-missing', detail: 'no configuration has arrived yet'})],
		cause: /started 1000 ms before; the store was unavailable to it: timeout$/u,
	},
	{
		name: 'the work of a request that no wait would have let in',
		lines: [refused({reason: 'deadline-unreachable', detail: 'too long', others: {expectedWaitMs: 0, expectedWorkMs: 4000, timeLeftMs: 2990}})],
		cause: /^too long; the work alone exceeds the 3000 ms that the request had; other requests of the service around then: 0 answered$/u,
	},
	{
		name: 'the wait of a request that would have been cut off, and what became of other requests of the service',
		lines: [
			{...answered(900), service: 'mail'},
			line(2600, {
				requestId: 'third', service: 'mail', outcome: 'refused', reason: 'capacity-short',
			}),
			refused({
				reason: 'deadline-unreachable', service: 'mail', detail: 'too long', others: {expectedWaitMs: 2800, expectedWorkMs: 400, timeLeftMs: 2990},
			}),
		],
		cause: /^too long; without the wait, it would have been answered in time; other requests of mail around then: 1 answered, 1 capacity-short$/u,
	},
	{
		name: 'the pressure at a service whose capacity is short',
		lines: [{...answered(900), service: 'mail'}, {...answered(900), service: 'ledger'}, refused({reason: 'organisation-share-exceeded', service: 'mail', detail: 'the capacity of mail is short (pressure 0.80)'})],
		cause: /^the capacity of mail is short \(pressure 0\.80\); other requests of mail around then: 1 answered$/u,
	},
	{
		name: 'a key that was not in the configuration that had just come into force',
		lines: [line(2400, {event: 'routes-in-force', subject: '7'}), refused({reason: 'unauthorised', server: undefined, detail: 'expected one key of an organisation'})],
		cause: /^expected one key of an organisation; version 7 of the configuration had been in force for 600 ms$/u,
	},
	{
		name: 'the detail of the request for any other reason', lines: [refused({reason: 'instance-full', detail: '512 requests are in progress here'})], cause: /^512 requests are in progress here$/u,
	},
	{
		name: 'the outcome of an answered request', lines: [refused({outcome: 'answered 200'})], cause: /^answered 200$/u,
	},
];

describe('findCause', () => {
	for (const {name, lines, cause} of causes) {
		it(`returns ${name}`, () => {
			const [analysis] = analyseRequest({lines, requestId});
			assert.match(findCause(analysis!), cause);
		});
	}
});

describe('analyseRequest', () => {
	it('merges equal changes of a server from several instances, and omits changes after the request or long before it', () => {
		const change = (afterMs: number, instance: string, detail: string): LogLine => line(afterMs, {
			event: 'server-changed', instance, subject: 'a', detail,
		});
		const [analysis] = analyseRequest({
			lines: [
				change(-60_000, 'gateway-1', 'added'),
				change(100, 'gateway-1', 'changed: draining'),
				change(120, 'gateway-2', 'changed: draining'),
				refused({}),
				change(3001, 'gateway-1', 'gone'),
			],
			requestId,
		});
		assert.deepEqual(analysis!.servers[0]!.changes, [{
			atMs: START_MS + 100, event: 'server-changed', detail: 'changed: draining', instances: 2,
		}]);
	});

	it('analyses each log line of a request that reached several instances', () => {
		assert.equal(analyseRequest({lines: [refused({}), refused({instance: 'gateway-2'})], requestId}).length, 2);
	});
});

const texts: ReadonlyArray<{readonly name: string; readonly text: string; readonly event: string | undefined}> = [
	{name: 'a line', text: '{"time":"2026-02-09T06:30:00.000Z","event":"started","instance":"gateway-1"}', event: 'started'},
	{name: 'a line with a prefix from a log collector', text: '12.345 gateway-1 | {"time":"2026-02-09T06:30:00.000Z","event":"started","instance":"gateway-1"}', event: 'started'},
	{name: 'a line with unknown fields', text: '{"time":"2026-02-09T06:30:00.000Z","event":"started","instance":"gateway-1","new":[1]}', event: 'started'},
	{name: 'text without a JSON object', text: 'gateway-1 was started', event: undefined},
	{name: 'a truncated object', text: '{"time":"2026-02-09T06:30:00.000Z","event":"sta', event: undefined},
	{name: 'an object without a time', text: '{"event":"started","instance":"gateway-1"}', event: undefined},
	{name: 'an object with a field of the wrong type', text: '{"time":"2026-02-09T06:30:00.000Z","event":"request","instance":"gateway-1","totalMs":"long"}', event: undefined},
];

describe('decodeLogLine', () => {
	for (const {name, text: input, event} of texts) {
		it(`${event === undefined ? 'skips' : 'decodes'} ${name}`, () => {
			assert.equal(decodeLogLine(input)?.event, event);
		});
	}
});

const toLines = (...fields: ReadonlyArray<Readonly<Record<string, unknown>>>): string => fields.map(line => `${JSON.stringify(line)}\n`).join('');

const first = toLines(
	{
		time: '2026-02-09T06:30:00.000Z', event: 'server-changed', instance: 'gateway-1', subject: 'a', detail: 'added: ready',
	},
	{
		time: '2026-02-09T06:30:02.000Z',
		event: 'request',
		instance: 'gateway-1',
		requestId,
		server: 'a',
		why: 'warm',
		outcome: 'refused',
		reason: 'backend-failed',
		detail: 'a: ECONNRESET',
		totalMs: 20,
		allowedMs: 3000,
	},
);
const second = `no line\n${toLines({
	time: '2026-02-09T06:30:01.000Z', event: 'server-changed', instance: 'gateway-2', subject: 'a', detail: 'added: ready',
})}`;

const budget = toLines({
	time: '2026-02-09T06:30:03.000Z', event: 'retry-budget', instance: 'gateway-1', service: 'ledger', taken: 3, most: 4.8, granted: 0,
});

const runs: ReadonlyArray<{readonly name: string; readonly words: readonly string[]; readonly isPiped?: boolean; readonly exitCode: number; readonly output: RegExp}> = [
	{
		name: 'explains a request from files',
		words: ['explain', 'request', requestId, 'FIRST', 'SECOND'],
		exitCode: 0,
		output: /cause: a: ECONNRESET.*\n.*\n.* server-changed, told by 2 instances: added: ready/u,
	},
	{
		name: 'explains a request from a pipe', words: ['explain', 'request', requestId], isPiped: true, exitCode: 0, output: /cause: a: ECONNRESET/u,
	},
	{
		name: 'explains a request as JSON', words: ['explain', 'request', requestId, 'FIRST', '--json'], exitCode: 0, output: /"cause":"a: ECONNRESET/u,
	},
	{
		name: 'reports that a request is not in the logs',
		words: ['explain', 'request', 'unknown', 'FIRST', 'SECOND'],
		exitCode: 1,
		output: /^unknown-request: unknown: not among 3 lines \(1 others skipped\)/u,
	},
	{
		name: 'reports a file that cannot be read', words: ['explain', 'request', requestId, 'no-such.log'], exitCode: 2, output: /^unreadable-file: no-such\.log: /u,
	},
	{
		name: 'merges logs ordered by time',
		words: ['events', 'read', 'FIRST', 'SECOND'],
		exitCode: 0,
		output: /^\S+ gateway-1 server-changed.*\n\S+ gateway-2 server-changed.*\n\S+ gateway-1 request .*\n1 lines that are not from a gateway's log were skipped/u,
	},
	{
		name: 'filters by subject', words: ['events', 'read', '--subject', 'a', '--instance', 'gateway-2', 'FIRST', 'SECOND'], exitCode: 0, output: /^\S+ gateway-2 server-changed a added: ready\n/u,
	},
	{
		name: 'filters by reason',
		words: ['events', 'read', '--reason', 'backend-failed', '--last', '5', 'FIRST'],
		exitCode: 0,
		output: new RegExp(`^\\S+ gateway-1 request ${requestId} a refused backend-failed 20 ms a: ECONNRESET\n$`, 'u'),
	},
	{
		name: 'shows fields that only one event has',
		words: ['events', 'read', '--event', 'retry-budget', 'BUDGET'],
		exitCode: 0,
		output: /^\S+ gateway-1 retry-budget ledger taken=3 most=4\.8 granted=0\n$/u,
	},
	{
		name: 'refuses a count that is not a number', words: ['events', 'read', '--last', 'many', 'FIRST'], exitCode: 2, output: /^bad-flag: --last: expected a whole number/u,
	},
];

describe('commands that read logs', () => {
	for (const {name, words, isPiped = false, exitCode, output} of runs) {
		it(name, async () => {
			const directory = await mkdtemp(path.join(tmpdir(), 'pomelopick-logs-'));
			const files: Record<string, string> = {FIRST: path.join(directory, 'first.log'), SECOND: path.join(directory, 'second.log'), BUDGET: path.join(directory, 'budget.log')};
			await writeFile(files.FIRST!, first);
			await writeFile(files.SECOND!, second);
			await writeFile(files.BUDGET!, budget);
			const printed = new PassThrough();
			const found = await createCli().run(words.map(word => files[word] ?? word), {stdin: Readable.from(isPiped ? [first] : []), stdout: printed, stderr: printed});
			printed.end();
			assert.match(await text(printed), output);
			assert.equal(found, exitCode);
			await rm(directory, {recursive: true});
		});
	}
});

const usageCases: ReadonlyArray<{readonly words: readonly string[]; readonly expected: RegExp | undefined}> = [
	{words: ['events', 'read', '--subject', 'a'], expected: undefined},
	{words: ['events', 'read', '--server', 'a'], expected: /^bad-flag: --server: unknown\nusage: pomelopick events read /u},
	{words: ['events', '--subject', 'a'], expected: /^bad-flag: --subject: unknown\nbad-flag: --instance: missing/u},
	{words: ['explain', 'request', 'an-id', 'a.log'], expected: undefined},
];

describe('describeUsageError', () => {
	for (const {words, expected} of usageCases) {
		it(`checks ${words.join(' ')} against the flags of the command that it names`, () => {
			const found = describeUsageError({cli: createCli(), words});
			if (expected) {
				assert.match(found ?? '', expected);
			} else {
				assert.equal(found, undefined);
			}
		});
	}
});
