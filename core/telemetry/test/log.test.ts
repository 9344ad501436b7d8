import assert from 'node:assert/strict';
import process from 'node:process';
import {describe, it} from 'node:test';
import createDebug from 'debug';
import {createLog, useLogNamespaces} from '@pomelopick/core.telemetry';

const cases: ReadonlyArray<{name: string; environment: string | undefined; namespaces: string; expected: boolean}> = [
	{
		name: 'the settings enable a namespace', environment: undefined, namespaces: 'pomelopick:part', expected: true,
	},
	{
		name: 'settings for another namespace do not enable it', environment: undefined, namespaces: 'pomelopick:other', expected: false,
	},
	{
		name: 'empty settings do not enable it', environment: undefined, namespaces: '', expected: false,
	},
	{
		name: 'the environment takes precedence over the settings', environment: 'elsewhere', namespaces: 'pomelopick:part', expected: false,
	},
];

describe('useLogNamespaces', () => {
	for (const {name, environment, namespaces, expected} of cases) {
		it(name, () => {
			createDebug.disable();
			if (environment !== undefined) {
				process.env.DEBUG = environment;
			}

			useLogNamespaces(namespaces);
			assert.equal(createLog('part').enabled, expected);
			delete process.env.DEBUG;
		});
	}
});
