import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import type {PublishedConfiguration} from '@pomelopick/config.publishing';
import type {ConfigurationSet, ConfigurationVersion, PublishId} from '@pomelopick/core.types';
import {ConfigurationHolder} from '@pomelopick/config.distribution';

const SEED = 42;

const emptySet: ConfigurationSet = {
	regions: [], failureDomains: [], sites: [], links: [], services: [], backendServers: [], shifts: [], spillRules: [], drains: [], clientBlocks: [],
};

function createVersion(version: number): PublishedConfiguration {
	return {
		root: {
			version: version as ConfigurationVersion, publishId: `publish-${version}` as PublishId, author: 'test', publishedAtMs: 0, chunks: [],
		},
		set: emptySet,
	};
}

describe('ConfigurationHolder', () => {
	it('never decreases the version, in whatever order versions arrive, and reports each higher one once', () => {
		fc.assert(fc.property(fc.array(fc.integer({min: 1, max: 20}), {minLength: 1}), versions => {
			const holder = new ConfigurationHolder();
			const reported: number[] = [];
			holder.onChange(({root}) => {
				reported.push(root.version);
			});
			let highest = 0;
			for (const [nowMs, version] of versions.entries()) {
				const isAccepted = holder.offer({configuration: createVersion(version), nowMs});
				assert.equal(isAccepted, version > highest);
				highest = Math.max(highest, version);
				assert.equal(holder.version, highest);
			}

			assert.deepEqual(reported, [...new Set(reported)].sort((left, right) => left - right));
		}), {seed: SEED});
	});

	it('accepts only more recent confirmations of the active version', () => {
		const holder = new ConfigurationHolder();
		holder.offer({configuration: createVersion(2), nowMs: 100});
		const steps = [
			{version: 2, nowMs: 50, expected: 100},
			{version: 1, nowMs: 200, expected: 100},
			{version: 3, nowMs: 200, expected: 100},
			{version: 2, nowMs: 150, expected: 150},
		];
		for (const {version, nowMs, expected} of steps) {
			holder.confirm({version, nowMs});
			assert.equal(holder.view?.confirmedAtMs, expected);
		}
	});

	it('records a higher version before it is active', () => {
		const holder = new ConfigurationHolder();
		holder.offer({configuration: createVersion(2), nowMs: 0});
		holder.recordExistence(5);
		holder.recordExistence(4);
		assert.deepEqual([holder.version, holder.newestKnownVersion], [2, 5]);
		holder.offer({configuration: createVersion(6), nowMs: 0});
		assert.deepEqual([holder.version, holder.newestKnownVersion], [6, 6]);
	});
});
