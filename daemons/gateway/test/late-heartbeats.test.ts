/** Guards against servers that get requests again because the store executes a heartbeat after their entry was removed. */
import assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';
import {
	callGateway, endpointOf, isReady, startGatewayFleet, startGatewayProcess, until,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet, GatewayProcess, RegisterOptions} from '@pomelopick/testing.gateway-fleet';

const GATEWAYS = 3;
const REQUESTS_EACH = 12;
/** Number that is added to those of the cases: the fleet counts its own registrations of servers from 1. */
const FIRST_SEQUENCE = 1000;
/** Time after which a removal or an entry has reached all gateways, in milliseconds. */
const SETTLED_MS = 1500;

interface Entry extends Pick<RegisterOptions, 'state' | 'startedAtMs'> {
	readonly sequence: number;
}

interface Case {
	readonly name: string;
	/** Entries before the removal, of a start 1000 and heartbeats from 10 on. */
	readonly before: readonly Entry[];
	/** Entries that the store writes after the removal; between two of them, the entry is removed again. */
	readonly late: readonly Entry[];
	readonly isUsed: boolean;
}

const cases: readonly Case[] = [
	{
		name: 'one heartbeat', before: [{sequence: 10}, {sequence: 14}], late: [{sequence: 12}], isUsed: false,
	},
	{
		name: 'a heartbeat of a server that reported before that it drains', before: [{sequence: 10}, {sequence: 14, state: 'draining'}], late: [{sequence: 12}], isUsed: false,
	},
	{
		name: 'a heartbeat of the start before the last one', before: [{sequence: 10}, {sequence: 0, startedAtMs: 2000}], late: [{sequence: 12}], isUsed: false,
	},
	{
		name: 'two heartbeats', before: [{sequence: 10}, {sequence: 14}], late: [{sequence: 11}, {sequence: 12}], isUsed: false,
	},
	{
		name: 'a later heartbeat, by which a start goes on whose entry expired', before: [{sequence: 10}], late: [{sequence: 11}], isUsed: true,
	},
	{
		name: 'a new start with a clock that is behind', before: [{sequence: 10}], late: [{sequence: 0, startedAtMs: 500}], isUsed: true,
	},
];

describe('gateways, after the entry of a server was removed and the store executes', () => {
	let fleet: GatewayFleet;
	let settings: readonly GatewaySettingsInput[];
	let gateways: readonly GatewayProcess[];
	before(async () => {
		fleet = await startGatewayFleet();
		settings = await Promise.all(Array.from({length: GATEWAYS}, async (_, number) => fleet.settings({instance: `gateway-${number}`})));
		gateways = await Promise.all(settings.map(async own => startGatewayProcess({settings: own})));
		await until(async () => {
			const ready = await Promise.all(settings.map(async own => isReady(own)));
			return ready.every(Boolean);
		});
	});
	after(async () => {
		await Promise.all(gateways.map(async gateway => gateway.stop()));
		await fleet.stop();
	});

	/** Sends requests to all gateways; returns how many ran at a server. */
	const countRuns = async (name: string): Promise<number> => {
		const from = fleet.records.executions.length;
		for (let number = 0; number < REQUESTS_EACH; number += 1) {
			await Promise.all(settings.map(async ({listen: {callers}}) => callGateway({endpoint: endpointOf(callers), object: randomUUID()})));
		}

		return fleet.records.executions.slice(from).filter(({server}) => server === name).length;
	};

	const check = async ({before: entriesBefore, late, isUsed}: Case): Promise<void> => {
		const server = await fleet.addServer({name: randomUUID(), failureDomain: 'north-a'});
		const write = ({sequence, state, startedAtMs}: Entry): void => {
			fleet.register({
				server, failureDomain: 'north-a', state, startedAtMs, sequence: FIRST_SEQUENCE + sequence,
			});
		};

		const remove = async (): Promise<void> => {
			fleet.platform.keyValues.delete({key: `servers/${server.name}`});
			await sleep(SETTLED_MS);
		};

		for (const entry of entriesBefore) {
			write(entry);
			await sleep(SETTLED_MS);
		}

		await remove();
		for (const [index, entry] of late.entries()) {
			if (index > 0) {
				await remove();
			}

			write(entry);
			await sleep(SETTLED_MS);
		}

		assert.equal(await countRuns(server.name) > 0, isUsed);
		await remove();
	};

	for (const options of cases) {
		it(options.name, async () => check(options));
	}
});
