/** Guards against a gateway that takes valid keys for unknown ones because it has not read the configuration yet. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	callGateway, configuration, endpointOf, isReady, startGatewayFleet, startGatewayProcess, until,
} from '@pomelopick/testing.gateway-fleet';
import {everyone, FIRST_KEY} from './organisation-examples.js';

describe('a gateway that starts without the store', () => {
	it('refuses with 503 until it has a configuration, never with 401', async () => {
		const fleet = await startGatewayFleet();
		fleet.write('op/config', configuration({version: 2, organisations: everyone}));
		fleet.platform.faults.outage = true;
		const settings = await fleet.settings();
		const gateway = await startGatewayProcess({settings});
		const endpoint = endpointOf(settings.listen.callers);
		const statuses = new Set<number>();
		try {
			const collect = async (): Promise<void> => {
				const answers = await Promise.all([FIRST_KEY, 'secret-of-nobody', undefined].map(async key => callGateway({endpoint, key})));
				for (const {status, requestId, text} of answers) {
					statuses.add(status);
					assert.deepEqual(fleet.executionsOf(requestId), []);
					assert.ok(status === 0 || text.includes('configuration-missing'), text);
				}
			};

			await until(async () => {
				await collect();
				return statuses.has(503);
			});
			await collect();
			assert.ok([...statuses].every(status => status === 0 || status === 503), [...statuses].join(' '));
			fleet.platform.faults.outage = false;
			await until(async () => {
				const {status} = await callGateway({endpoint, key: FIRST_KEY});
				assert.ok([0, 200, 503].includes(status), String(status));
				return status === 200;
			});
		} finally {
			await gateway.stop();
			await fleet.stop();
		}
	});
});
