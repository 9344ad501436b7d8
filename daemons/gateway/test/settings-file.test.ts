import assert from 'node:assert/strict';
import {writeFile} from 'node:fs/promises';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	callGateway, endpointOf, isReady, startGatewayFleet, startGatewayProcess, until,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet, GatewayProcess} from '@pomelopick/testing.gateway-fleet';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';

const BAD_SETTINGS_EXIT_CODE = 2;
const REPLACE_MS = 300;

interface FileCase {
	readonly name: string;
	/** Content of the file; undefined: there is none. */
	readonly content: (text: string) => string;
	readonly expected: RegExp;
}

const cases: readonly FileCase[] = [
	{name: 'is empty', content: () => '', expected: /unreadable-settings: \S+settings\.json: /u},
	{name: 'is truncated', content: text => text.slice(0, 200), expected: /unreadable-settings: \S+settings\.json: /u},
	{name: 'is no object', content: () => 'null', expected: /bad-settings: \(root\): .*\(found null\)/u},
	{name: 'is nested without end', content: text => text.replace('"instance":"gateway-0"', `"instance":${'['.repeat(50_000)}${']'.repeat(50_000)}`), expected: /settings: /u},
	{name: 'has a list in place of a table', content: text => text.replace(/"listen":\{[^}]*\}/u, '"listen":[]'), expected: /bad-settings: listen: .*\(found \[\]\)/u},
];

describe('the settings file of a gateway process', () => {
	let fleet: GatewayFleet;
	let settings: GatewaySettingsInput;
	let gateway: GatewayProcess;
	beforeEach(async () => {
		fleet = await startGatewayFleet();
		settings = await fleet.settings();
	});
	afterEach(async () => {
		await gateway.stop();
		await fleet.stop();
	});

	const statusOf = async (): Promise<number> => {
		const {status} = await callGateway({endpoint: endpointOf(settings.listen.callers)});
		return status;
	};

	const check = async ({content, expected}: FileCase): Promise<void> => {
		const text = JSON.stringify(settings);
		gateway = await startGatewayProcess({settings, settingsText: content(text)});
		assert.equal(await gateway.exited, BAD_SETTINGS_EXIT_CODE);
		assert.match(gateway.errors.join(''), expected);
		await gateway.stop();
		gateway = await startGatewayProcess({settings});
		await until(async () => isReady(settings));
		await writeFile(gateway.settingsPath, content(text));
		gateway.signal('SIGHUP');
		await until(() => gateway.lines.some(({event, detail}) => event === 'settings-refused' && typeof detail === 'string'));
		assert.match(gateway.errors.join(''), expected);
		assert.equal(await statusOf(), 200);
	};

	for (const fileCase of cases) {
		it(`ends the start with an error, and changes nothing at a reload, when it ${fileCase.name}`, async () => check(fileCase));
	}

	it('is read again when it is just being written at the start and at a reload', async () => {
		const text = JSON.stringify(settings);
		gateway = await startGatewayProcess({settings, settingsText: text.slice(0, 100)});
		await sleep(REPLACE_MS);
		await writeFile(gateway.settingsPath, text);
		await until(async () => gateway.hasExited() || isReady(settings));
		assert.equal(gateway.hasExited(), false, gateway.errors.join(''));
		await writeFile(gateway.settingsPath, '');
		gateway.signal('SIGHUP');
		await sleep(REPLACE_MS);
		await writeFile(gateway.settingsPath, text);
		await until(() => gateway.lines.some(({event}) => event === 'settings-reloaded'));
		assert.deepEqual(gateway.errors, []);
	});

	it('may have fields that are not known', async () => {
		gateway = await startGatewayProcess({settings, settingsText: JSON.stringify({...settings, later: {nested: [1]}, listen: {...settings.listen, later: 'x'}})});
		await until(async () => isReady(settings));
		assert.equal(await statusOf(), 200);
	});
});
