import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {
	callGateway, endpointOf, isReady, startGatewayFleet, startGatewayProcess, until,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet, GatewayProcess} from '@pomelopick/testing.gateway-fleet';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';

const FATAL_EXIT_CODE = 70;
const MAX_LINE_LENGTH = 4096;

interface ErrorCase {
	readonly name: string;
	/** Statement that SIGUSR2 runs in the gateway. */
	readonly statement: string;
	readonly expected: {readonly origin: string; readonly reason: string | undefined; readonly detail: string | undefined};
}

const cases: readonly ErrorCase[] = [
	{
		name: 'an error that is thrown', statement: 'throw new TypeError("broken")', expected: {origin: 'uncaughtException', reason: 'TypeError', detail: 'broken'},
	},
	{
		name: 'a promise that is rejected',
		statement: 'Promise.reject(Object.assign(new Error("broken"), {code: "ERR_BROKEN"}))',
		expected: {origin: 'unhandledRejection', reason: 'ERR_BROKEN', detail: 'broken'},
	},
	{
		name: 'a message of a megabyte',
		statement: 'throw new Error("x".repeat(1e6))',
		expected: {origin: 'uncaughtException', reason: 'Error', detail: 'x'.repeat(500)},
	},
	{
		name: 'a value that cannot be described', statement: 'throw {toString() { throw new Error("again") }}', expected: {origin: 'uncaughtException', reason: undefined, detail: undefined},
	},
	{
		name: 'errors without end',
		statement: 'setInterval(() => { throw new Error("broken") }, 1); throw new Error("broken")',
		expected: {origin: 'uncaughtException', reason: 'Error', detail: 'broken'},
	},
];

describe('an error that reaches nobody in a gateway process', () => {
	let fleet: GatewayFleet;
	let settings: GatewaySettingsInput;
	let gateway: GatewayProcess;
	const start = async (statement: string): Promise<void> => {
		const code = `process.on('SIGUSR2', () => { ${statement} })`;
		gateway = await startGatewayProcess({settings, engineFlags: ['--import', `data:text/javascript,${encodeURIComponent(code)}`]});
	};

	beforeEach(async () => {
		fleet = await startGatewayFleet();
		settings = await fleet.settings();
	});
	afterEach(async () => {
		await gateway.stop();
		await fleet.stop();
	});

	const check = async ({statement, expected}: ErrorCase): Promise<void> => {
		await start(statement);
		await until(async () => isReady(settings));
		gateway.signal('SIGUSR2');
		assert.equal(await gateway.exited, FATAL_EXIT_CODE);
		const lines = gateway.lines.filter(({event}) => event === 'fatal-error');
		assert.equal(lines.length, 1);
		const [{origin, reason, detail, stack, ...line}] = lines as [Readonly<Record<string, unknown>>];
		assert.deepEqual({origin, reason, detail}, expected);
		assert.equal(line.instance, settings.instance);
		assert.equal(line.phase, 'running');
		assert.equal(line.inProgress, 0);
		assert.ok(Number(line.upMs) > 0);
		assert.ok(JSON.stringify(lines[0]).length < MAX_LINE_LENGTH);
		assert.equal(typeof stack, reason === undefined ? 'undefined' : 'string');
	};

	for (const errorCase of cases) {
		it(`is one line and an exit code of its own: ${errorCase.name}`, async () => check(errorCase));
	}

	it('leaves a request in progress the time to get its answer, and makes the process unready at once', async () => {
		await start('throw new Error("broken")');
		await until(async () => isReady(settings));
		const slow = callGateway({
			endpoint: endpointOf(settings.listen.callers), plays: ['slow'], method: 'POST', path: '/write/x', body: 'x',
		});
		await until(() => fleet.records.executions.some(({path}) => path === '/write/x'));
		gateway.signal('SIGUSR2');
		await until(() => gateway.lines.some(({event}) => event === 'fatal-error'));
		assert.equal(await isReady(settings), false);
		const {status} = await slow;
		assert.equal(status, 200);
		assert.equal(await gateway.exited, FATAL_EXIT_CODE);
		const line = gateway.lines.find(({event}) => event === 'fatal-error');
		assert.equal(line!.inProgress, 1);
	});

	it('is reported while the gateway still waits for a port', async () => {
		settings = {...settings, listen: {...settings.listen, callers: settings.listen.directory}};
		await start('throw new Error("broken")');
		await until(() => gateway.lines.some(({event}) => event === 'listener-waits'));
		gateway.signal('SIGUSR2');
		assert.equal(await gateway.exited, FATAL_EXIT_CODE);
		assert.equal(gateway.lines.find(({event}) => event === 'fatal-error')!.phase, 'start');
	});
});
