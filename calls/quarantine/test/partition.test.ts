import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {callDirectly} from '@pomelopick/testing.callers';
import type {DirectResponse} from '@pomelopick/testing.callers';
import {startFaultProxy} from '@pomelopick/testing.fault-proxy';
import type {FaultProxy} from '@pomelopick/testing.fault-proxy';
import {getJson, startFleet} from '@pomelopick/testing.fleet';
import type {Deployment, EntryProcess, Fleet} from '@pomelopick/testing.fleet';
import {MAX_CRASHES_BEFORE_QUARANTINE} from '@pomelopick/calls.quarantine';

const SEED = 65_000;
const ENTRIES = 4;
/** Number of instances that receive no messages from the others. */
const CUT_OFF_INSTANCES = 2;
/** Each cut-off instance, and the other instances together, must quarantine the request on their own. */
const GROUPS = CUT_OFF_INSTANCES + 1;
const ROUNDS = 5;
/** Maximum time until an instance that was cut off receives the decisions of the others, in milliseconds. */
const MAX_HEAL_MS = 15_000;
/** Instances that have just started copy the records of another instance once. Time until they have done so, in milliseconds. */
const INITIAL_COPY_MS = 1500;

const deployment: Deployment = {
	name: 'partition', regions: ['north', 'south'], failureDomainsPerRegion: 2, megabitsPerSecond: 100, regionDelayMs: 0, failureDomainDelayMs: 0, clientDelayMs: 0,
	services: [{
		name: 'ledger', priority: 'interactive', servers: 16, slots: 4,
	}],
};

describe(`a request that crashes backend servers while instances are cut off from the others (seed ${SEED})`, () => {
	let fleet: Fleet;
	const peerPaths = new Map<string, FaultProxy>();
	const crash = async ({instance}: EntryProcess): Promise<DirectResponse> => callDirectly({
		endpoint: instance.callers, service: 'ledger', method: 'POST', path: '/crash?crash=1', body: '{}', timeoutMs: 3000,
	});
	const countCrashed = (): number => fleet.backends.filter(({child}) => child.hasExited()).length;
	const setCut = (cut: boolean): void => {
		for (const {instance} of fleet.entries.slice(-CUT_OFF_INSTANCES)) {
			peerPaths.get(instance.id)!.set({cut});
		}
	};

	const crashEverywhere = async (): Promise<readonly DirectResponse[]> => {
		const answers: DirectResponse[] = [];
		for (const entry of fleet.entries) {
			answers.push(await crash(entry));
		}

		return answers;
	};

	before(async () => {
		fleet = await startFleet({
			deployment,
			entries: ENTRIES,
			async adjustSettings(settings) {
				const proxy = await startFaultProxy({target: settings.listen.peers, seed: SEED + peerPaths.size});
				peerPaths.set(settings.instance, proxy);
				return {...settings, advertise: {peers: proxy.endpoint}};
			},
			adjustInstance(instance) {
				const proxy = peerPaths.get(instance.id)!;
				proxy.retarget(instance.peers);
				return {...instance, peers: proxy.endpoint};
			},
		});
	});
	after(async () => {
		await fleet.stop();
		await Promise.all([...peerPaths.values()].map(async proxy => proxy.stop()));
	});

	it('crashes at most three servers for each group of instances that can reach each other', async () => {
		await sleep(INITIAL_COPY_MS);
		setCut(true);
		const answers: DirectResponse[] = [];
		for (let round = 0; round < ROUNDS; round += 1) {
			answers.push(...await crashEverywhere());
		}

		const crashed = countCrashed();
		process.stdout.write(`servers crashed by one request while ${CUT_OFF_INSTANCES} of ${ENTRIES} instances were cut off: ${crashed}\n`);
		assert.ok(crashed >= 1 && crashed <= MAX_CRASHES_BEFORE_QUARANTINE * GROUPS, `${crashed} servers crashed`);
		assert.deepEqual(answers.filter(({ended}) => ended !== 'refused'), []);
		assert.deepEqual(new Set(answers.slice(-ENTRIES).map(({reason}) => reason)), new Set(['request-quarantined']));
	});
});

describe(`a request that crashed a backend server while an instance was cut off (seed ${SEED})`, () => {
	let fleet: Fleet;
	let peerPath: FaultProxy | undefined;
	const crash = async ({instance}: EntryProcess): Promise<DirectResponse> => callDirectly({
		endpoint: instance.callers, service: 'ledger', method: 'POST', path: '/crash?crash=1', body: '{}', timeoutMs: 3000,
	});
	const countCrashed = (): number => fleet.backends.filter(({child}) => child.hasExited()).length;

	before(async () => {
		fleet = await startFleet({
			deployment,
			entries: 2,
			async adjustSettings(settings) {
				if (settings.instance !== 'entry-2') {
					return settings;
				}

				peerPath = await startFaultProxy({target: settings.listen.peers, seed: SEED});
				return {...settings, advertise: {peers: peerPath.endpoint}};
			},
			adjustInstance(instance) {
				if (instance.id !== 'entry-2') {
					return instance;
				}

				peerPath!.retarget(instance.peers);
				return {...instance, peers: peerPath!.endpoint};
			},
		});
	});
	after(async () => {
		await fleet.stop();
		await peerPath?.stop();
	});

	it('is refused by that instance once the others can reach it again, without another crash', async () => {
		const [connected, cutOff] = fleet.entries as [EntryProcess, EntryProcess];
		await sleep(INITIAL_COPY_MS);
		peerPath!.set({cut: true});
		let reason: string | undefined;
		while (reason !== 'request-quarantined') {
			({reason} = await crash(connected));
		}

		const crashed = countCrashed();
		assert.ok(crashed <= MAX_CRASHES_BEFORE_QUARANTINE, `${crashed} servers crashed`);
		peerPath!.set({cut: false});
		const endsAtMs = performance.now() + MAX_HEAL_MS;
		while (performance.now() < endsAtMs && !await hasQuarantinedRequest(cutOff)) {
			await sleep(100);
		}

		({reason} = await crash(cutOff));
		assert.deepEqual([reason, countCrashed()], ['request-quarantined', crashed]);
	});
});

async function hasQuarantinedRequest({instance}: EntryProcess): Promise<boolean> {
	const {quarantines} = await getJson<{readonly quarantines: ReadonlyArray<{readonly state: string}>}>({endpoint: instance.operators, path: '/v1/status'});
	return quarantines.some(({state}) => state === 'convicted');
}
