/** Example configuration sets, as a starting point for operators. */
import type {ConfigurationSetInput} from '@pomelopick/config.schema';
import type {Endpoint} from '@pomelopick/core.types';
import {listFailureDomains, planServers, toConfigurationSet} from './deployment.js';
import type {Deployment} from './deployment.js';

const SERVER_PORT = 8080;
const FIRST_SERVER_HOST = 10;
const SHIFT_CAP_CALLS_PER_SECOND = 200;
const SHIFT_RAMP_MS = 30_000;

/** Creates the configuration set of a deployment, with one shift from its first region to its second. */
export function createExampleSet(deployment: Deployment): ConfigurationSetInput {
	const [from, to] = deployment.regions as [string, string];
	const service = deployment.services[0]!.name;
	const shift = `${service}-to-${to}`;
	const set = toConfigurationSet({deployment, endpoints: createEndpoints(deployment)});
	return {
		...set,
		shifts: [{
			name: shift, service, from, to, capCallsPerSecond: SHIFT_CAP_CALLS_PER_SECOND, rampMs: SHIFT_RAMP_MS,
		}],
		drains: [],
		clientBlocks: listFailureDomains(deployment).flatMap(({name}, index) => [
			{prefix: `10.${index + 1}.0.0/16`, site: `${name}-site`},
			{prefix: `2001:db8:${index + 1}::/48`, site: `${name}-site`},
		]),
	};
}

/** Assigns an endpoint to each backend server; the addresses of a failure domain are in one subnet. */
function createEndpoints(deployment: Deployment): ReadonlyMap<string, Endpoint> {
	const sites = listFailureDomains(deployment).map(({name}) => `${name}-site`);
	return new Map(planServers(deployment).map(({name, site}, index) => [
		name, {address: `10.0.${sites.indexOf(site) + 1}.${FIRST_SERVER_HOST + index}`, port: SERVER_PORT},
	]));
}
