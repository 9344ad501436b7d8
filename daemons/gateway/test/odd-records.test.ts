/** Guards against gateways that end, or no longer follow the store, because of a record that an instance did not write as it should. */
import assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import {
	after, before, describe, it,
} from 'node:test';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';
import {
	callGateway, endpointOf, isReady, startGatewayFleet, startGatewayProcess, until,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet, GatewayProcess} from '@pomelopick/testing.gateway-fleet';

const SHOWN_CHARACTERS = 600;
const REQUESTS = 12;
const INSTANCES = 24;
const DEEP = 100_000;

const nested = `${'['.repeat(DEEP)}${']'.repeat(DEEP)}`;
const endpoint = {address: '127.0.0.1', port: 9};
const instance = {
	id: 'odd', failureDomain: 'north-a', region: 'north', callers: endpoint, peers: endpoint,
};
const text = (value: unknown): string => JSON.stringify(value);
type Records = ReadonlyArray<readonly [key: string, value: string]>;
/** Records of so many instances that a gateway follows one of them. */
const many = (textOf: (id: string) => string): Records => Array.from({length: INSTANCES}, (_, index) => [`pomelopick/instances/odd-${index}`, textOf(`odd-${index}`)]);
const fingerprint = 'a'.repeat(64);
const death = {
	kind: 'death', origin: 'odd', sequence: 1, server: 'server-0', startedAtMs: 1000, fingerprints: [fingerprint],
};
const limit = {
	name: 'server-0', startedAtMs: 1000, requestsPerSecond: 5, version: 1,
};
const odd = [nested, 'null', '[]', '1', '', '{', `{"kind":${nested}}`, `{"id":${nested}}`, `{"name":${nested}}`];
const oddDeaths = [text({...death, fingerprints: nested}), text({...death, sequence: 1e300}), text(death).replace('"death"', `"death","more":${nested}`)];
const oddLimits = [text({...limit, requestsPerSecond: -1}), text(limit).replace('1000', '1e400'), text({...limit, name: 'x'.repeat(DEEP)})];

const cases: ReadonlyArray<{name: string; records: Records}> = [
	{name: 'endpoints with a scope for other instances', records: many(id => text({...instance, id, peers: {address: 'fe80::1%lo', port: 80}}))},
	{name: 'ports out of range for other instances', records: many(id => text({...instance, id, peers: {address: '127.0.0.1', port: 70_000}}))},
	{name: 'negative ports for other instances', records: many(id => text({...instance, id, peers: {address: '127.0.0.1', port: -1}}))},
	{name: 'an endpoint with a scope for callers', records: [['pomelopick/instances/odd', text({...instance, callers: {address: 'fe80::1%lo', port: 80}})]]},
	{name: 'the id of another instance', records: [['pomelopick/instances/odd', text({...instance, id: 'gateway-other'})]]},
	{name: 'instances', records: odd.map((value, index) => [`pomelopick/instances/odd-${index}`, value])},
	{name: 'suspicions', records: [...odd, ...oddDeaths].map((value, index) => [`pomelopick/suspicions/odd/${index}`, value])},
	{name: 'rate limits', records: [...odd, ...oddLimits].map((value, index) => [`pomelopick/rate-limits/odd-${index}`, value])},
	{name: 'allowance parts', records: odd.map((value, index) => [`pomelopick/retry-allowance/ledger/${index}`, value])},
];

describe('a gateway while odd records of instances are in the store', () => {
	let fleet: GatewayFleet;

	before(async () => {
		fleet = await startGatewayFleet();
	});
	after(async () => {
		await fleet.stop();
	});

	const followServer = async ({settings, gateway}: {readonly settings: GatewaySettingsInput; readonly gateway: GatewayProcess}): Promise<void> => {
		const late = await fleet.addServer({name: `late-${randomUUID()}`, failureDomain: 'north-a'});
		await until(async () => {
			for (let request = 0; request < REQUESTS; request += 1) {
				const {status} = await callGateway({endpoint: endpointOf(settings.listen.callers), object: randomUUID()});
				assert.equal(status, 200, gateway.errors.join('').slice(0, SHOWN_CHARACTERS));
			}

			return fleet.records.executions.some(({server}) => server === late.name);
		});
	};

	const check = async (records: Records): Promise<void> => {
		const settings = await fleet.settings({instance: `gateway-${randomUUID()}`});
		const gateway = await startGatewayProcess({settings});
		try {
			await until(async () => isReady(settings));
			for (const [key, value] of records) {
				fleet.platform.keyValues.put({key, value: new TextEncoder().encode(value)});
			}

			// The first server may be read together with the records, the second one only after them.
			await followServer({settings, gateway});
			await followServer({settings, gateway});
			assert.ok(!gateway.hasExited(), gateway.errors.join('').slice(0, SHOWN_CHARACTERS));
		} finally {
			gateway.signal('SIGKILL');
			await gateway.stop();
			for (const [key] of records) {
				fleet.platform.keyValues.delete({key});
			}
		}
	};

	for (const {name, records} of cases) {
		it(`serves requests and follows servers: ${name}`, async () => check(records));
	}

	it('writes its own record again after an odd one stood over it', async () => {
		const settings = await fleet.settings({instance: `gateway-${randomUUID()}`});
		const gateway = await startGatewayProcess({settings});
		const key = `pomelopick/instances/${settings.instance}`;
		const readRecord = (): string => new TextDecoder().decode(fleet.platform.keyValues.read({key, recurse: false})[0]?.value);
		try {
			await until(async () => await isReady(settings) && readRecord().includes('peers'));
			const record = readRecord();
			fleet.platform.keyValues.put({key, value: new TextEncoder().encode('odd')});
			await until(() => readRecord() === record);
		} finally {
			gateway.signal('SIGKILL');
			await gateway.stop();
		}
	});
});
