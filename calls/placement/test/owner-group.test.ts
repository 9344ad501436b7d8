import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {
	ConfigurationSet, InstanceId, RegionName, Service,
} from '@pomelopick/core.types';
import {Cancellation} from '@pomelopick/calls.forwarding';
import {OwnerGroup} from '@pomelopick/calls.placement';
import type {SlotAnswer} from '@pomelopick/calls.placement';

const SLOTS = 4;
const HOLD_MS = 1000;
const PATIENCE_MS = 250;
const region = 'highland' as RegionName;
const service = {
	name: 'ledger', priority: 'interactive', queueCalls: 64, answerBytes: 1000,
} as unknown as Service;
const set = {
	regions: [{name: region}],
	failureDomains: [{name: 'highland-a', region}],
	sites: [{name: 'site', failureDomain: 'highland-a'}],
	services: [service],
	backendServers: [{
		name: 'ledger-1', service: 'ledger', site: 'site', slots: SLOTS,
	}],
	drains: [],
	links: [],
} as unknown as ConfigurationSet;

interface RequestOptions {
	readonly isHedge?: boolean;
	readonly isLastChoice?: boolean;
	readonly patienceMs?: number;
}

/** A group of four slots with a simulated clock. */
class GroupScenario {
	#nowMs = 0;
	#requestCount = 0;
	readonly #answers: Array<Promise<SlotAnswer>> = [];
	readonly #group = new OwnerGroup({
		set, service, region, now: () => this.#nowMs, draw: () => 0, admitShift: () => undefined, onSpillEnd() {/* No calls come from other regions. */},
	});

	/** Raises the number of proven slots to all slots of the server by serving calls one after the other. */
	async prove(): Promise<void> {
		this.#nowMs += HOLD_MS;
		for (let index = 0; index < SLOTS * 2; index += 1) {
			const slotId = this.requestSlot();
			this.#nowMs += HOLD_MS;
			this.release(slotId);
		}
	}

	/** Requests a slot and returns its id. */
	requestSlot({isHedge = false, isLastChoice = false, patienceMs = PATIENCE_MS}: RequestOptions = {}): string {
		this.#requestCount += 1;
		const slotId = `slot-${this.#requestCount}`;
		this.#answers.push(this.#group.acquire({
			request: {
				slotId,
				asker: 'instance' as InstanceId,
				caller: `caller-${this.#requestCount}`,
				fromRegion: region,
				patienceMs,
				timeLeftMs: 60_000,
				avoidServers: new Set(),
				avoidDomains: new Set(),
				isSubstitute: false,
				isHedge,
				isLastChoice,
			},
			cancellation: new Cancellation(),
		}));
		return slotId;
	}

	/** Releases a slot of a call that was answered. */
	release(slotId: string): void {
		this.#group.release({slotId, end: 'answered'});
	}

	/** Advances the clock. */
	advance(milliseconds: number): void {
		this.#nowMs += milliseconds;
	}

	/** State of the last request: the server that it got, the reason of its refusal, or `waits`. */
	async lastResult(): Promise<string> {
		const answer = await Promise.race([this.#answers.at(-1)!, new Promise<undefined>(resolve => {
			setImmediate(resolve, undefined);
		})]);
		return answer === undefined ? 'waits' : answer.caseOf({Left: ({reason}) => reason, Right: ({server}) => server as string});
	}
}

describe('OwnerGroup', () => {
	const cases: ReadonlyArray<{readonly name: string; readonly inUse: number; readonly waiting: number; readonly waitedMs?: number; readonly request: RequestOptions; readonly expected: string}> = [
		{
			name: 'grants a hedge an idle slot', inUse: 1, waiting: 0, request: {isHedge: true, isLastChoice: true}, expected: 'ledger-1',
		},
		{
			name: 'does not grant the last slots to hedges', inUse: 3, waiting: 0, request: {isHedge: true, isLastChoice: true}, expected: 'region-headroom-exhausted',
		},
		{
			name: 'does not queue hedges', inUse: 4, waiting: 0, request: {isHedge: true, isLastChoice: true}, expected: 'region-headroom-exhausted',
		},
		{
			name: 'grants the last slot to a first attempt', inUse: 3, waiting: 0, request: {}, expected: 'ledger-1',
		},
		{
			name: 'queues a call that waits for one slot to be released', inUse: 4, waiting: 0, request: {isLastChoice: true}, expected: 'waits',
		},
		{
			name: 'queues a burst up to a wait of one mean hold time', inUse: 4, waiting: 3, request: {isLastChoice: true}, expected: 'waits',
		},
		{
			name: 'refuses a call at once when a burst exceeds that wait', inUse: 4, waiting: 4, request: {isLastChoice: true}, expected: 'queue-full',
		},
		{
			name: 'refuses a call at once when it may go to another region', inUse: 4, waiting: 3, request: {isLastChoice: false}, expected: 'queue-full',
		},
		{
			name: 'refuses a call at once when the queue has not been empty for a long time', inUse: 4, waiting: 3, waitedMs: (2 * HOLD_MS) + 1, request: {isLastChoice: true}, expected: 'queue-full',
		},
	];
	for (const {name, inUse, waiting, waitedMs = 0, request, expected} of cases) {
		it(name, async () => {
			const scenario = new GroupScenario();
			await scenario.prove();
			for (let index = 0; index < inUse + waiting; index += 1) {
				scenario.requestSlot({isLastChoice: true});
			}

			scenario.advance(waitedMs);
			scenario.requestSlot(request);
			assert.equal(await scenario.lastResult(), expected);
		});
	}
});
