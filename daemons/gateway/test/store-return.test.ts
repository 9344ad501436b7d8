/** Guards against gateways that miss changes, or undo what they know, after the store has returned from an older copy. */
import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';
import {
	configuration, isReady, startGatewayFleet, startGatewayProcess, until,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet, GatewayProcess} from '@pomelopick/testing.gateway-fleet';

const GATEWAYS = 4;
/** Writes of servers between the copy and the end of the store's work. */
const WRITES_BEFORE = 8;
const AWAY_MS = 400;
const OBSERVED_MS = 2500;

interface Member {
	readonly settings: GatewaySettingsInput;
	readonly process: GatewayProcess;
}

/** A line that each gateway has to write. */
interface ExpectedLine {
	readonly event: string;
	readonly subject: string;
	readonly detail?: RegExp;
}

interface ChangeCase {
	readonly name: string;
	readonly change: (fleet: GatewayFleet) => ExpectedLine;
}

/** Wall-clock time of the last start of the servers, in milliseconds. */
let startedAtMs = 2000;
let version = 1;
const publish = (fleet: GatewayFleet): ExpectedLine => {
	version += 1;
	fleet.write('op/config', configuration({version}));
	return {event: 'routes-in-force', subject: String(version)};
};

const changeCases: readonly ChangeCase[] = [
	{name: 'a configuration', change: publish},
	{
		name: 'the evacuation of a failure domain', change(fleet) {
			fleet.write('op/evacuate/north-b', {});
			return {event: 'evacuation-begun', subject: 'north-b'};
		},
	},
	{
		name: 'the end of an evacuation', change(fleet) {
			fleet.platform.keyValues.delete({key: 'op/evacuate/north-b'});
			return {event: 'evacuation-ended', subject: 'north-b'};
		},
	},
	{
		name: 'a server that drains', change(fleet) {
			fleet.register({
				server: fleet.servers[0]!, failureDomain: 'north-a', state: 'draining', startedAtMs,
			});
			return {event: 'server-changed', subject: 'server-0', detail: /: draining at /u};
		},
	},
	{
		name: 'a server that leaves', change(fleet) {
			fleet.platform.keyValues.delete({key: 'servers/server-1'});
			return {event: 'server-gone', subject: 'server-1'};
		},
	},
];

/** Writes of servers after the change, before the gateways reach the store again. */
const overtakings: ReadonlyArray<{name: string; writes: number}> = [
	{name: 'revisions are below those that gateways know', writes: 0},
	{name: 'revisions have overtaken those that gateways know', writes: WRITES_BEFORE * 2},
];

describe('gateways whose store returns from an older copy', () => {
	let fleet: GatewayFleet;
	let members: readonly Member[];
	before(async () => {
		fleet = await startGatewayFleet();
		members = await Promise.all(Array.from({length: GATEWAYS}, async (_, number) => {
			const settings = await fleet.settings({instance: `gateway-${number}`});
			return {settings, process: await startGatewayProcess({settings})};
		}));
		await until(async () => {
			const ready = await Promise.all(members.map(async ({settings}) => isReady(settings)));
			return ready.every(Boolean) && members.filter(({process}) => process.lines.some(({event}) => event === 'upstream-followed')).length >= GATEWAYS - 1;
		});
	});
	after(async () => {
		await Promise.all(members.map(async ({process}) => process.stop()));
		await fleet.stop();
	});

	const heartbeat = (times: number): void => {
		for (let time = 0; time < times; time += 1) {
			fleet.register({server: fleet.servers[2]!, failureDomain: 'north-b'});
		}
	};

	/** Starts the servers anew that the change before may have taken away. */
	const restartServers = (): void => {
		startedAtMs += 1;
		for (const server of fleet.servers.slice(0, 2)) {
			fleet.register({server, failureDomain: 'north-a', startedAtMs});
		}
	};

	/** Lets the store go away for a moment and return from the copy. The given writes come before any gateway reaches it again. */
	const returnFrom = async ({copy, write}: {readonly copy: ReturnType<typeof fleet.platform.keyValues.copy>; readonly write: () => void}): Promise<void> => {
		fleet.platform.faults.outage = true;
		await sleep(AWAY_MS);
		fleet.platform.keyValues.returnTo(copy);
		write();
		fleet.platform.faults.outage = false;
	};

	const linesOf = ({process}: Member, event: string): ReadonlyArray<Readonly<Record<string, unknown>>> => process.lines.filter(line => line.event === event);

	const countLines = (events: readonly string[]): number => members.reduce((count, member) => count + events.reduce((sum, event) => sum + linesOf(member, event).length, 0), 0);

	const untilAllWrite = async ({event, subject, detail = /^/u}: ExpectedLine, from: readonly number[]): Promise<void> => until(() => members.every(({process}, index) => process.lines.slice(from[index])
		.some(line => line.event === event && line.subject === subject && detail.test(String(line.detail)))));

	const positions = (): readonly number[] => members.map(({process}) => process.lines.length);

	const checkChange = async ({change, writes}: Pick<ChangeCase, 'change'> & {readonly writes: number}): Promise<void> => {
		restartServers();
		const copy = fleet.platform.keyValues.copy();
		heartbeat(WRITES_BEFORE);
		await untilAllWrite(publish(fleet), positions());
		const from = positions();
		let expected: ExpectedLine | undefined;
		await returnFrom({
			copy, write() {
				expected = change(fleet);
				heartbeat(writes);
			},
		});
		await untilAllWrite(expected!, from);
		const {era} = fleet.platform.keyValues;
		await until(() => members.every(({process}, index) => process.lines.slice(from[index]).some(({event, storeEra, values, tookMs}) => event === 'store-return-handled'
			&& storeEra === era && Number(values) > 0 && typeof tookMs === 'number')));
	};

	const returnTwice = async (writes: number): Promise<void> => {
		const copy = fleet.platform.keyValues.copy();
		for (let time = 0; time < 2; time += 1) {
			await returnFrom({
				copy, write() {
					heartbeat(writes);
				},
			});
			await sleep(1000);
		}
	};

	for (const {name: overtaking, writes} of overtakings) {
		for (const {name, change} of changeCases) {
			it(`learn of ${name} that comes at once, where ${overtaking}`, async () => checkChange({change, writes}));
		}

		it(`learn of a change after a third return, where ${overtaking}`, async () => {
			await returnTwice(writes);
			await checkChange({change: publish, writes});
		});
	}

	it('keep an evacuation that the copy lacks until it is written again', async () => {
		fleet.platform.keyValues.delete({key: 'op/evacuate/south-a'});
		const copy = fleet.platform.keyValues.copy();
		const from = positions();
		fleet.write('op/evacuate/south-a', {});
		await untilAllWrite({event: 'evacuation-begun', subject: 'south-a'}, from);
		const ended = countLines(['evacuation-ended']);
		await returnFrom({
			copy, write() {
				fleet.platform.keyValues.delete({key: 'op/evacuate/south-a'});
			},
		});
		await sleep(1000);
		fleet.write('op/evacuate/south-a', {});
		await sleep(OBSERVED_MS);
		assert.equal(countLines(['evacuation-ended']), ended);
	});

	it('end an evacuation that is not written again', async () => {
		const from = positions();
		const copy = fleet.platform.keyValues.copy();
		await returnFrom({
			copy, write() {
				fleet.platform.keyValues.delete({key: 'op/evacuate/south-a'});
			},
		});
		await untilAllWrite({event: 'evacuation-ended', subject: 'south-a'}, from);
	});

	it('keep all instances, whose records and leases are gone, and all servers', async () => {
		const copy = fleet.platform.keyValues.copy();
		const lost = countLines(['instance-left', 'server-gone']);
		await returnFrom({
			copy, write() {
				heartbeat(WRITES_BEFORE);
			},
		});
		await sleep(OBSERVED_MS);
		assert.equal(countLines(['instance-left', 'server-gone']), lost);
		assert.equal(fleet.platform.keyValues.read({key: 'pomelopick/instances/', recurse: true}).length, GATEWAYS);
	});
});
