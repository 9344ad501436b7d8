import assert from 'node:assert/strict';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {callDirectly} from '@pomelopick/testing.callers';
import type {DirectAnswer} from '@pomelopick/testing.callers';
import {popescuVlad, startFleet} from '@pomelopick/testing.fleet';
import type {Deployment, EntryProcess, Fleet} from '@pomelopick/testing.fleet';

const CAP_CALLS_PER_SECOND = 8;
const CALL_INTERVAL_MS = 25;
const FAULT_AT_CALL = 120;
const WINDOW_MS = 1000;
/** Longer than a grant lasts, in calls. */
const PAST_GRANT_CALLS = 900;
const small: Deployment = {
	...popescuVlad,
	services: [{
		name: 'archive', priority: 'interactive', servers: 3, slots: 3,
	}],
};

/** A fleet with one shift from transilvania to muntenia. */
class Scene {
	#fleet: Fleet | undefined;
	#directory = '';

	get fleet(): Fleet {
		return this.#fleet!;
	}

	/** Instances of the region that the shift leads to; one of them owns its slots. */
	get owners(): readonly EntryProcess[] {
		return this.fleet.entries.filter(({instance}) => instance.failureDomain.startsWith('muntenia'));
	}

	/** Instances of the region that the shift leads away from. */
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

	/** Cuts all instances off from the slots that others own, or lets them through again. */
	async cut(isCut: boolean): Promise<void> {
		await (isCut ? writeFile(this.#cutFile, '') : rm(this.#cutFile));
	}

	/** Calls at a steady rate, the senders in turn; `at` is told the number of each call. */
	async load({calls, at}: {readonly calls: number; readonly at: (call: number) => Promise<void>}): Promise<void> {
		const records: Array<Promise<DirectAnswer>> = [];
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

	/** When each shifted call began, in order, in milliseconds. */
	async shiftedAtMs(): Promise<readonly number[]> {
		const executions = await this.fleet.listExecutionsByServer();
		const target = this.fleet.backends.filter(({planned}) => planned.site.startsWith('muntenia')).flatMap(({planned}) => executions.get(planned.name) ?? []);
		return target.map(({startedAtMs}) => startedAtMs).sort((left, right) => left - right);
	}
}

interface Case {
	readonly name: string;
	readonly calls: number;
	/** Faults by the number of the call at which they begin or end. */
	readonly faults: ReadonlyMap<number, (scene: Scene) => Promise<void> | void>;
}

const cases: readonly Case[] = [
	{
		name: 'when an owner dies and the store is out', calls: 320, faults: new Map([
			[FAULT_AT_CALL, async ({fleet, owners}) => fleet.killEntry(owners[0]!)],
			[200, async ({fleet}) => fleet.setPlatformFaults({outage: true})],
		]),
	},
	{
		name: 'when the store loses the answers of writes and an owner dies', calls: 400, faults: new Map([
			[20, async ({fleet}) => fleet.setPlatformFaults({loseNextWriteAnswers: 3})],
			[FAULT_AT_CALL, async ({fleet, owners}) => fleet.killEntry(owners[0]!)],
			[200, async ({fleet}) => fleet.setPlatformFaults({loseNextWriteAnswers: 3})],
		]),
	},
	{
		name: 'when no instance reaches another and each counts for itself', calls: 400, faults: new Map([
			[FAULT_AT_CALL, async (scene: Scene) => scene.cut(true)],
			[300, async (scene: Scene) => scene.cut(false)],
		]),
	},
	{
		name: 'when all owners are frozen past the end of their grants', calls: FAULT_AT_CALL + PAST_GRANT_CALLS + 200, faults: new Map([
			[FAULT_AT_CALL, ({owners}: Scene) => {
				for (const {child} of owners) {
					child.signal('SIGSTOP');
				}
			}],
			[FAULT_AT_CALL + PAST_GRANT_CALLS, ({owners}: Scene) => {
				for (const {child} of owners) {
					child.signal('SIGCONT');
				}
			}],
		]),
	},
];

describe('the cap of a shift on a fleet holds', () => {
	for (const {name, calls, faults} of cases) {
		it(name, async test => {
			const scene = new Scene();
			await scene.start();
			try {
				await scene.load({
					calls, async at(call) {
						await faults.get(call)?.(scene);
					},
				});
				const times = await scene.shiftedAtMs();
				const most = Math.max(0, ...times.map((time, index) => times.slice(index).filter(other => other - time < WINDOW_MS).length));
				test.diagnostic(`${times.length} calls shifted, at most ${most} in a second`);
				assert.ok(times.length > 0, 'nothing was shifted');
				assert.ok(most <= CAP_CALLS_PER_SECOND, `${most} calls in a second under a cap of ${CAP_CALLS_PER_SECOND}`);
			} finally {
				await scene.fleet.setPlatformFaults({outage: false});
				await scene.stop();
			}
		});
	}
});
