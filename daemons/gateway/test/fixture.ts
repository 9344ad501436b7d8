/** Starts a gateway in the process of the test. */
import {parseGatewaySettings} from '@pomelopick/config.settings';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';
import {startGateway} from '@pomelopick/daemons.gateway';
import type {Gateway} from '@pomelopick/daemons.gateway';
import {until} from '@pomelopick/testing.gateway-fleet';

/** A gateway and its log lines. */
export interface LoggedGateway extends Gateway {
	readonly lines: ReadonlyArray<Readonly<Record<string, unknown>>>;
}

/** Starts a gateway and waits until it is ready. */
export async function startReadyGateway(input: GatewaySettingsInput): Promise<LoggedGateway> {
	const lines: Array<Record<string, unknown>> = [];
	const settings = parseGatewaySettings(input).unsafeCoerce();
	const gateway = await startGateway({
		settings, output: {
			write(line) {
				lines.push(JSON.parse(line) as Record<string, unknown>);
				return true;
			}, flush() {/* Lines are written at once. */},
		},
	});
	await until(() => gateway.isReady() && lines.some(({event}) => event === 'server-changed'));
	return {...gateway, lines};
}
