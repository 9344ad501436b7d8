import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import type {ConfigurationSet, RegionName, Service} from '@pomelopick/core.types';
import {LinkBudget, linkShareBytesPerSecond} from '@pomelopick/steering.links';

const SEED = 7;
const BYTES_PER_SECOND = 35_000_000;
const NARROW_BYTES_PER_SECOND = 5_000_000;

describe('LinkBudget', () => {
	it('allows no more bytes than the link carries, plus a burst of a tenth of a second', () => {
		fc.assert(fc.property(fc.array(fc.record({bytes: fc.integer({min: 1, max: 500_000}), passedMs: fc.integer({min: 0, max: 50})}), {maxLength: 400}), answers => {
			const link = new LinkBudget({bytesPerSecond: NARROW_BYTES_PER_SECOND, nowMs: 0});
			let nowMs = 0;
			let sent = 0;
			for (const {bytes, passedMs} of answers) {
				nowMs += passedMs;
				sent += link.tryTake({bytes, nowMs}) ? bytes : 0;
				assert.ok(sent <= NARROW_BYTES_PER_SECOND * (nowMs + 100) / 1000, `${sent} bytes after ${nowMs} ms`);
			}
		}), {seed: SEED, numRuns: 300});
	});

	it('accepts an answer larger than the burst when the bucket is full, and the next one only after refilling', () => {
		const link = new LinkBudget({bytesPerSecond: 1000, nowMs: 0});
		assert.ok(link.tryTake({bytes: 1000, nowMs: 0}));
		assert.equal(link.tryTake({bytes: 1, nowMs: 800}), false);
		assert.ok(link.tryTake({bytes: 1, nowMs: 1000}));
	});
});

describe('linkShareBytesPerSecond', () => {
	it('gives all services together the capacity of the link, and more to interactive ones', () => {
		const services = [{name: 'ledger', priority: 'interactive'}, {name: 'history', priority: 'deferrable'}] as unknown as Service[];
		const [from, to] = ['highland', 'central'] as unknown as [RegionName, RegionName];
		const set = {services, links: [{between: [to, from], megabitsPerSecond: 280}]} as unknown as ConfigurationSet;
		const shares = services.map(service => linkShareBytesPerSecond({
			set, service, from, to,
		})!);
		assert.equal(shares.reduce((sum, share) => sum + share, 0), BYTES_PER_SECOND);
		assert.ok(shares[0]! > shares[1]!);
		assert.equal(linkShareBytesPerSecond({
			set, service: services[0]!, from, to: 'borders' as RegionName,
		}), undefined);
	});
});
