import assert from 'node:assert/strict';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {PassThrough} from 'node:stream';
import {
	after, before, describe, it,
} from 'node:test';
import {startPlatformStandIn} from '@pomelopick/testing.platform-stand-in';
import type {PlatformStandIn} from '@pomelopick/testing.platform-stand-in';
import {createCli} from '@pomelopick/cli.pomelopick';

const createSet = (service: string): unknown => ({
	regions: [{name: 'north'}],
	failureDomains: [{name: 'north-1', region: 'north'}],
	sites: [{name: 'one', failureDomain: 'north-1'}],
	services: [{name: service}],
});

describe('config commands', () => {
	let platform: PlatformStandIn;
	let directory: string;
	const run = async (...flags: readonly string[]): Promise<{readonly exitCode: number; readonly output: string}> => {
		const stdout = new PassThrough();
		const stderr = new PassThrough();
		const exitCode = await createCli().run(['config', ...flags, '--store', `${platform.endpoint.address}:${platform.endpoint.port}`], {stdin: new PassThrough(), stdout, stderr});
		return {exitCode, output: `${String(stdout.read() ?? '')}${String(stderr.read() ?? '')}`};
	};

	before(async () => {
		platform = await startPlatformStandIn();
		directory = await mkdtemp(path.join(tmpdir(), 'pomelopick-'));
		for (const service of ['first', 'second']) {
			await writeFile(path.join(directory, service), JSON.stringify(createSet(service)));
		}
	});
	after(async () => {
		await platform.stop();
		await rm(directory, {recursive: true});
	});

	const cases: ReadonlyArray<{name: string; flags: () => readonly string[]; exitCode: number; output: RegExp}> = [
		{
			name: 'history reports that nothing was published yet', flags: () => ['history'], exitCode: 0, output: /nothing was published yet/u,
		},
		{
			name: 'show fails if nothing was published yet', flags: () => ['show'], exitCode: 1, output: /nothing-published: no configuration was published yet/u,
		},
		{
			name: 'publishes a first version', flags: () => ['publish', path.join(directory, 'first')], exitCode: 0, output: /accepted as version 1/u,
		},
		{
			name: 'publishes a second version with a publish id',
			flags: () => ['publish', path.join(directory, 'second'), '--based-on', '1', '--publish-id', 'second-try'],
			exitCode: 0,
			output: /accepted as version 2/u,
		},
		{
			name: 'returns the same version if the same publish is run again',
			flags: () => ['publish', path.join(directory, 'second'), '--based-on', '1', '--publish-id', 'second-try'],
			exitCode: 0,
			output: /accepted as version 2/u,
		},
		{
			name: 'refuses an edit of an earlier version',
			flags: () => ['publish', path.join(directory, 'first'), '--based-on', '1'],
			exitCode: 1,
			output: /refused: version 2 by .* was published first/u,
		},
		{
			name: 'compares a version with the newest', flags: () => ['diff', '1'], exitCode: 0, output: /- services first .*\n\+ services second/u,
		},
		{
			name: 'rolls back by publishing a higher version', flags: () => ['rollback', '1'], exitCode: 0, output: /accepted as version 3/u,
		},
		{
			name: 'finds no difference after a rollback', flags: () => ['diff', '1', '3'], exitCode: 0, output: /versions 1 and 3 have the same content/u,
		},
		{
			name: 'lists the versions, newest first', flags: () => ['history'], exitCode: 0, output: /^ +3 .*content of version 1\n +2 .*second-try\n +1 /u,
		},
		{
			name: 'refuses a version that is not kept', flags: () => ['rollback', '9'], exitCode: 1, output: /unknown-version: version: expected one that is kept, found 9/u,
		},
		{
			name: 'refuses an argument that is not a version', flags: () => ['diff', 'one'], exitCode: 2, output: /FROM: expected a version, found "one"/u,
		},
		{
			name: 'deletes versions that are no longer kept', flags: () => ['collect', '--keep', '1'], exitCode: 0, output: /deleted 1 versions and 0 chunks/u,
		},
	];
	for (const {name, flags, exitCode, output} of cases) {
		it(name, async () => {
			const result = await run(...flags());
			assert.match(result.output, output);
			assert.equal(result.exitCode, exitCode);
		});
	}
});
