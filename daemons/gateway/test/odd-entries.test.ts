/** Guards against gateways that end, or no longer follow the store, because of an entry that they cannot use. */
import assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import {
	after, afterEach, before, beforeEach, describe, it,
} from 'node:test';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';
import {
	callGateway, endpointOf, isReady, startGatewayFleet, startGatewayProcess, until,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet, GatewayProcess, RegisteredServer} from '@pomelopick/testing.gateway-fleet';

const REQUESTS = 24;
const DEEP = 200_000;
const LARGE_BYTES = 1_000_000;
const MANY = 500;
/** Lines about refusals in the few seconds of a case; one for each entry would be more. */
const MAX_REFUSAL_LINES = 200;
const SHOWN_CHARACTERS = 600;

const valid = {
	service: 'ledger', address: '127.0.0.1:9', zone: 'north-a', version: 'v1', slots: 4, state: 'ready', 'warmup-left-s': 0, sequence: 1, born: 1000,
};
type Written = readonly [key: string, value: string | Uint8Array];
const odd = (changes: Readonly<Record<string, unknown>>): Written => ['servers/odd', JSON.stringify({...valid, ...changes})];
const at = (address: string): Written => odd({address});
/** Stands for the address of a living server. */
const SERVER_ADDRESS = 'ADDRESS';
const named = (id: string): Written => [`servers/${id}`, JSON.stringify({...valid, address: SERVER_ADDRESS})];
const nested = `${'['.repeat(DEEP)}${']'.repeat(DEEP)}`;
const nestedObjects = `${'{"a":'.repeat(DEEP)}1${'}'.repeat(DEEP)}`;
const withField = (name: keyof typeof valid, text: string): Written => ['servers/odd', JSON.stringify({...valid, [name]: 'PLACE'}).replace('"PLACE"', text)];

/** Puts each value under a key of its own. */
const several = (written: readonly Written[]): readonly Written[] => written.map(([key, value], index) => [`${key}-${index}`, value]);

const cases: ReadonlyArray<{name: string; written: readonly Written[]}> = [
	{name: 'nested lists', written: [['servers/odd', nested]]},
	{name: 'nested objects', written: [['servers/odd', nestedObjects]]},
	{name: 'a field of nested lists', written: [withField('address', nested)]},
	{name: 'a field of nested objects', written: [withField('slots', nestedObjects)]},
	{name: 'a version of nested lists beside valid fields', written: [withField('version', nested)]},
	{name: 'an unknown field of nested lists beside valid ones', written: [['servers/odd', JSON.stringify(valid).replace('{', `{"other":${nested},`)]]},
	{name: 'nesting that never ends', written: [['servers/odd', '['.repeat(LARGE_BYTES)]]},
	{name: 'addresses with a scope', written: [at('[fe80::1%lo]:80'), ['servers/odd-2', at('fe80::1%1:80')[1]]]},
	{name: 'addresses of no host', written: several(['0.0.0.0:80', '[::]:80', '224.0.0.1:80', '[ff02::1]:80', '255.255.255.255:80', '[::ffff:0.0.0.0]:80'].map(address => at(address)))},
	{name: 'ports out of range or not in decimal digits', written: several(['0', '65536', '-1', '0x50', '8e1', ' 80', '80 ', '', '1e999'].map(port => at(`127.0.0.1:${port}`)))},
	{name: 'ids that cannot stand in a header', written: ['a\nb', 'a\r\nx-evil: 1', 'a\0b', '\u{1F600}', '\uD800', 'é', ' ', '\u007F'].map(id => named(id))},
	{name: 'no id', written: [named('')]},
	{name: 'ids with further slashes', written: [named('a/b'), named('/'), named('a/')]},
	{name: 'a very long id', written: [named('x'.repeat(100_000))]},
	{name: 'numbers too large', written: several([withField('slots', '1e400'), withField('warmup-left-s', '1e308'), withField('sequence', '9'.repeat(DEEP)), withField('born', '-1e308')])},
	{name: 'values of 1 MB', written: several([odd({service: 'x'.repeat(LARGE_BYTES)}), odd({state: 'x'.repeat(LARGE_BYTES)}), ['servers/odd', new Uint8Array(LARGE_BYTES)]])},
	{name: 'bytes that are not UTF-8', written: [['servers/odd', new Uint8Array([0xFF, 0xFE, 0x00, 0xC0, 0x80])]]},
	{name: 'a field twice', written: [['servers/odd', JSON.stringify(valid).replace('{', '{"address":"[fe80::1%lo]:1","address":[],')]]},
	{name: 'names of the language', written: [['servers/odd', '{"__proto__":{"service":"ledger"},"constructor":1,"toString":null}'], ['servers/__proto__', '{"__proto__":null}'], ['servers/constructor', '[]']]},
	{name: 'not an object', written: ['null', '1', '"text"', 'true', '[]', '', ' '].map((value, index) => [`servers/odd-${index}`, value])},
	{name: 'five hundred odd entries at once', written: Array.from({length: MANY}, (_, index) => [`servers/odd-${index}`, index % 2 === 0 ? '[{}]' : at('[fe80::1%lo]:80')[1]])},
	{name: 'odd configurations and zones', written: [['op/other', nested], ['op/evacuate/', nested], ['op/evacuate/\uD800', ''], ['\uD800', 'x'], ['', '']]},
	{name: 'an odd configuration', written: [['op/config', `{"version":${nested},"routes":${nested}}`]]},
];

interface Called {
	readonly settings: GatewaySettingsInput;
	readonly process: GatewayProcess;
}

describe('a gateway while odd entries are in the store', () => {
	let fleet: GatewayFleet;
	let settings: GatewaySettingsInput;
	let gateway: GatewayProcess;
	let late: RegisteredServer | undefined;
	let count = 0;

	const start = async (): Promise<void> => {
		settings = await fleet.settings({instance: `gateway-${randomUUID()}`});
		gateway = await startGatewayProcess({settings});
		await until(async () => isReady(settings));
	};

	const write = (written: readonly Written[]): void => {
		for (const [key, value] of written) {
			fleet.platform.keyValues.put({key, value: typeof value === 'string' ? new TextEncoder().encode(value.replace(SERVER_ADDRESS, `127.0.0.1:${fleet.servers[0]!.port}`)) : value});
		}
	};

	const callAll = async (called: Called): Promise<void> => {
		const failures: string[] = [];
		for (let request = 0; request < REQUESTS; request += 1) {
			const {status, text} = await callGateway({endpoint: endpointOf(called.settings.listen.callers), object: randomUUID()});
			failures.push(...(status === 200 ? [] : [`${status} ${text}`]));
		}

		assert.deepEqual(failures, [], called.process.errors.join('').slice(0, SHOWN_CHARACTERS));
	};

	const reaches = async (name: string): Promise<boolean> => {
		const before = fleet.records.executions.length;
		await callAll({settings, process: gateway});
		return fleet.records.executions.slice(before).some(({server}) => server === name);
	};

	/** Adds a server, lets the one added before leave, and waits until requests show both. */
	const followServers = async (): Promise<void> => {
		const leaving = late;
		count += 1;
		late = await fleet.addServer({name: `late-${count}`, failureDomain: 'north-a'});
		if (leaving) {
			fleet.register({server: leaving, failureDomain: 'north-a', state: 'draining'});
		}

		await until(async () => reaches(late!.name));
		if (leaving) {
			await until(async () => !await reaches(leaving.name));
		}
	};

	const startAndCall = async (): Promise<void> => {
		const further = await fleet.settings({instance: `further-${randomUUID()}`});
		const started = await startGatewayProcess({settings: further});
		try {
			await until(async () => isReady(further));
			await callAll({settings: further, process: started});
		} finally {
			started.signal('SIGKILL');
			await started.stop();
		}
	};

	before(async () => {
		fleet = await startGatewayFleet();
	});
	after(async () => {
		await fleet.stop();
	});
	beforeEach(start);
	afterEach(async () => {
		gateway.signal('SIGKILL');
		await gateway.stop();
	});

	const check = async (written: readonly Written[]): Promise<void> => {
		const isConfiguration = written.some(([key]) => key === 'op/config');
		const [configuration] = fleet.platform.keyValues.read({key: 'op/config', recurse: false});
		write(written);
		try {
			await followServers();
			assert.ok(!gateway.hasExited(), gateway.errors.join('').slice(0, SHOWN_CHARACTERS));
			assert.ok(gateway.lines.filter(({event}) => event === 'server-refused').length <= MAX_REFUSAL_LINES);
			if (!isConfiguration) {
				await startAndCall();
			}
		} finally {
			for (const [key] of written) {
				fleet.platform.keyValues.delete({key});
			}

			write([[configuration!.key, configuration!.value]]);
		}
	};

	for (const {name, written} of cases) {
		it(`serves requests, follows servers and starts: ${name}`, async () => check(written));
	}

	it('uses a living server again after an odd entry stood over its own', async () => {
		write([['servers/server-0', nested]]);
		await followServers();
		fleet.register({server: fleet.servers[0]!, failureDomain: 'north-a'});
		await until(async () => reaches('server-0'));
	});

	it('follows an evacuation while all odd entries lie there', async () => {
		write(cases.flatMap(({written}) => written.filter(([key]) => key !== 'op/config')));
		await followServers();
		write([['op/evacuate/north-b', '{}']]);
		await until(async () => !await reaches('server-2'));
		fleet.platform.keyValues.delete({key: 'op/evacuate/north-b'});
		await until(async () => reaches('server-2'));
		await startAndCall();
	});
});
