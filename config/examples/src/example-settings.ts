/** Example settings of an entry instance, as a starting point for operators. */
import type {SettingsInput} from '@pomelopick/config.settings';
import type {Deployment} from './deployment.js';
import {listFailureDomains} from './deployment.js';

const CALLERS_PORT = 8080;
const PEERS_PORT = 8081;
const OPERATORS_PORT = 8082;
const STORE_PORT = 8500;
const METRICS_PORT = 8125;

/** Creates the settings of the first entry instance of a deployment. */
export function createExampleSettings(deployment: Deployment): SettingsInput {
	const address = '10.0.1.1';
	const platform = {address: '10.0.0.5', port: STORE_PORT};
	return {
		instance: 'entry-1',
		failureDomain: listFailureDomains(deployment)[0]!.name,
		listen: {
			callers: {address, port: CALLERS_PORT},
			peers: {address, port: PEERS_PORT},
			operators: {address, port: OPERATORS_PORT},
		},
		store: platform,
		instanceList: platform,
		metrics: {host: '10.0.0.6', port: METRICS_PORT},
		shutdownTimeoutMs: 30_000,
		logNamespaces: 'pomelopick:*',
	};
}
