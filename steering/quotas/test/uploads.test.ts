/** The bound on uploads to one server, and how much of it is used, under any order of failures. */
import assert from 'node:assert/strict';
import process from 'node:process';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	ShareHistory, SHARDS, shardOfServer, ReservationTable, uploadBound,
} from '@pomelopick/steering.quotas';
import type {BackendServerName} from '@pomelopick/core.types';
import {
	anEvent, findOwner, INSTANCES, playAll,
} from './fleet-events.js';
import {ModelledFleet} from './modelled-fleet.js';
import {boundBytes, ModelledUploads, servers} from './modelled-uploads.js';

const RUNS = Number(process.env.POMELOPICK_RUNS ?? 150);
const SETTLE_MS = 20_000;
const LONGEST_MS = 6000;
const MB = 1_048_576;
const quota = {requestsPerSecond: 1, burst: 1};

function createFleet({longestMs = LONGEST_MS, isReleased = true} = {}): {readonly fleet: ModelledFleet; readonly uploads: ModelledUploads} {
	const fleet = new ModelledFleet({count: INSTANCES, quota, isGreedy: false});
	return {fleet, uploads: new ModelledUploads({fleet, longestMs, isReleased})};
}

// Guards against uploads that exceed a server's memory: reservations of a former owner that its successor does not know.
describe('the uploads to one server', () => {
	it('stay within its bound under any order of failures', () => {
		fc.assert(fc.property(fc.constantFrom(2000, LONGEST_MS, 30_000), fc.boolean(), fc.boolean(), fc.array(anEvent, {minLength: 4, maxLength: 30}), (longestMs, isReleased, isSettled, events) => {
			const {fleet, uploads} = createFleet({longestMs, isReleased});
			fleet.play(isSettled ? SETTLE_MS : 0);
			playAll({fleet, events});
			assert.ok(uploads.largestBytes <= boundBytes, `${uploads.largestBytes} bytes, bound ${boundBytes}`);
		}), {numRuns: Math.ceil(RUNS / 2)});
	});

	it('need not wait for the first claims of the shards', () => {
		const {fleet, uploads} = createFleet();
		fleet.play(600);
		assert.deepEqual(servers.map(server => uploads.sendingBytes(server)), servers.map(() => boundBytes));
	});

	it('use the whole bound without failures', () => {
		const {fleet, uploads} = createFleet();
		fleet.play(SETTLE_MS);
		for (let step = 0; step < 50; step += 1) {
			fleet.play(200);
			assert.deepEqual(servers.map(server => uploads.sendingBytes(server)), servers.map(() => boundBytes));
		}
	});

	it('wait only at the servers of the shard whose owner has changed, and use the whole bound afterwards', () => {
		const {fleet, uploads} = createFleet();
		fleet.play(SETTLE_MS);
		fleet.shutDown(findOwner({fleet, shard: 0})!);
		fleet.play(LONGEST_MS - 200);
		assert.deepEqual(servers.map(server => uploads.sendingBytes(server) > 0), [false, true, true, true]);
		fleet.play(LONGEST_MS);
		assert.deepEqual(servers.map(server => uploads.sendingBytes(server)), servers.map(() => boundBytes));
	});
});

describe('the smallest share of a time', () => {
	it('rises when the time for which grants last has passed, and falls at once', () => {
		const history = new ShareHistory();
		const shareAt = (nowMs: number): number => history.minimum({windowMs: 1000, nowMs});
		history.record({share: 1, isFirstOwner: false, nowMs: 5000});
		assert.deepEqual([shareAt(5999), history.waitLeftMs({windowMs: 1000, nowMs: 5999}), shareAt(6000)], [0, 1, 1]);
		history.record({share: 0.65, isFirstOwner: false, nowMs: 7000});
		history.record({share: 1, isFirstOwner: false, nowMs: 7200});
		assert.deepEqual([shareAt(7200), shareAt(8199), shareAt(8200)], [0.65, 0.65, 1]);
	});

	it('need not wait at the first owner of a shard', () => {
		const history = new ShareHistory();
		history.record({share: 0, isFirstOwner: false, nowMs: 0});
		history.record({share: 1, isFirstOwner: true, nowMs: 5000});
		assert.equal(history.minimum({windowMs: 1000, nowMs: 5000}), 1);
	});
});

const server = 'server-0' as BackendServerName;
const id = {instance: 'gateway-0', process: 1, upload: 1};

describe('reservations', () => {
	it('end by their release or their time, and name the time until there is room', () => {
		const book = new ReservationTable();
		const reserve = (upload: number, nowMs: number) => book.reserve({
			server, id: {...id, upload}, bytes: 6, maxBytes: 10, endMs: nowMs + 700, nowMs,
		});
		assert.deepEqual([reserve(1, 0), reserve(1, 0)], [{granted: true}, {granted: true}]);
		assert.deepEqual([reserve(2, 100), reserve(2, 699)], [{granted: false, retryAfterMs: 600}, {granted: false, retryAfterMs: 100}]);
		assert.deepEqual(reserve(2, 700), {granted: true});
		book.release({server, id: {...id, upload: 3}, nowMs: 800});
		assert.equal(reserve(3, 800).granted, false);
		book.release({server, id: {...id, upload: 2}, nowMs: 800});
		assert.equal(reserve(3, 800).granted, true);
		book.expire(1500);
		assert.equal(book.listBytes().size, 0);
	});

	it('are within half of the slots, rounded up', () => {
		const bounds = [1, 2, 3, 4, 7].map(slots => uploadBound({slots, maxBodyBytes: 64 * MB}) / MB);
		assert.deepEqual(bounds, [64, 64, 128, 128, 256]);
	});

	it('are spread over all shards', () => {
		const used = new Set(Array.from({length: 100}, (_, index) => shardOfServer(`i-${index}` as BackendServerName)));
		assert.equal(used.size, SHARDS);
	});
});
