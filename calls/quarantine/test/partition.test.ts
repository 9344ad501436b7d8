import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {callDirectly} from '@pomelopick/testing.callers';
import type {DirectAnswer} from '@pomelopick/testing.callers';
import {startFaultProxy} from '@pomelopick/testing.fault-proxy';
import type {FaultProxy} from '@pomelopick/testing.fault-proxy';
import {getJson, startFleet} from '@pomelopick/testing.fleet';
import type {Deployment, EntryProcess, Fleet} from '@pomelopick/testing.fleet';
import {MOST_DEATHS_BEFORE_CONVICTION} from '@pomelopick/calls.quarantine';

const SEED = 65_000;
const ENTRIES = 4;
/** Instances that hear nothing from the others. */
const CUT_OFF = 2;
/** The others, and each that was cut off, come to a conviction of their own. */
const GROUPS = CUT_OFF + 1;
const ROUNDS = 5;
const LONGEST_HEAL_MS = 15_000;
/** Instances that have just started ask the others once for what they know. */
const LEARNED_MS = 1500;

const deployment: Deployment = {
	name: 'partition', regions: ['north', 'south'], domainsPerRegion: 2, megabitsPerSecond: 100, betweenRegionsMs: 0, betweenDomainsMs: 0, toClientsMs: 0,
	services: [{
		name: 'ledger', priority: 'interactive', servers: 16, slots: 4,
	}],
};

describe(`a request that crashes backend servers while instances are cut off from the others (seed ${SEED})`, () => {
	let fleet: Fleet;
	const peerPaths = new Map<string, FaultProxy>();
	const crash = async ({instance}: EntryProcess): Promise<DirectAnswer> => callDirectly({
		endpoint: instance.callers, service: 'ledger', method: 'POST', path: '/crash?crash=1', body: '{}', timeoutMs: 3000,
	});
	const countLost = (): number => fleet.backends.filter(({child}) => child.hasExited()).length;
	const setCut = (cut: boolean): void => {
		for (const {instance} of fleet.entries.slice(-CUT_OFF)) {
			peerPaths.get(instance.id)!.set({cut});
		}
	};

	const crashEverywhere = async (): Promise<readonly DirectAnswer[]> => {
		const answers: DirectAnswer[] = [];
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

	it('takes down at most three servers for each group of instances that hear each other', async () => {
		await sleep(LEARNED_MS);
		setCut(true);
		const answers: DirectAnswer[] = [];
		for (let round = 0; round < ROUNDS; round += 1) {
			answers.push(...await crashEverywhere());
		}

		const lost = countLost();
		process.stdout.write(`servers lost to one request while ${CUT_OFF} of ${ENTRIES} instances were cut off: ${lost}\n`);
		assert.ok(lost >= 1 && lost <= MOST_DEATHS_BEFORE_CONVICTION * GROUPS, `${lost} servers lost`);
		assert.deepEqual(answers.filter(({ended}) => ended !== 'refused'), []);
		assert.deepEqual(new Set(answers.slice(-ENTRIES).map(({reason}) => reason)), new Set(['request-quarantined']));
	});
});

describe(`a request that crashed a backend server while an instance was cut off (seed ${SEED})`, () => {
	let fleet: Fleet;
	let path: FaultProxy | undefined;
	const crash = async ({instance}: EntryProcess): Promise<DirectAnswer> => callDirectly({
		endpoint: instance.callers, service: 'ledger', method: 'POST', path: '/crash?crash=1', body: '{}', timeoutMs: 3000,
	});
	const countLost = (): number => fleet.backends.filter(({child}) => child.hasExited()).length;

	before(async () => {
		fleet = await startFleet({
			deployment,
			entries: 2,
			async adjustSettings(settings) {
				if (settings.instance !== 'entry-2') {
					return settings;
				}

				path = await startFaultProxy({target: settings.listen.peers, seed: SEED});
				return {...settings, advertise: {peers: path.endpoint}};
			},
			adjustInstance(instance) {
				if (instance.id !== 'entry-2') {
					return instance;
				}

				path!.retarget(instance.peers);
				return {...instance, peers: path!.endpoint};
			},
		});
	});
	after(async () => {
		await fleet.stop();
		await path?.stop();
	});

	it('is refused by that instance once it hears the others again, without a server lost to it', async () => {
		const [hearing, cutOff] = fleet.entries as [EntryProcess, EntryProcess];
		await sleep(LEARNED_MS);
		path!.set({cut: true});
		let reason: string | undefined;
		while (reason !== 'request-quarantined') {
			({reason} = await crash(hearing));
		}

		const lost = countLost();
		assert.ok(lost <= MOST_DEATHS_BEFORE_CONVICTION, `${lost} servers lost`);
		path!.set({cut: false});
		const endsAtMs = performance.now() + LONGEST_HEAL_MS;
		while (performance.now() < endsAtMs && !await hasConviction(cutOff)) {
			await sleep(100);
		}

		({reason} = await crash(cutOff));
		assert.deepEqual([reason, countLost()], ['request-quarantined', lost]);
	});
});

async function hasConviction({instance}: EntryProcess): Promise<boolean> {
	const {quarantines} = await getJson<{readonly quarantines: ReadonlyArray<{readonly state: string}>}>({endpoint: instance.operators, path: '/v1/status'});
	return quarantines.some(({state}) => state === 'convicted');
}
