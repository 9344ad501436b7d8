import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {checkUploads, runUploadRound, uploadBound} from '@pomelopick/testing.gateway-soak';
import type {UploadRecord} from '@pomelopick/testing.gateway-soak';

const SEED = 40_517;
const DURATION_MS = 12_000;
/** Bound of a server of three slots and bodies of up to 100 bytes: two of the largest. */
const boundBytes = uploadBound({slots: 3, maxBodyBytes: 100});

const upload = (bytes: number, fromMs: number, toMs: number, server = 'a'): UploadRecord => ({
	requestId: `${server}-${fromMs}`, server, bytes, fromMs, toMs,
});

const cases: ReadonlyArray<{name: string; uploads: readonly UploadRecord[]; violating: readonly string[]}> = [
	{name: 'two of the maximum size at once', uploads: [upload(100, 0, 900), upload(100, 10, 800)], violating: []},
	{name: 'one after the other in the place of one', uploads: [upload(100, 0, 5000), upload(100, 10, 800), upload(100, 800, 2000)], violating: []},
	{name: 'several small ones in the place of one', uploads: [upload(100, 0, 900), upload(50, 10, 800), upload(50, 20, 800)], violating: []},
	{name: 'one byte too many', uploads: [upload(100, 0, 900), upload(50, 10, 800), upload(51, 20, 800)], violating: ['a-20']},
	{name: 'too many at servers of their own', uploads: [upload(100, 0, 900), upload(100, 10, 900), upload(100, 20, 900, 'b')], violating: []},
	{name: 'the next one before the close of an aborted one was seen', uploads: [upload(100, 0, 900), upload(100, 10, 900), upload(100, 700, 1500)], violating: []},
	{name: 'too many in turns, each for a short time', uploads: [upload(100, 0, 900), upload(100, 10, 900), upload(100, 100, 300), upload(100, 250, 450), upload(100, 400, 600)], violating: ['a-100']},
	{name: 'too many at two times', uploads: [upload(200, 0, 9000), upload(1, 100, 900), upload(1, 5000, 6000)], violating: ['a-100', 'a-5000']},
];

describe('the check of uploads', () => {
	for (const {name, uploads, violating} of cases) {
		it(`${violating.length === 0 ? 'accepts' : 'reports'} ${name}`, () => {
			const found = checkUploads({uploads, boundBytes});
			assert.deepEqual(found.map(({requestId}) => requestId), violating);
			assert.ok(found.every(({kind}) => kind === 'upload-bytes'));
		});
	}
});

// Guards against a server that ends because the uploads of all gateways exceed its memory, when owners of its shard change or lose the store.
it(`uploads stay within the bound of each server while gateways are killed and the store is unavailable (seed ${SEED})`, async () => {
	const {violations, largest, bound, statuses, faults} = await runUploadRound({seed: SEED, durationMs: DURATION_MS});
	assert.deepEqual(violations, [], faults.join(', '));
	assert.ok(faults.includes('kill') && faults.some(name => name.startsWith('store-')), faults.join(', '));
	assert.ok((statuses[200] ?? 0) > 0 && largest > bound / 2, `${JSON.stringify(statuses)}, at most ${largest} bytes of ${bound} were held at once`);
});
