/** Guards against uploads that are sent without their bytes being reserved, and against one that is lost because one server has no room. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {Left, Right} from 'purify-ts';
import type {ReservedUpload, UploadRefusal} from '@pomelopick/calls.uploads';
import {createScriptedRun, createWait, settle} from './scripted-run.js';

const SERVERS = 3;

function refusalAfter(retryAfterMs: number | undefined): UploadRefusal {
	return {reason: retryAfterMs === undefined ? 'owner-unreachable' : 'no-room', retryAfterMs, detail: 'refused'};
}

const refusalCases: ReadonlyArray<{readonly name: string; readonly retriesMs: ReadonlyArray<number | undefined>; readonly expectedMs: number}> = [
	{name: 'the shortest time after which one may have room', retriesMs: [900, 200, 300], expectedMs: 200},
	{name: 'the only time that is known', retriesMs: [undefined, 400, undefined], expectedMs: 400},
	{name: 'a second if no owner answered', retriesMs: [undefined, undefined, undefined], expectedMs: 1000},
];

describe('an upload', () => {
	it('whose body is not complete goes to the next server when the first has no room, and ends its reservation when it is answered', async () => {
		const reservedAt: string[] = [];
		let ends = 0;
		const {run, sends} = createScriptedRun({
			repeatability: 'at-most-once', reserveUpload({server, bytes}) {
				reservedAt.push(`${server} ${bytes}`);
				return reservedAt.length === 1
					? Left(refusalAfter(100))
					: Right({
						end() {
							ends += 1;
						},
					});
			},
		});
		const running = run.run();
		await settle();
		assert.deepEqual(reservedAt, ['server-0 64', 'server-1 64']);
		await sends[0]!.connect();
		assert.deepEqual([sends.map(({server}) => server), ends], [['server-1'], 0]);
		sends[0]!.respond({status: 200, headers: {'request-id': 'request-1', stamp: 'server-1.request-1'}});
		const result = await running;
		assert.deepEqual([result.isRight(), ends], [true, 1]);
	});

	for (const {name, retriesMs, expectedMs} of refusalCases) {
		it(`that all servers refuse is told ${name}`, async () => {
			let asked = 0;
			const {run, sends} = createScriptedRun({
				repeatability: 'at-most-once', reserveUpload() {
					asked += 1;
					return Left(refusalAfter(retriesMs[asked - 1]));
				},
			});
			const result = await run.run();
			const {reason, execution, retryAfterMs} = result.swap().unsafeCoerce();
			assert.deepEqual([asked, sends.length, reason, execution, retryAfterMs], [SERVERS, 0, 'instance-full', 'not-run', expectedMs]);
		});
	}

	it('whose caller leaves while the owner is asked is not sent, and ends its reservation', async () => {
		let ends = 0;
		const wait = createWait<ReservedUpload>();
		const {run, sends} = createScriptedRun({repeatability: 'at-most-once', reserveUpload: async () => wait.promise});
		const running = run.run();
		await settle();
		run.leave();
		wait.end(Right({
			end() {
				ends += 1;
			},
		}));
		await running;
		assert.deepEqual([sends.length, ends], [0, 1]);
	});

	it('is aborted after a suspension of the process', async () => {
		let ends = 0;
		const {run, sends, uploads} = createScriptedRun({
			repeatability: 'at-most-once', reserveUpload: () => Right({
				end() {
					ends += 1;
				},
			}),
		});
		const running = run.run();
		await settle();
		await sends[0]!.connect();
		uploads.recordSuspension();
		const result = await running;
		assert.deepEqual([result.swap().unsafeCoerce().execution, sends.length, sends[0]!.isAborted, ends, uploads.count], ['unknown', 1, true, 1, 0]);
	});
});
