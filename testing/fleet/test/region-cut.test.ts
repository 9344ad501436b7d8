import assert from 'node:assert/strict';
import {
	after, afterEach, before, describe, it,
} from 'node:test';
import type {ConfigurationSetInput} from '@pomelopick/config.schema';
import {
	getJson, pause, popescuVlad, startRegionalFleet, VersionSampler, waitUntil,
} from '@pomelopick/testing.fleet';
import type {Deployment, EntryProcess, RegionalFleet} from '@pomelopick/testing.fleet';

const SEED = 23;
const ENTRIES = 9;
const ENTRIES_PER_REGION = 3;
/** Time within which an accepted version must be in force everywhere. */
const BOUND_MS = 13_000;
/** Longer than findings of unreachable instances take to count. */
const CUT_MS = 6000;
const POLL_MS = 200;

const small: Deployment = {
	...popescuVlad, failureDomainsPerRegion: 1, services: popescuVlad.services.map(service => ({...service, servers: 1})),
};

interface Status {
	readonly configurationVersion?: number;
	readonly instances: ReadonlyArray<{readonly id: string; readonly alive: boolean; readonly isolated: boolean}>;
}

interface LookupAnswer {
	readonly configurationVersion?: number;
	readonly entries: ReadonlyArray<{readonly instance: string}>;
}

interface CutCase {
	readonly name: string;
	readonly region: string;
	readonly cutsPlatform: boolean;
}

const cases: readonly CutCase[] = [
	{name: 'from the others and from the platform', region: 'muntenia', cutsPlatform: true},
	{name: 'from the others alone', region: 'moldova', cutsPlatform: false},
	{name: 'from the others and from the platform, which stands in its own region', region: 'transilvania', cutsPlatform: true},
];

describe(`a region of three processes that is cut off, seed ${SEED}`, () => {
	let regional: RegionalFleet;
	let sampler: VersionSampler;
	let serial = 0;

	const statusOf = async ({instance}: EntryProcess): Promise<Status> => getJson<Status>({endpoint: instance.operators, path: '/v1/status'});
	const statusesOf = async (entries: readonly EntryProcess[]): Promise<readonly Status[]> => Promise.all(entries.map(async entry => statusOf(entry)));
	const versionsOf = async (entries: readonly EntryProcess[]): Promise<readonly number[]> => {
		const statuses = await statusesOf(entries);
		return statuses.map(({configurationVersion = 0}) => configurationVersion);
	};

	const publish = async (): Promise<number> => {
		serial += 1;
		const set: ConfigurationSetInput = {...regional.fleet.configurationSet(), clientBlocks: [{prefix: `10.${serial}.0.0/16`, site: 'muntenia-1-site'}]};
		const outcome = await sampler.publish({set, publishId: `publish-${serial}`});
		assert.equal(outcome.kind, 'accepted', JSON.stringify(outcome));
		return outcome.kind === 'accepted' ? outcome.version : 0;
	};

	const waitForVersion = async ({version, entries}: {readonly version: number; readonly entries: readonly EntryProcess[]}): Promise<void> => waitUntil({
		description: `version ${version} in force`, boundMs: BOUND_MS, async holds() {
			const versions = await versionsOf(entries);
			return versions.every(held => held >= version);
		},
	});

	const countIsolated = ({instances}: Status): number => instances.filter(({isolated}) => isolated).length;
	const waitForIsolated = async ({entries, count}: {readonly entries: readonly EntryProcess[]; readonly count: number}): Promise<void> => waitUntil({
		description: `${count} isolated instances`, boundMs: BOUND_MS, async holds() {
			const statuses = await statusesOf(entries);
			return statuses.every(status => status.instances.length === ENTRIES && countIsolated(status) === count);
		},
	});

	const assertNobodyIsDead = async (): Promise<void> => {
		const {entries} = regional.fleet;
		const statuses = await statusesOf(entries);
		const dead = statuses.flatMap(({instances}, index) => instances.filter(({alive}) => !alive).map(({id}) => `${id} at ${entries[index]!.instance.id}`));
		assert.deepEqual(dead, []);
	};

	before(async () => {
		regional = await startRegionalFleet({deployment: small, entries: ENTRIES, seed: SEED});
		sampler = new VersionSampler({fleet: regional.fleet});
		sampler.start();
		await waitForIsolated({entries: regional.fleet.entries, count: 0});
	});
	afterEach(async () => {
		await regional.heal();
	});
	after(async () => {
		sampler.stop();
		await regional.stop();
	});

	it('has instances that reach each other through the proxies only', async () => {
		const before = regional.peerBytes;
		await waitUntil({description: 'heartbeats pass the proxies', boundMs: BOUND_MS, holds: () => regional.peerBytes > before});
	});

	const cutAndHeal = async ({region, cutsPlatform}: CutCase): Promise<void> => {
		const {entries} = regional.fleet;
		const inside = regional.entriesIn(region);
		const outside = regional.entriesOutside(region);
		const held = Math.max(...await versionsOf(entries));
		await waitForVersion({version: held, entries});
		await waitForIsolated({entries, count: 0});
		await assertNobodyIsDead();
		await regional.cut({region, cutsPlatform});
		const healsAtMs = Date.now() + CUT_MS;
		const first = await publish();
		await waitForVersion({version: first, entries: cutsPlatform ? outside : entries});
		while (Date.now() < healsAtMs) {
			await assertNobodyIsDead();
			await pause(POLL_MS);
		}

		await waitForIsolated({entries: outside, count: ENTRIES_PER_REGION});
		await waitForIsolated({entries: inside, count: ENTRIES - ENTRIES_PER_REGION});
		await assertNobodyIsDead();
		const insideVersions = await versionsOf(inside);
		assert.deepEqual(insideVersions, inside.map(() => cutsPlatform ? held : first));
		for (const {instance} of [inside[0]!, outside[0]!]) {
			const answer = await getJson<LookupAnswer>({endpoint: instance.callers, path: '/v1/entries?service=corrections&client=127.0.2.9'});
			assert.ok(answer.entries.length > 0, `${instance.id} names nobody`);
		}

		await regional.heal();
		const last = await publish();
		await waitForVersion({version: last, entries});
		await waitForIsolated({entries, count: 0});
		assert.deepEqual(await sampler.check({boundMs: BOUND_MS}), []);
	};

	for (const testCase of cases) {
		it(`${testCase.name}: each side keeps its version or takes newer ones, nobody is taken for dead, and all meet at the highest`, async () => cutAndHeal(testCase));
	}
});
