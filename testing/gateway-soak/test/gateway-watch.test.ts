import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {startGatewayFleet} from '@pomelopick/testing.gateway-fleet';
import type {GatewayProcess} from '@pomelopick/testing.gateway-fleet';
import {findEndFailure, watchSilence} from '@pomelopick/testing.gateway-soak';
import type {WatchedGateway} from '@pomelopick/testing.gateway-soak';

const WATCH_MS = 7500;

async function fabricate({code, wasToldToEnd = false, isFrozen = false, hasExited = true, readiness}: {
	readonly code?: number; readonly wasToldToEnd?: boolean; readonly isFrozen?: boolean; readonly hasExited?: boolean; readonly readiness?: string;
}): Promise<WatchedGateway> {
	const fleet = await startGatewayFleet({servers: []});
	const settings = await fleet.settings();
	await fleet.stop();
	const process: GatewayProcess = {
		processId: 0, settingsPath: '', lines: [{event: 'last'}], errors: ['said before its end'], exited: Promise.resolve(code), hasExited: () => hasExited, wasToldToEnd: () => wasToldToEnd, isFrozen: () => isFrozen, starvedMs: () => 0,
		signal() {/* Nothing runs. */}, async writeSettings() {/* Nothing runs. */}, readOutput() {/* Nothing runs. */}, async stop() {/* Nothing runs. */},
	};
	return {settings: {...settings, listen: {...settings.listen, ...(readiness !== undefined && {readiness})}}, process};
}

const ends: ReadonlyArray<{name: string; code?: number; wasToldToEnd: boolean; isViolated: boolean}> = [
	{
		name: 'an end with code 1 that nobody asked for', code: 1, wasToldToEnd: false, isViolated: true,
	},
	{
		name: 'an end with code 0 that nobody asked for', code: 0, wasToldToEnd: false, isViolated: true,
	},
	{name: 'an end by a signal that nobody sent', wasToldToEnd: false, isViolated: true},
	{
		name: 'an end with code 1 after a signal', code: 1, wasToldToEnd: true, isViolated: true,
	},
	{
		name: 'an end with code 0 after a signal', code: 0, wasToldToEnd: true, isViolated: false,
	},
	{name: 'an end by a signal that was sent', wasToldToEnd: true, isViolated: false},
];

describe('findEndFailure', () => {
	for (const {name, isViolated, ...end} of ends) {
		it(`${isViolated ? 'reports' : 'accepts'} ${name}`, async () => {
			const violation = await findEndFailure(await fabricate(end));
			assert.equal(violation?.kind, isViolated ? 'instance-failed' : undefined);
			assert.ok(!violation || /said before its end.*"last"/u.test(violation.detail), violation?.detail);
		});
	}
});

describe('watchSilence', () => {
	const server = createServer((_request, response) => {
		response.writeHead(503).end();
	});
	const cases: ReadonlyArray<{name: string; isFrozen?: boolean; isAnswering?: boolean; violations: readonly string[]}> = [
		{name: 'reports once a process that runs and does not answer', violations: ['instance-silent']},
		{name: 'accepts a process that is frozen', isFrozen: true, violations: []},
		{name: 'accepts a process that answers that it is not ready', isAnswering: true, violations: []},
	];
	for (const {name, isFrozen, isAnswering, violations} of cases) {
		it(name, async () => {
			await new Promise<void>(resolve => {
				server.listen(0, '127.0.0.1', resolve);
			});
			const readiness = isAnswering ? `127.0.0.1:${(server.address() as AddressInfo).port}` : undefined;
			const gateway = await fabricate({hasExited: false, isFrozen, readiness});
			const found: string[] = [];
			const stopped = new AbortController();
			const watching = watchSilence({
				gateway, signal: stopped.signal, onSilence({kind}) {
					found.push(kind);
				},
			});
			await sleep(WATCH_MS);
			stopped.abort();
			await watching;
			server.close();
			server.closeAllConnections();
			assert.deepEqual(found, violations);
		});
	}
});
