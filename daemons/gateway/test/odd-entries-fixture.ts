/** A gateway while entries that it cannot use are in the store. */
import assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import {
	after, afterEach, before, beforeEach,
} from 'node:test';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';
import {
	callGateway, endpointOf, isReady, startGatewayFleet, startGatewayProcess, until,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet, GatewayProcess, RegisteredServer} from '@pomelopick/testing.gateway-fleet';
import {SERVER_ADDRESS} from './odd-entry-cases.js';
import type {Written} from './odd-entry-cases.js';

const REQUESTS = 24;
/** Lines about refusals in the few seconds of a case; one for each entry would be more. */
const MAX_REFUSAL_LINES = 200;
const SHOWN_CHARACTERS = 600;

interface Called {
	readonly settings: GatewaySettingsInput;
	readonly process: GatewayProcess;
}

/** A fleet whose store is given odd entries, and one gateway that is started anew for each test. */
export class OddEntriesFixture {
	/** Starts the store and the servers. */
	static async create(): Promise<OddEntriesFixture> {
		return new OddEntriesFixture(await startGatewayFleet());
	}

	#settings!: GatewaySettingsInput;
	#gateway!: GatewayProcess;
	#late: RegisteredServer | undefined;
	#count = 0;

	private constructor(readonly fleet: GatewayFleet) {}

	/** Starts the gateway. */
	async startGateway(): Promise<void> {
		this.#settings = await this.fleet.settings({instance: `gateway-${randomUUID()}`});
		this.#gateway = await startGatewayProcess({settings: this.#settings});
		await until(async () => isReady(this.#settings));
	}

	/** Kills the gateway. */
	async killGateway(): Promise<void> {
		this.#gateway.signal('SIGKILL');
		await this.#gateway.stop();
	}

	/** Writes to the store. */
	write(written: readonly Written[]): void {
		for (const [key, value] of written) {
			this.fleet.platform.keyValues.put({key, value: typeof value === 'string' ? new TextEncoder().encode(value.replace(SERVER_ADDRESS, `127.0.0.1:${this.fleet.servers[0]!.port}`)) : value});
		}
	}

	/** Sends requests, which must all succeed; returns whether the named server ran one. */
	async reaches(name: string): Promise<boolean> {
		const before = this.fleet.records.executions.length;
		await this.#callAll({settings: this.#settings, process: this.#gateway});
		return this.fleet.records.executions.slice(before).some(({server}) => server === name);
	}

	/** Adds a server, lets the one added before leave, and waits until requests show both. */
	async followServers(): Promise<void> {
		const leaving = this.#late;
		this.#count += 1;
		this.#late = await this.fleet.addServer({name: `late-${this.#count}`, failureDomain: 'north-a'});
		if (leaving) {
			this.fleet.register({server: leaving, failureDomain: 'north-a', state: 'draining'});
		}

		await until(async () => this.reaches(this.#late!.name));
		if (leaving) {
			await until(async () => !await this.reaches(leaving.name));
		}
	}

	/** Starts a further gateway, and checks that it serves requests. */
	async startAndCall(): Promise<void> {
		const further = await this.fleet.settings({instance: `further-${randomUUID()}`});
		const started = await startGatewayProcess({settings: further});
		try {
			await until(async () => isReady(further));
			await this.#callAll({settings: further, process: started});
		} finally {
			started.signal('SIGKILL');
			await started.stop();
		}
	}

	/** Checks that gateways serve requests, follow servers and start while entries are in the store. */
	async check(written: readonly Written[]): Promise<void> {
		const isConfiguration = written.some(([key]) => key === 'op/config');
		const [configuration] = this.fleet.platform.keyValues.read({key: 'op/config', recurse: false});
		this.write(written);
		try {
			await this.followServers();
			assert.ok(!this.#gateway.hasExited(), this.#gateway.errors.join('').slice(0, SHOWN_CHARACTERS));
			assert.ok(this.#gateway.lines.filter(({event}) => event === 'server-refused').length <= MAX_REFUSAL_LINES);
			if (!isConfiguration) {
				await this.startAndCall();
			}
		} finally {
			for (const [key] of written) {
				this.fleet.platform.keyValues.delete({key});
			}

			this.write([[configuration!.key, configuration!.value]]);
		}
	}

	async #callAll(called: Called): Promise<void> {
		const failures: string[] = [];
		for (let request = 0; request < REQUESTS; request += 1) {
			const {status, text} = await callGateway({endpoint: endpointOf(called.settings.listen.callers), object: randomUUID()});
			failures.push(...(status === 200 ? [] : [`${status} ${text}`]));
		}

		assert.deepEqual(failures, [], called.process.errors.join('').slice(0, SHOWN_CHARACTERS));
	}
}

/** Starts a fixture for the tests of a suite; returns a function that returns it. */
export function useOddEntriesFixture(): () => OddEntriesFixture {
	let fixture: OddEntriesFixture;
	before(async () => {
		fixture = await OddEntriesFixture.create();
	});
	after(async () => fixture.fleet.stop());
	beforeEach(async () => fixture.startGateway());
	afterEach(async () => fixture.killGateway());
	return () => fixture;
}
