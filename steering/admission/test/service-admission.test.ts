import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fastCheck from 'fast-check';
import type {OrganisationName, ServiceName} from '@pomelopick/core.types';
import {maxMinLevel, ServiceAdmission} from '@pomelopick/steering.admission';
import type {DecideOptions} from '@pomelopick/steering.admission';
import type {ServiceDemand} from '@pomelopick/steering.loads';
import type {PlacementRefusal} from '@pomelopick/steering.objects';

const MAX_WAIT_MS = 320;
const TARGET_MS = 400;
const WORK_MS = 50;

interface Asked {
	readonly waitMs: number;
	readonly nowMs: number;
	readonly priority?: number;
	readonly organisation?: string;
	readonly targetLeftMs?: number;
}

function ask(admission: ServiceAdmission, {waitMs, nowMs, priority = 0, organisation = 'a', targetLeftMs = TARGET_MS}: Asked): PlacementRefusal | undefined {
	const options: DecideOptions = {
		service: 'ledger' as ServiceName,
		priority,
		holder: organisation as OrganisationName,
		estimate: {
			waitMs, expectedMs: waitMs + WORK_MS, maxWaitMs: MAX_WAIT_MS, reliableTimes: undefined,
		},
		targetMs: TARGET_MS,
		targetLeftMs,
		earlierRefusal: undefined,
		nowMs,
		random: 0,
	};
	return admission.decide(options);
}

/** Asks for requests of several priorities in turn, one each 10 ms; returns the share of each priority that was not refused. */
function askInTurn({waitMs, requests = 600}: {readonly waitMs: number; readonly requests?: number}): readonly number[] {
	const admission = new ServiceAdmission(0);
	const admitted = [0, 0, 0];
	for (let index = 0; index < requests; index += 1) {
		const priority = index % admitted.length;
		admitted[priority]! += Number(!ask(admission, {
			waitMs, nowMs: index * 10, priority, organisation: `organisation-${priority}`,
		}));
	}

	return admitted.map(count => count * admitted.length / requests);
}

describe('ServiceAdmission', () => {
	const waits: ReadonlyArray<{readonly name: string; readonly waitMs: number; readonly refused: readonly boolean[]}> = [
		{name: 'nothing without a wait', waitMs: 0, refused: [false, false, false]},
		{name: 'nothing at waits that come from requests that arrive together', waitMs: 0.2 * MAX_WAIT_MS, refused: [false, false, false]},
		{name: 'nothing at waits after which requests are answered in time', waitMs: 0.45 * MAX_WAIT_MS, refused: [false, false, false]},
		{name: 'the least urgent priority at longer waits', waitMs: 0.75 * MAX_WAIT_MS, refused: [false, false, true]},
		{name: 'all but the most urgent priority near the maximum wait', waitMs: 0.85 * MAX_WAIT_MS, refused: [false, true, true]},
	];
	for (const {name, waitMs, refused} of waits) {
		it(`refuses ${name}`, () => {
			assert.deepEqual(askInTurn({waitMs}).map(share => share < 1), refused);
		});
	}

	it('leaves every priority a share, so that none starves', () => {
		const shares = askInTurn({waitMs: 0.95 * MAX_WAIT_MS});
		const mean = shares.reduce((sum, share) => sum + share, 0) / shares.length;
		for (const share of shares) {
			assert.ok(share >= 0.25 * mean, `admitted ${share}, on average ${mean}`);
		}
	});

	it('refuses first what an organisation sends above its usual, and nothing of the others', () => {
		const admission = new ServiceAdmission(0);
		const refused = new Map<string, number>();
		for (let nowMs = 0; nowMs < 16_000; nowMs += 20) {
			const isRise = nowMs >= 10_000;
			const names = isRise ? ['a', 'b', 'c', 'd', 'a', 'a', 'a', 'a', 'a', 'a'] : ['a', 'b', 'c', 'd'];
			for (const organisation of names) {
				const refusal = ask(admission, {waitMs: isRise ? 0.6 * MAX_WAIT_MS : 0, nowMs, organisation});
				if (refusal) {
					assert.equal(refusal.reason, 'organisation-share-exceeded');
					refused.set(organisation, (refused.get(organisation) ?? 0) + 1);
				}
			}
		}

		assert.deepEqual([...refused.keys()], ['a']);
		assert.ok(refused.get('a')! > 500, `refused ${refused.get('a')} of 2100`);
	});

	// Guards against a rise that no single instance can tell from random variation, and against decisions by sums of long ago.
	const fleetRates: ReadonlyArray<{readonly name: string; readonly rate: number; readonly ageMs: number; readonly isRefused: boolean}> = [
		{
			name: 'refuses what an organisation sends above its usual at all instances', rate: 112, ageMs: 1500, isRefused: true,
		},
		{
			name: 'refuses nothing of an organisation that sends its usual', rate: 20, ageMs: 1500, isRefused: false,
		},
		{
			name: 'decides by its own measurements when the sums are old', rate: 112, ageMs: 1501, isRefused: false,
		},
	];
	for (const {name, rate, ageMs, isRefused} of fleetRates) {
		it(name, () => {
			const admission = new ServiceAdmission(0);
			for (let nowMs = 0; nowMs < 20_000; nowMs += 2000) {
				ask(admission, {waitMs: 0.6 * MAX_WAIT_MS, nowMs});
			}

			const others = Array.from({length: 23}, (_, index) => ({holder: `other-${index}` as OrganisationName, usualRate: 16, rates: new Map([[0, 16]])}));
			const demand: ServiceDemand = {
				service: 'ledger' as ServiceName,
				priorities: [{priority: 0, offeredRate: 368 + rate, admittedRate: 420}],
				organisations: [{holder: 'a' as OrganisationName, usualRate: 16, rates: new Map([[0, rate]])}, ...others],
			};
			admission.applyFleetDemand({demand, liveInstances: 1, nowMs: 20_000});
			// So few requests that this instance's mean shortage is still low, while the waits of the requests are long.
			const refused = Array.from({length: 2}, () => ask(admission, {waitMs: 0.6 * MAX_WAIT_MS, nowMs: 20_000 + ageMs})).filter(refusal => refusal !== undefined);
			assert.equal(refused.length > 0, isRefused);
		});
	}

	// Guards against urgent requests that are refused at long estimates while less urgent ones pass at short ones, and against refusals at servers that have room after all.
	const surplusWaits: ReadonlyArray<{readonly name: string; readonly waitShare: number; readonly isRefused: boolean}> = [
		{
			name: 'refuses what exceeds the capacity of the fleet by priority, not by the waits that it sees', waitShare: 0.55, isRefused: true,
		},
		{
			name: 'refuses nothing that exceeds the capacity of the fleet where less than half of the longest wait is expected', waitShare: 0.45, isRefused: false,
		},
	];
	for (const {name, waitShare, isRefused} of surplusWaits) {
		it(name, () => {
			const admission = new ServiceAdmission(0);
			const reasons = [0, 0, 0].map(() => new Set<string | undefined>());
			const refused = [0, 0, 0];
			const fleetDemand: ServiceDemand = {
				service: 'ledger' as ServiceName,
				priorities: refused.map((_, priority) => ({priority, offeredRate: 100, admittedRate: 66})),
				organisations: [],
				flow: {answeredRate: 200, waitRate: 90, instances: 12},
			};
			for (let nowMs = 0; nowMs < 20_000; nowMs += 100) {
				const priority = (nowMs / 100) % refused.length;
				admission.applyFleetDemand({demand: fleetDemand, liveInstances: 12, nowMs});
				const refusal = ask(admission, {
					waitMs: (priority === 0 ? 0.9 : waitShare) * MAX_WAIT_MS, nowMs, priority, organisation: `organisation-${priority}`, targetLeftMs: -TARGET_MS,
				});
				refused[priority]! += Number(refusal !== undefined);
				reasons[priority]!.add(refusal?.reason);
			}

			const lessUrgent = isRefused ? ['capacity-short'] : [];
			assert.deepEqual(reasons.map(some => [...some].filter(Boolean)), [[], lessUrgent, lessUrgent]);
			assert.ok(!isRefused || (refused[1]! < 0.35 * 67 && refused[2]! > 0.6 * 67), refused.join(', '));
		});
	}

	it('tells other instances what it measures', () => {
		const admission = new ServiceAdmission(0);
		for (let nowMs = 0; nowMs < 10_000; nowMs += 100) {
			ask(admission, {waitMs: 0.5 * MAX_WAIT_MS, nowMs});
			admission.recordSend({isRejected: nowMs % 1000 === 0, nowMs});
		}

		const {priorities: [priority], organisations: [organisation], flow} = admission.measureDemand({service: 'ledger' as ServiceName, nowMs: 10_000});
		for (const rate of [priority!.offeredRate, priority!.admittedRate, organisation!.usualRate, organisation!.rates.get(0)!]) {
			assert.ok(Math.abs(rate - 10) < 1, `${rate} a second of 10`);
		}

		assert.ok(Math.abs(flow!.answeredRate - 9) < 1 && Math.abs(flow!.waitRate - 5) < 0.5 && flow!.instances === 1, JSON.stringify(flow));
	});

	it('does not take a new or a small organisation for one that rises', () => {
		const admission = new ServiceAdmission(0);
		for (let nowMs = 0; nowMs < 20_000; nowMs += 20) {
			ask(admission, {waitMs: 0.6 * MAX_WAIT_MS, nowMs, organisation: 'large'});
			const isSmallDue = nowMs % 1000 === 0 && nowMs > 10_000;
			assert.equal(isSmallDue ? ask(admission, {waitMs: 0.6 * MAX_WAIT_MS, nowMs, organisation: 'small'}) : undefined, undefined);
		}
	});

	it('refuses requests that miss their target before those of the same priority that do not', () => {
		const admission = new ServiceAdmission(0);
		const refused = {late: 0, timely: 0};
		for (let nowMs = 0; nowMs < 4000; nowMs += 20) {
			refused.late += Number(ask(admission, {waitMs: 0.75 * MAX_WAIT_MS, nowMs, targetLeftMs: -TARGET_MS}) !== undefined);
			refused.timely += Number(ask(admission, {waitMs: 0.75 * MAX_WAIT_MS, nowMs}) !== undefined);
		}

		assert.equal(refused.timely, 0);
		assert.ok(refused.late > 100, `refused ${refused.late} of 200`);
	});

	it('asks callers to stay away longer the higher the pressure is', () => {
		const retryAfterMs = [0.5, 0.6, 0.7].map(share => {
			const admission = new ServiceAdmission(0);
			let last = 0;
			for (let nowMs = 0; nowMs < 3000; nowMs += 10) {
				const isLong = nowMs % 100 === 0;
				const refusal = ask(admission, {waitMs: (isLong ? 0.99 : share) * MAX_WAIT_MS, nowMs, priority: isLong ? 5 : 0});
				last = refusal?.retryAfterMs ?? last;
			}

			return last;
		});
		assert.ok(retryAfterMs[0]! >= 200);
		assert.ok(retryAfterMs[0]! < retryAfterMs[1]! && retryAfterMs[1]! < retryAfterMs[2]!, retryAfterMs.join(', '));
	});

	it('measures pressure from rejections and closed servers too, and forgets it within seconds', () => {
		const rejected = new ServiceAdmission(0);
		const closed = new ServiceAdmission(0);
		for (let nowMs = 0; nowMs < 1000; nowMs += 10) {
			rejected.recordSend({isRejected: true, nowMs});
			closed.recordUnplaced(nowMs);
		}

		for (const admission of [rejected, closed]) {
			assert.equal(admission.pressure(1000), 1);
			assert.ok(admission.pressure(10_000) < 0.01);
		}
	});

	it('never refuses a request without a wait, however high the pressure', () => {
		const event = fastCheck.record({
			stepMs: fastCheck.nat({max: 500}), waitMs: fastCheck.constantFrom(0, 100, 300, 900), priority: fastCheck.nat({max: 3}), organisation: fastCheck.constantFrom('a', 'b', 'c'), targetLeftMs: fastCheck.integer({min: -1000, max: 1000}),
		});
		fastCheck.assert(fastCheck.property(fastCheck.array(event, {maxLength: 200}), events => {
			const admission = new ServiceAdmission(0);
			let nowMs = 0;
			for (const {stepMs, ...asked} of events) {
				nowMs += stepMs;
				assert.ok(asked.waitMs > 0 || ask(admission, {...asked, nowMs}) === undefined);
			}
		}));
	});
});

describe('maxMinLevel', () => {
	it('cuts demands so that they add up to the capacity, and none that fits', () => {
		fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.nat({max: 1000}), {minLength: 1}), fastCheck.nat({max: 5000}), (demands, capacity) => {
			const level = maxMinLevel({demands, capacity});
			const total = demands.reduce((sum, demand) => sum + Math.min(demand, level), 0);
			const demanded = demands.reduce((sum, demand) => sum + demand, 0);
			assert.ok(Math.abs(total - Math.min(demanded, capacity)) < 1e-6);
			assert.ok(level >= (capacity / demands.length) - 1e-9);
		}));
	});
});
