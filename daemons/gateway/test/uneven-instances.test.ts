/** Guards against callers that are directed to a full instance, and against anything new in the store where the settings state no capacity. */
import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	callGateway, configuration, endpointOf, HOST, isReady, startGatewayFleet, startGatewayProcess, until,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet, GatewayProcess} from '@pomelopick/testing.gateway-fleet';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';

const MAX_REQUESTS = 8;
/** Time for which the requests occupy the instance, in milliseconds: longer than it takes to state that it is full. */
const WORK_MS = 6000;
/** Time between two writes of a record, in milliseconds. */
const MIN_WRITE_INTERVAL_MS = 5000;
const capacity = {
	cores: 1, cpuShare: 0.19, linkMbps: 7, memoryMb: 202,
};

describe('a full instance beside others', () => {
	let fleet: GatewayFleet;
	let gateways: readonly GatewayProcess[];
	let full: GatewaySettingsInput;
	let other: GatewaySettingsInput;
	let older: GatewaySettingsInput;
	const writesAtMs: number[] = [];
	let lastIndex = 0;
	let timer: NodeJS.Timeout;

	const readRecord = (id: string): Record<string, unknown> => {
		const [held] = fleet.platform.keyValues.read({key: `pomelopick/instances/${id}`, recurse: false});
		return JSON.parse(new TextDecoder().decode(held!.value)) as Record<string, unknown>;
	};

	const listAt = async (settings: GatewaySettingsInput): Promise<readonly string[]> => {
		const response = await fetch(`http://${settings.listen.directory}/pomelopick/resolve?name=${HOST}&region=north&zone=north-a`);
		const text = await response.text();
		return [full, other, older].filter(({listen}) => text.includes(`"${listen.callers}"`)).map(({instance}) => instance);
	};

	const countListed = async (settings: GatewaySettingsInput): Promise<number> => {
		const list = await listAt(settings);
		return list.length;
	};

	before(async () => {
		fleet = await startGatewayFleet();
		fleet.write('op/config', configuration({version: 2, timeoutSeconds: 10}));
		full = {...await fleet.settings({instance: 'full'}), capacity, limits: {requests: MAX_REQUESTS, heldBytes: 28_311_552}};
		other = {...await fleet.settings({instance: 'other'}), capacity};
		older = await fleet.settings({instance: 'older'});
		gateways = await Promise.all([full, other, older].map(async settings => startGatewayProcess({settings})));
		await until(async () => {
			const lists = await Promise.all([full, other, older].map(async settings => await isReady(settings) ? listAt(settings) : []));
			return lists.every(list => list.length === 3);
		});
		timer = setInterval(() => {
			const [held] = fleet.platform.keyValues.read({key: 'pomelopick/instances/full', recurse: false});
			if (held && held.modifyIndex !== lastIndex) {
				lastIndex = held.modifyIndex;
				writesAtMs.push(performance.now());
			}
		}, 20);
	});
	after(async () => {
		clearInterval(timer);
		await Promise.all(gateways.map(async gateway => gateway.stop()));
		await fleet.stop();
	});

	it('states its capacity, and nothing new where the settings state none', () => {
		assert.deepEqual(readRecord('other').capacity, {cores: 0.19, linkMbps: 7, memoryMb: 202});
		assert.deepEqual(Object.keys(readRecord('older')).sort(), ['callers', 'failureDomain', 'id', 'maxHeaders', 'peers', 'region']);
	});

	it('is left out by the directories while it is full, refuses at once, and writes its record once for each change', async () => {
		const endpoint = endpointOf(full.listen.callers);
		const occupying = Array.from({length: MAX_REQUESTS}, async (_, index) => callGateway({
			endpoint, object: `object-${index}`, workMs: WORK_MS, timeLeftMs: WORK_MS * 1.5,
		}));
		await until(async () => readRecord('full').isFull === true && await countListed(older) === 2);
		const startedAtMs = performance.now();
		const refused = await callGateway({endpoint, timeLeftMs: WORK_MS});
		assert.ok(performance.now() - startedAtMs < 1000);
		assert.equal(refused.status, 503);
		assert.match(String(refused.headers['retry-after']), /^0\.\d+$/u);
		for (const settings of [full, other, older]) {
			assert.deepEqual(await listAt(settings), ['other', 'older']);
		}

		const answers = await Promise.all(occupying);
		assert.ok(answers.every(({status}) => status === 200), JSON.stringify(answers.map(({status}) => status)));
		await until(async () => readRecord('full').isFull === undefined && await countListed(older) === 3);
		await sleep(MIN_WRITE_INTERVAL_MS);
		const changes = writesAtMs.slice(1);
		assert.equal(changes.length, 2);
		assert.ok(changes[1]! - changes[0]! >= MIN_WRITE_INTERVAL_MS, `${changes[1]! - changes[0]!} ms`);
	});
});
