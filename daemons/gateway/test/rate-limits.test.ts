import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {callGateway, startGatewayFleet, until} from '@pomelopick/testing.gateway-fleet';
import type {CallerResponse, GatewayFleet, RegisteredServer} from '@pomelopick/testing.gateway-fleet';
import {startReadyGateway} from './fixture.js';
import type {LoggedGateway} from './fixture.js';

const CALLS = 30;
const PAUSE_MS = 1500;
/** Time of the first start of all servers of a fleet, in milliseconds. */
const FIRST_START_MS = 1000;

describe('rate limits of backend servers', () => {
	let fleet: GatewayFleet;
	const gateways: LoggedGateway[] = [];
	const startGateway = async (number: number): Promise<LoggedGateway> => {
		const gateway = await startReadyGateway(await fleet.settings({instance: `gateway-${number}`}));
		gateways.push(gateway);
		await until(() => gateway.lines.filter(({event}) => event === 'server-changed').length >= fleet.servers.length);
		return gateway;
	};

	before(async () => {
		fleet = await startGatewayFleet({servers: ['north-a', 'north-a', 'north-a', 'north-a', 'north-a']});
		await startGateway(0);
		await startGateway(1);
		await until(() => gateways.every(({lines}) => lines.filter(({event}) => event === 'instance-joined').length >= 2));
	});
	after(async () => {
		await Promise.all(gateways.map(async gateway => gateway.stop()));
		await fleet.stop();
	});

	const call = async (object: string, gateway = gateways[0]!): Promise<CallerResponse> => callGateway({endpoint: gateway.endpoints.callers, object});
	const serverOf = async (object: string): Promise<RegisteredServer> => {
		const {text} = await call(object);
		const {server} = JSON.parse(text) as {server: string};
		return fleet.servers.find(({name}) => name === server)!;
	};

	const callOften = async (object: string, gateway = gateways[0]!): Promise<ReadonlySet<number>> => {
		const responses = await Promise.all(Array.from({length: CALLS}, async () => call(object, gateway)));
		return new Set(responses.map(({status}) => status));
	};

	/** Whether one call after the other goes to a server, more than its limit in these tests would allow. */
	const isServedBy = async ({object, server}: {readonly object: string; readonly server: RegisteredServer}): Promise<boolean> => {
		for (let number = 0; number < CALLS; number += 1) {
			const {name} = await serverOf(object);
			if (name !== server.name) {
				return false;
			}
		}

		return true;
	};

	const countArrivals = ({name}: RegisteredServer): number => fleet.records.arrivalLog.filter(({server}) => server === name).length;
	/** Counts the lines of a gateway about the limit of a server. */
	const countLines = (gateway: LoggedGateway, server: RegisteredServer, event: 'rate-limit-named' | 'rate-limit-ended' | 'server-notice-refused'): number => gateway.lines
		.filter(line => line.event === event && line.subject === server.name)
		.length;
	const isKnownToAll = (server: RegisteredServer): boolean => gateways.every(gateway => countLines(gateway, server, 'rate-limit-named') > 0);
	/** Ends the limit of a server and waits until all gateways know. */
	const endLimit = async ({object, server}: {readonly object: string; readonly server: RegisteredServer}): Promise<void> => {
		const counts = gateways.map(gateway => countLines(gateway, server, 'rate-limit-ended'));
		server.nameRateLimit(undefined);
		await until(async () => {
			await call(object);
			return gateways.every((gateway, index) => countLines(gateway, server, 'rate-limit-ended') > counts[index]!);
		});
	};

	const malformed = ['', '-2', 'NaN', 'few', '1e3', '2, 3', '9'.repeat(60)];
	for (const text of malformed) {
		it(`are logged and change nothing when they cannot be read: ${JSON.stringify(text)}`, async () => {
			const object = `malformed ${text.slice(0, 10)}`;
			const server = await serverOf(object);
			const [gateway] = gateways;
			const countRefused = (): number => countLines(gateway!, server, 'server-notice-refused');
			const before = countRefused();
			server.nameRateLimit(text);
			await until(async () => {
				const {status} = await call(object);
				assert.equal(status, 200);
				return countRefused() > before;
			});
			await until(async () => isServedBy({object, server}));
			server.nameRateLimit(undefined);
		});
	}

	it('are known to other gateways before these send a request, and to one that starts later', async () => {
		const server = await serverOf('told');
		server.nameRateLimit('0.5');
		await call('told');
		await until(() => isKnownToAll(server));
		const before = countArrivals(server);
		assert.deepEqual(await callOften('told', gateways[1]), new Set([200]));
		assert.ok(countArrivals(server) - before <= 1, 'the second gateway sent no more than the limit allows');
		await until(() => fleet.platform.keyValues.read({key: `pomelopick/rate-limits/${server.name}`, recurse: false}).length > 0);
		const late = await startGateway(2);
		await until(() => late.lines.some(({event, subject, detail}) => event === 'rate-limit-named' && subject === server.name && detail === 'read in the store'));
		await endLimit({object: 'told', server});
	});

	it('leave the server its objects: they return when the limit ends', async () => {
		const server = await serverOf('return');
		server.nameRateLimit('1');
		await call('return');
		assert.deepEqual(await callOften('return'), new Set([200]));
		await endLimit({object: 'return', server});
		await until(async () => isServedBy({object: 'return', server}));
	});

	it('hold for one start of a server', async () => {
		const server = await serverOf('restart');
		server.nameRateLimit('0.25');
		await call('restart');
		await until(() => isKnownToAll(server));
		server.nameRateLimit(undefined);
		fleet.register({server, failureDomain: 'north-a', startedAtMs: FIRST_START_MS + 1});
		await until(async () => isServedBy({object: 'restart', server}));
	});

	it('and pauses that the same server asks for are both respected', async () => {
		const server = await serverOf('pause');
		server.nameRateLimit('20');
		await call('pause');
		server.requestPause(PAUSE_MS);
		await until(async () => {
			await call('pause');
			return gateways[0]!.lines.some(({event, subject}) => event === 'server-pauses' && subject === server.name);
		});
		const before = countArrivals(server);
		assert.deepEqual(await callOften('pause'), new Set([200]));
		assert.equal(countArrivals(server), before);
		await until(async () => {
			await call('pause');
			return countArrivals(server) > before;
		});
		await endLimit({object: 'pause', server});
	});

	it('make callers come back later when all servers have used theirs up, and what was refused was not run', async () => {
		for (const server of fleet.servers) {
			server.nameRateLimit('0.5');
		}

		const refusals: CallerResponse[] = [];
		await until(async () => {
			const response = await call(`all ${refusals.length}`);
			refusals.push(response);
			return gateways[0]!.lines.some(({reason}) => reason === 'backend-rate-limited');
		});
		const responses = await Promise.all(Array.from({length: CALLS}, async (_, index) => call(`all ${index}`)));
		const refused = responses.filter(({status}) => status === 503);
		assert.ok(refused.length >= CALLS / 2, `${refused.length} refused`);
		assert.ok(refused.every(({headers}) => Number(headers['retry-after']) > 0));
		const executed = new Set(fleet.records.executions.map(({requestId}) => requestId));
		assert.ok(refused.every(({requestId}) => !executed.has(requestId)));
	});
});
