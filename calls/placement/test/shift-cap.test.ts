import assert from 'node:assert/strict';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {callDirectly} from '@pomelopick/testing.callers';
import type {DirectResponse} from '@pomelopick/testing.callers';
import {popescuVlad, startFleet} from '@pomelopick/testing.fleet';
import type {Deployment, EntryProcess, Fleet} from '@pomelopick/testing.fleet';

const CAP_CALLS_PER_SECOND = 8;
const CALL_INTERVAL_MS = 25;
const FAULT_AT_CALL = 120;
const WINDOW_MS = 1000;
/** Number of calls that take longer than a grant lasts. */
const PAST_GRANT_CALLS = 900;
const small: Deployment = {
	...popescuVlad,
	services: [{
		name: 'archive', priority: 'interactive', servers: 3, slots: 3,
	}],
};

/** A fleet with one shift from transilvania to muntenia. */
class ShiftedFleet {
	#fleet: Fleet | undefined;
	#directory = '';

	get fleet(): Fleet {
		return this.#fleet!;
	}

	/** Instances in the target region of the shift; one of them owns the slots of that region. */
	get owners(): readonly EntryProcess[] {
		return this.fleet.entries.filter(({instance}) => instance.failureDomain.startsWith('muntenia'));
	}

	/** Instances in the source region of the shift. */
	get senders(): readonly EntryProcess[] {
		return this.fleet.entries.filter(({instance}) => instance.failureDomain.startsWith('transilvania'));
	}

	get #cutFile(): string {
		return path.join(this.#directory, 'cut');
	}

	async start(): Promise<void> {
		this.#directory = await mkdtemp(path.join(tmpdir(), 'pomelopick-cut-'));
		this.#fleet = await startFleet({
			entryModule: fileURLToPath(new URL('cut-entry-main.js', import.meta.resolve('@pomelopick/testing.fleet'))),
			entryArguments: [this.#cutFile],
			deployment: small, entries: 4, behaviour: {workMs: 20}, adjustSet: set => ({
				...set, shifts: [{
					name: 'ease', service: 'archive', from: 'transilvania', to: 'muntenia', capCallsPerSecond: CAP_CALLS_PER_SECOND,
				}],
			}),
		});
	}

	async stop(): Promise<void> {
		await this.fleet.stop();
		await rm(this.#directory, {recursive: true});
	}

	/** Blocks or restores the requests of all instances for slots that other instances own. */
	async cut(isCut: boolean): Promise<void> {
		await (isCut ? writeFile(this.#cutFile, '') : rm(this.#cutFile));
	}

	/** Calls at a steady rate, through the senders in turn; `at` is called with the number of each call. */
	async load({calls, at}: {readonly calls: number; readonly at: (call: number) => Promise<void>}): Promise<void> {
		const records: Array<Promise<DirectResponse>> = [];
		for (let index = 0; index < calls; index += 1) {
			const {callers} = this.senders[index % this.senders.length]!.instance;
			records.push(callDirectly({
				endpoint: callers, service: 'archive', path: `/shifted?n=${index}`, timeoutMs: 4000,
			}));
			await at(index);
			await sleep(CALL_INTERVAL_MS);
		}

		await Promise.all(records);
	}

	/** Start times of the shifted calls, sorted, in milliseconds. */
	async shiftedAtMs(): Promise<readonly number[]> {
		const executions = await this.fleet.listExecutionsByServer();
		const target = this.fleet.backends.filter(({planned}) => planned.site.startsWith('muntenia')).flatMap(({planned}) => executions.get(planned.name) ?? []);
		return target.map(({startedAtMs}) => startedAtMs).sort((left, right) => left - right);
	}
}

interface Case {
	readonly name: string;
	readonly calls: number;
	/** Faults by the number of the call at which they start or end. */
	readonly faults: ReadonlyMap<number, (shiftedFleet: ShiftedFleet) => Promise<void> | void>;
}

const cases: readonly Case[] = [
	{
		name: 'when an owner crashes and the store is unavailable', calls: 320, faults: new Map([
			[FAULT_AT_CALL, async ({fleet, owners}) => fleet.killEntry(owners[0]!)],
			[200, async ({fleet}) => fleet.setPlatformFaults({outage: true})],
		]),
	},
	{
		name: 'when answers to store writes are lost and an owner crashes', calls: 400, faults: new Map([
			[20, async ({fleet}) => fleet.setPlatformFaults({loseNextWriteAnswers: 3})],
			[FAULT_AT_CALL, async ({fleet, owners}) => fleet.killEntry(owners[0]!)],
			[200, async ({fleet}) => fleet.setPlatformFaults({loseNextWriteAnswers: 3})],
		]),
	},
	{
		name: 'when no instance can reach another and each counts slots on its own', calls: 400, faults: new Map([
			[FAULT_AT_CALL, async (shiftedFleet: ShiftedFleet) => shiftedFleet.cut(true)],
			[300, async (shiftedFleet: ShiftedFleet) => shiftedFleet.cut(false)],
		]),
	},
	{
		name: 'when all owners are frozen until after their grants expired', calls: FAULT_AT_CALL + PAST_GRANT_CALLS + 200, faults: new Map([
			[FAULT_AT_CALL, ({owners}: ShiftedFleet) => {
				for (const {child} of owners) {
					child.signal('SIGSTOP');
				}
			}],
			[FAULT_AT_CALL + PAST_GRANT_CALLS, ({owners}: ShiftedFleet) => {
				for (const {child} of owners) {
					child.signal('SIGCONT');
				}
			}],
		]),
	},
];

describe('a fleet stays within the cap of a shift', () => {
	for (const {name, calls, faults} of cases) {
		it(name, async test => {
			const shiftedFleet = new ShiftedFleet();
			await shiftedFleet.start();
			try {
				await shiftedFleet.load({
					calls, async at(call) {
						await faults.get(call)?.(shiftedFleet);
					},
				});
				const times = await shiftedFleet.shiftedAtMs();
				const maxPerSecond = Math.max(0, ...times.map((time, index) => times.slice(index).filter(other => other - time < WINDOW_MS).length));
				test.diagnostic(`${times.length} calls shifted, at most ${maxPerSecond} in a second`);
				assert.ok(times.length > 0, 'no calls were shifted');
				assert.ok(maxPerSecond <= CAP_CALLS_PER_SECOND, `${maxPerSecond} calls in a second under a cap of ${CAP_CALLS_PER_SECOND}`);
			} finally {
				await shiftedFleet.fleet.setPlatformFaults({outage: false});
				await shiftedFleet.stop();
			}
		});
	}
});
