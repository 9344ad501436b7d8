/** Guards against bytes that are counted twice or never released, and against responses that wait although bytes are free. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import * as fc from 'fast-check';
import {BufferBudget} from '@pomelopick/calls.forwarding';

const MAX_BYTES = 1_000_000;

describe('BufferBudget', () => {
	it('counts exactly what is reserved and held, and nothing after the last release', () => {
		const step = fc.record({call: fc.nat({max: 4}), act: fc.constantFrom('tryReserve', 'hold', 'releaseBytes', 'release'), bytes: fc.nat({max: 300_000})});
		fc.assert(fc.property(fc.array(step, {maxLength: 60}), steps => {
			const budget = new BufferBudget({most: MAX_BYTES});
			const calls = Array.from({length: 5}, () => ({
				reservation: budget.openReservation(), body: 0, response: 0, isReleased: false,
			}));
			for (const {call: index, act, bytes} of steps) {
				const call = calls[index]!;
				const wasReserved = act === 'tryReserve' && call.reservation.tryReserve(bytes);
				if (act !== 'tryReserve') {
					call.reservation[act](bytes);
				}

				if (wasReserved) {
					call.body += bytes;
				} else if (act === 'hold' && !call.isReleased) {
					call.response += bytes;
				} else if (act === 'releaseBytes') {
					call.response = Math.max(0, call.response - bytes);
				} else if (act === 'release') {
					Object.assign(call, {body: 0, response: 0, isReleased: true});
				}

				const responses = calls.reduce((sum, {response}) => sum + response, 0);
				assert.equal(budget.responseBytes, responses);
				assert.equal(budget.reservedBytes, responses + calls.reduce((sum, {body}) => sum + body, 0));
			}

			for (const {reservation} of calls) {
				reservation.release();
			}

			assert.equal(budget.reservedBytes, 0);
		}), {seed: 1});
	});

	it('counts what is expected of a response until it holds more, and again when it holds less', () => {
		const budget = new BufferBudget({most: MAX_BYTES});
		const reservation = budget.openReservation();
		const counted: number[] = [];
		for (const change of [
			() => {
				reservation.expect(100);
			},
			() => {
				reservation.hold(30);
			},
			() => {
				reservation.hold(120);
			},
			() => {
				reservation.releaseBytes(140);
			},
			() => {
				reservation.expect(0);
			},
			() => {
				reservation.release();
			},
		]) {
			change();
			counted.push(budget.responseBytes);
		}

		assert.deepEqual(counted, [100, 100, 150, 100, 10, 0]);
	});

	it('leaves room for small calls when large ones have used up their part', () => {
		const budget = new BufferBudget({most: MAX_BYTES});
		budget.openReservation().hold(700_000);
		assert.deepEqual([budget.hasRoom({isLarge: true}), budget.hasRoom({isLarge: false})], [false, true]);
	});

	it('tells a waiting response when others have released bytes, and none whose call has ended', async () => {
		const budget = new BufferBudget({most: MAX_BYTES});
		const [first, second, ended] = [budget.openReservation(), budget.openReservation(), budget.openReservation()];
		first.hold(240_000);
		second.hold(6000);
		assert.equal(second.mayReadAhead(), false);
		const told: string[] = [];
		ended.onceReleased(() => {
			told.push('ended');
		});
		ended.release();
		await new Promise<void>(resolve => {
			second.onceReleased(() => {
				told.push('second');
				resolve();
			});
			first.release();
			// The timer of the budget does not keep the process running.
			setTimeout(resolve, 1000);
		});
		assert.deepEqual([told, second.mayReadAhead()], [['second'], true]);
	});
});
