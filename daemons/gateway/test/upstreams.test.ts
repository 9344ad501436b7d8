import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';
import {
	configuration, isReady, startGatewayFleet, startGatewayProcess, until,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet, GatewayProcess} from '@pomelopick/testing.gateway-fleet';

const SIZE = 4;

interface Member {
	readonly settings: GatewaySettingsInput;
	process: GatewayProcess;
}

describe('gateways of one region', () => {
	let fleet: GatewayFleet;
	const members: Member[] = [];
	before(async () => {
		fleet = await startGatewayFleet();
		for (let number = 0; number < SIZE; number += 1) {
			const settings = await fleet.settings({instance: `gateway-${number}`});
			members.push({settings, process: await startGatewayProcess({settings})});
		}

		await until(async () => {
			const ready = await Promise.all(members.map(async ({settings}) => isReady(settings)));
			return !ready.includes(false) && members.filter(member => upstreamOf(member) !== undefined).length === SIZE - 1;
		});
	});
	after(async () => {
		await Promise.all(members.map(async ({process}) => process.stop()));
		await fleet.stop();
	});

	/** The instance that a member last followed or lost as its upstream. */
	const upstreamOf = ({process}: Member): unknown => process.lines.findLast(({event}) => event === 'upstream-followed' || event === 'upstream-lost')?.subject;
	const findUpstream = (): Member => {
		const names = new Set(members.map(member => upstreamOf(member)));
		return members.find(({settings}) => names.has(settings.instance))!;
	};

	let version = 1;
	/** Publishes a version and waits until the given members have activated it. */
	const publish = async (expected: readonly Member[]): Promise<void> => {
		version += 1;
		const published = version;
		fleet.write('op/config', configuration({version: published}));
		await until(() => expected.every(({process}) => process.lines.some(({event, subject}) => event === 'routes-in-force' && subject === String(published))));
	};

	it('follow one of them, and receive changes through it', async () => {
		const upstream = findUpstream();
		await publish(members);
		assert.deepEqual(members.filter(member => member !== upstream).map(member => upstreamOf(member)), Array.from({length: SIZE - 1}, () => upstream.settings.instance));
	});

	it('receive a change while the instance that they follow is stalled, and continue afterwards', async () => {
		const upstream = findUpstream();
		upstream.process.signal('SIGSTOP');
		await publish(members.filter(member => member !== upstream));
		upstream.process.signal('SIGCONT');
		await publish(members);
	});

	it('receive a change while the instance that they follow is killed', async () => {
		const upstream = findUpstream();
		upstream.process.signal('SIGKILL');
		await upstream.process.exited;
		await publish(members.filter(member => member !== upstream));
		upstream.process = await startGatewayProcess({settings: upstream.settings});
		await publish(members);
	});

	it('receive a change after the instance that they follow was stopped as planned', async () => {
		const upstream = findUpstream();
		upstream.process.signal('SIGTERM');
		await upstream.process.exited;
		await publish(members.filter(member => member !== upstream));
		upstream.process = await startGatewayProcess({settings: upstream.settings});
		await publish(members);
	});

	it('receive a change after the store was unavailable', async () => {
		fleet.platform.faults.outage = true;
		await until(() => members.every(({process}) => process.lines.some(({event}) => event === 'store-lost')));
		fleet.platform.faults.outage = false;
		await publish(members);
		await until(() => members.filter(member => upstreamOf(member) !== undefined).length >= SIZE - 1);
	});
});
