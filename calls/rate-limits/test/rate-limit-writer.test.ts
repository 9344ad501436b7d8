import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {EitherAsync, Left, Right} from 'purify-ts';
import {RateLimitWriter} from '@pomelopick/calls.rate-limits';
import type {BackendServerName} from '@pomelopick/core.types';
import type {KeyValueStore, LeaseId, StoreError} from '@pomelopick/platform.store';
import type {RateLimitRecord} from '@pomelopick/steering.servers';

const record = (changes: Partial<RateLimitRecord> = {}): RateLimitRecord => ({
	name: 'a' as BackendServerName, startedAtMs: 1, requestsPerSecond: 2, version: 1, ...changes,
});

/** A writer whose pauses advance the virtual time; it is stopped at a time. */
function createFixture({records, isOwner = true, untilMs, isStoreDown = () => false}: {
	readonly records: (nowMs: number) => readonly RateLimitRecord[];
	readonly isOwner?: boolean;
	readonly untilMs: number;
	readonly isStoreDown?: (nowMs: number) => boolean;
}) {
	let nowMs = 0;
	let leases = 0;
	const written: Array<{atMs: number; version: number}> = [];
	const call = <Value>(value: () => Value): EitherAsync<StoreError, Value> => EitherAsync.liftEither(isStoreDown(nowMs) ? Left({code: 'unavailable', message: 'down'}) : Right(value()));
	const store = {
		grantLease: () => call(() => {
			leases += 1;
			return `lease-${leases}` as LeaseId;
		}),
		put: ({value}: {readonly value: Uint8Array}) => call(() => {
			written.push({atMs: nowMs, version: (JSON.parse(new TextDecoder().decode(value)) as RateLimitRecord).version});
		}),
	} as unknown as KeyValueStore;
	const writer: RateLimitWriter = new RateLimitWriter({
		store,
		listRecords: () => records(nowMs),
		isOwner: () => isOwner,
		onFailure() {/* It is tried again. */},
		async sleep(milliseconds) {
			nowMs += milliseconds;
			if (nowMs >= untilMs) {
				writer.stop();
			}
		},
		now: () => nowMs,
	});
	return {
		writer, written, countLeases: () => leases, now: () => nowMs,
	};
}

describe('RateLimitWriter', () => {
	it('neither writes nor waits while no server has named a limit', async () => {
		const {writer, written, now} = createFixture({records: () => [], untilMs: 60_000});
		await writer.run();
		assert.deepEqual({written, nowMs: now()}, {written: [], nowMs: 0});
	});

	it('writes a limit at once, and again every 30 seconds under a lease that is new enough', async () => {
		const {writer, written, countLeases} = createFixture({records: () => [record()], untilMs: 70_000});
		await writer.run();
		assert.deepEqual(written.map(({atMs}) => atMs), [0, 30_000, 60_000]);
		assert.equal(countLeases(), 3);
	});

	it('writes the end of a limit once and then stops', async () => {
		const {writer, written, now} = createFixture({
			records: nowMs => [nowMs < 5000 ? record() : record({requestsPerSecond: undefined, version: 2})], untilMs: 60_000,
		});
		await writer.run();
		assert.deepEqual(written, [{atMs: 0, version: 1}, {atMs: 5000, version: 2}]);
		assert.ok(now() < 10_000, String(now()));
	});

	it('writes the newest record once the store is back', async () => {
		const {writer, written} = createFixture({
			records: nowMs => [record({version: nowMs < 3000 ? 1 : 2})], untilMs: 12_000, isStoreDown: nowMs => nowMs < 9000,
		});
		await writer.run();
		assert.deepEqual(written, [{atMs: 9000, version: 2}]);
	});

	it('leaves the records of other owners, and those that the store has, alone', async () => {
		const other = createFixture({records: () => [record()], isOwner: false, untilMs: 10_000});
		await other.writer.run();
		const stored = createFixture({records: () => [record()], untilMs: 10_000});
		stored.writer.observe(record());
		await stored.writer.run();
		assert.deepEqual([other.written, stored.written], [[], []]);
	});
});
