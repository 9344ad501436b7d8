import {Command, Option} from 'clipanion';
import type {Endpoint} from '@pomelopick/core.types';
import {exitCodes, parseEndpoint, PomelopickCommand} from '../context.js';
import {getJson} from '../operator-client.js';

interface LookupAnswer {
	readonly site?: string;
	readonly entries: ReadonlyArray<{readonly instance: string; readonly failureDomain: string; readonly address: string; readonly port: number}>;
	readonly configurationVersion: number;
	readonly viewAgeMs: number;
}

/** `pomelopick explain`: asks a live instance for its decision on one client and service. */
export class ExplainCommand extends PomelopickCommand {
	static override paths = [['explain']];
	static override usage = Command.Usage({
		description: 'Explain a decision',
		details: 'Asks a live instance which entry instances it names to a client of a service, and why.',
		examples: [['Explain a look-up', '$0 explain --client 127.0.1.9 --service corrections --entry 10.0.1.7:8080']],
	});

	client = Option.String('--client', {required: true, description: 'Address of the client'});
	service = Option.String('--service', {required: true, description: 'Name of the service'});
	entry = Option.String('--entry', {required: true, description: 'Listener for callers of a live instance, as IP:PORT'});

	async execute(): Promise<number> {
		const endpoint = parseEndpoint({flag: '--entry', text: this.entry});
		return endpoint.caseOf<Promise<number>>({
			Left: async error => this.fail({error, exitCode: exitCodes.usage}),
			Right: async entry => this.#explain(entry),
		});
	}

	async #explain(endpoint: Endpoint): Promise<number> {
		const path = `/v1/entries?service=${encodeURIComponent(this.service)}&client=${encodeURIComponent(this.client)}`;
		const answer = await getJson<LookupAnswer>({endpoint, path}).run();
		return answer.caseOf({
			Left: error => this.fail({error, exitCode: error.code === 'instance-unavailable' ? exitCodes.unavailable : exitCodes.refused}),
			Right: found => {
				const entries = found.entries.map(({instance, failureDomain, address, port}) => `  ${instance} in ${failureDomain} at ${address}:${port}`);
				this.print({document: found, text: [`site ${found.site ?? 'unknown'}, version ${found.configurationVersion}, view ${found.viewAgeMs} ms old`, ...entries].join('\n')});
				return exitCodes.success;
			},
		});
	}
}
