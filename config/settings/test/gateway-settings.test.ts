/** Guards against settings that end the process where they are checked or used. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {parseGatewaySettings, parseSettings} from '@pomelopick/config.settings';

const DEEP = 200_000;
const at = '127.0.0.1:80';
const settings = {
	instance: 'a', failureDomain: 'north-a', region: 'north', regions: {'north-a': 'north'}, store: at, shutdownSeconds: 1, directoryMostSeconds: 1,
	listen: {
		callers: at, readiness: at, directory: at, metrics: at, peers: at,
	},
	retries: {ratio: 0.2, allowance: 5, windowSeconds: 10},
};
const nested: unknown = JSON.parse(`${'['.repeat(DEEP)}${']'.repeat(DEEP)}`);

describe('settings', () => {
	it('are read', () => {
		assert.equal(parseGatewaySettings(settings).isRight(), true);
	});

	for (const store of ['[fe80::1%lo]:80', '0.0.0.0:80', '127.0.0.1:0', '[::]:80']) {
		it(`are refused with the store at ${store}`, () => {
			assert.match(parseGatewaySettings({...settings, store}).swap().map(({message}) => message).orDefault('read'), /^store: /u);
		});
	}

	for (const [name, parse] of [['gateway', parseGatewaySettings], ['entry', parseSettings]] as const) {
		it(`are refused with a text when they are nested too deeply: ${name}`, () => {
			assert.equal(parse(nested).isLeft(), true);
			assert.equal(parse({...settings, instance: nested}).isLeft(), true);
		});
	}
});
