import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {PassThrough} from 'node:stream';
import {text} from 'node:stream/consumers';
import type {Explanation, ServiceUseReport} from '@pomelopick/core.types';
import {PlatformStore} from '@pomelopick/platform.store';
import {popescuVlad, startFleet} from '@pomelopick/testing.fleet';
import type {Deployment, Fleet} from '@pomelopick/testing.fleet';
import {
	addDrain, createCli, prepareChange, publishChange,
} from '@pomelopick/cli.pomelopick';

const small: Deployment = {
	...popescuVlad,
	services: popescuVlad.services.map(service => ({...service, servers: 6})),
};

interface RunResult {
	readonly code: number;
	readonly output: string;
	readonly errors: string;
}

async function run(...words: readonly string[]): Promise<RunResult> {
	const stdout = new PassThrough();
	const stderr = new PassThrough();
	const reads = Promise.all([text(stdout), text(stderr)]);
	const code = await createCli().run([...words], {stdin: new PassThrough(), stdout, stderr});
	stdout.end();
	stderr.end();
	const [output, errors] = await reads;
	return {code, output, errors};
}

describe('operators\' commands against a fleet', () => {
	let fleet: Fleet;
	let instance: string;
	let store: string;
	before(async () => {
		fleet = await startFleet({deployment: small, entries: 3});
		const {operators} = fleet.entries[0]!.instance;
		instance = `${operators.address}:${operators.port}`;
		store = `${fleet.platform.address}:${fleet.platform.port}`;
	});
	after(async () => {
		await fleet.stop();
	});

	it('explain shows the block, the site, the entry instances and the backend servers in order', async () => {
		const {code, output} = await run('explain', '--client', '127.0.2.9', '--service', 'corrections', '--instance', instance, '--json');
		const explanation = JSON.parse(output) as Explanation;
		assert.equal(code, 0);
		assert.deepEqual(
			{
				block: explanation.block,
				site: explanation.site,
				region: explanation.region,
				named: explanation.entries.filter(({place}) => place !== undefined).length,
				first: explanation.entries[0]?.failureDomain,
			},
			{
				block: '127.0.2.0/24', site: 'muntenia-1-site', region: 'muntenia', named: 3, first: 'muntenia-1',
			},
		);
		const slots = explanation.steps.find(({rule}) => rule === 'slots of corrections in muntenia');
		assert.match(slots?.result ?? '', /^counted by entry-\d; /u);
		assert.equal(explanation.backendServers.length, 6);
		assert.equal(explanation.backendServers[0]?.region, 'muntenia');
	});

	it('status shows every instance, the active version and the state of the store', async () => {
		const {code, output} = await run('status', '--instance', instance);
		assert.equal(code, 0);
		assert.match(output, /3 of 3 instances answer; version 1 in force everywhere/u);
		assert.match(output, /entry-3 .*answering/u);
	});

	it('status shows the slots of a service with the instance that counts them, whichever instance is queried', async () => {
		const {callers} = fleet.entries[0]!.instance;
		const response = await fetch(`http://${callers.address}:${callers.port}/v1/services/corrections/notice`);
		await response.arrayBuffer();
		const ids = new Set(fleet.entries.map(entry => entry.instance.id as string));
		for (const {instance: {operators}} of fleet.entries) {
			const {output} = await run('status', '--instance', `${operators.address}:${operators.port}`, '--json');
			const {serviceUse} = JSON.parse(output) as {readonly serviceUse: readonly ServiceUseReport[]};
			const counted = serviceUse.filter(({slots}) => slots !== undefined);
			assert.ok(counted.some(({service, slots}) => service === 'corrections' && slots!.proven > 0 && ids.has(slots!.countedBy)), output);
			assert.equal(serviceUse.reduce((sum, {callsPlaced}) => sum + callsPlaced, 0), 1);
		}
	});

	it('drain previews and publishes, explain shows the drain, and undrain ends it', async () => {
		const words = ['drain', 'failure-domain', 'muntenia-1', '--store', store, '--instance', instance];
		const preview = await run(...words);
		assert.match(preview.output, /corrections +muntenia +8 +4.*headroom is there.*nothing was published/su);
		const published = await run(...words, '--yes');
		assert.match(published.output, /accepted as version 2/u);
		await fleet.waitForVersion(2 as never);
		const explained = await run('explain', '--client', '127.0.2.9', '--service', 'corrections', '--instance', instance);
		assert.match(explained.output, /corrections-2 +muntenia-1-site.*left out: drain drain-muntenia-1/u);
		const again = await run(...words, '--yes');
		assert.deepEqual([again.code, again.errors.includes('already-drained')], [1, true]);
		const undrained = await run('undrain', 'muntenia-1', '--store', store, '--yes');
		assert.match(undrained.output, /accepted as version 3/u);
	});

	it('shift adds a checked shift and refuses an impossible cap', async () => {
		const words = ['shift', 'late', '--service', 'corrections', '--from', 'muntenia', '--to', 'moldova', '--store', store, '--yes'];
		const impossible = await run(...words, '--cap', '1000000');
		assert.deepEqual([impossible.code, impossible.errors.includes('impossible-cap')], [1, true]);
		const added = await run(...words, '--cap', '50');
		assert.match(added.output, /cap of shift late: none -> 50 calls\/s\n.*accepted as version 4/su);
		await fleet.waitForVersion(4 as never);
		const status = await run('status', '--instance', instance);
		assert.match(status.output, /late +corrections +muntenia +moldova +50 +0\.0/u);
	});

	it('a change is refused without effect if another version was published in between', async () => {
		const client = new PlatformStore({endpoint: fleet.platform});
		const change = addDrain({target: {kind: 'site', name: 'moldova-1-site' as never}, name: 'overtaken'});
		const prepared = await prepareChange({store: client, change}).run();
		const other = await run('drain', 'site', 'moldova-2-site', '--store', store, '--yes');
		const outcome = await publishChange({store: client, prepared: prepared.unsafeCoerce()}).run();
		const shown = await run('config', 'show', '--store', store);
		await run('undrain', 'moldova-2-site', '--store', store, '--yes');
		await client.close();
		assert.deepEqual([other.code, outcome.unsafeCoerce().kind], [0, 'refused']);
		assert.doesNotMatch(shown.output, /"overtaken"/u);
	});

	it('a change without headroom is published only with --force', async () => {
		const domains = ['transilvania-1', 'muntenia-1', 'moldova-1', 'transilvania-2', 'muntenia-2'];
		for (const domain of domains) {
			const {code} = await run('drain', 'failure-domain', domain, '--store', store, '--yes');
			assert.equal(code, 0, domain);
		}

		const last = ['drain', 'failure-domain', 'moldova-2', '--store', store, '--yes'];
		const refused = await run(...last);
		assert.deepEqual([refused.code, refused.errors.includes('no-headroom')], [1, true]);
		const forced = await run(...last, '--force');
		assert.equal(forced.code, 0);
		for (const domain of [...domains, 'moldova-2']) {
			await run('undrain', domain, '--store', store, '--yes');
		}
	});

	it('events merges the events of all instances, ordered by time', async () => {
		const {code, output} = await run('events', '--instance', instance, '--json');
		const events = output.trim().split('\n').map(line => JSON.parse(line) as {atMs: number; instance: string});
		assert.equal(code, 0);
		assert.deepEqual(events.map(({atMs}) => atMs), events.map(({atMs}) => atMs).sort((left, right) => left - right));
		assert.equal(new Set(events.map(event => event.instance)).size, 3);
	});

	it('a store outage is reported with its own message and exit code', async () => {
		await fleet.setPlatformFaults({outage: true});
		const {code, errors} = await run('drain', 'site', 'muntenia-1-site', '--store', store, '--yes');
		await fleet.setPlatformFaults({outage: false});
		assert.equal(code, 3);
		assert.match(errors, /store-unavailable/u);
	});

	it('status lists an instance that does not respond', async () => {
		const killed = fleet.entries[2]!;
		await killed.child.kill();
		const {code, output} = await run('status', '--instance', instance);
		assert.equal(code, 3);
		assert.match(output, /2 of 3 instances answer/u);
		assert.match(output, new RegExp(String.raw`missing: ${killed.instance.id} at 127\.0\.0\.1:\d+: .*does not answer`, 'u'));
	});
});

const refusedCommands: ReadonlyArray<{name: string; words: readonly string[]; code: number; message: RegExp}> = [
	{
		name: 'a client that is not an IP address',
		words: ['explain', '--client', 'here', '--service', 'x', '--instance', '127.0.0.1:1'],
		code: 2,
		message: /--client: expected an IP address, found "here"/u,
	},
	{
		name: 'an instance that is not an endpoint', words: ['status', '--instance', 'there'], code: 2, message: /--instance: expected IP:PORT, found "there"/u,
	},
	{
		name: 'an unreachable instance', words: ['status', '--instance', '127.0.0.1:1'], code: 3, message: /instance-unavailable: http:\/\/127\.0\.0\.1:1 does not answer/u,
	},
	{
		name: 'a kind that cannot be drained', words: ['drain', 'region', 'north', '--store', '127.0.0.1:1'], code: 2, message: /KIND: expected backend-server, site, failure-domain; found "region"/u,
	},
	{
		name: 'a cap that is not a number', words: ['shift', 'x', '--cap', 'much', '--store', '127.0.0.1:1'], code: 2, message: /--cap: expected a number above 0, found "much"/u,
	},
	{
		name: 'an unreachable store', words: ['undrain', 'x', '--store', '127.0.0.1:1'], code: 3, message: /store-unavailable/u,
	},
	{
		name: 'a count of events below 1', words: ['events', '--instance', '127.0.0.1:1', '--last', '0'], code: 2, message: /--last: expected a whole number from 1/u,
	},
];

describe('operators\' commands refuse', () => {
	for (const {name, words, code, message} of refusedCommands) {
		it(name, async () => {
			const result = await run(...words);
			assert.equal(result.code, code);
			assert.match(result.errors, message);
		});
	}
});
