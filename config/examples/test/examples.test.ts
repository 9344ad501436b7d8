import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {describe, it} from 'node:test';
import {checkConfigurationSet} from '@pomelopick/config.schema';
import type {ConfigurationSetInput} from '@pomelopick/config.schema';
import {parseSettings} from '@pomelopick/config.settings';
import {
	createExampleSet, createExampleSettings, createPlannedSet, hebrides, listExampleFiles, plannedSize, popescuVlad,
} from '@pomelopick/config.examples';

const PACKAGE = new URL('..', import.meta.url);
const SEED = 1;

const sets: ReadonlyArray<{name: string; set: ConfigurationSetInput; counts: Record<string, number>}> = [
	{
		name: popescuVlad.name, set: createExampleSet(popescuVlad), counts: {
			regions: 3, failureDomains: 6, backendServers: 28, clientBlocks: 12,
		},
	},
	{
		name: hebrides.name, set: createExampleSet(hebrides), counts: {
			regions: 3, failureDomains: 6, backendServers: 28, clientBlocks: 12,
		},
	},
	{
		name: `planned size, seed ${SEED}`, set: createPlannedSet({seed: SEED}), counts: {
			regions: 8, failureDomains: 27, sites: 170, clientBlocks: 130_000,
		},
	},
];

describe('example sets', () => {
	for (const {name, set, counts} of sets) {
		it(`${name} passes all checks and has the expected size`, () => {
			const checked = checkConfigurationSet(set);
			assert.deepEqual(checked.swap().orDefault([]), []);
			const found = checked.unsafeCoerce() as unknown as Record<string, unknown[]>;
			assert.deepEqual(Object.fromEntries(Object.keys(counts).map(kind => [kind, found[kind]?.length])), counts);
		});
	}

	it('are equal for the same seed and differ for different seeds', () => {
		const size = {...plannedSize, clientBlocks: 100};
		assert.deepEqual(createPlannedSet({seed: SEED, size}), createPlannedSet({seed: SEED, size}));
		assert.notDeepEqual(createPlannedSet({seed: SEED, size}), createPlannedSet({seed: SEED + 1, size}));
	});
});

describe('example settings', () => {
	for (const deployment of [popescuVlad, hebrides]) {
		it(`${deployment.name} are accepted`, () => {
			assert.equal(parseSettings(createExampleSettings(deployment)).isRight(), true);
		});
	}
});

describe('committed files', () => {
	for (const {path, content} of listExampleFiles()) {
		it(`${path} equals the generated content; regenerate it with \`npm run examples\``, async () => {
			assert.equal(await readFile(new URL(path, PACKAGE), 'utf8'), content);
		});
	}
});
