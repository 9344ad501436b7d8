import {isIP} from 'node:net';
import {Command, Option} from 'clipanion';
import type {Endpoint, Explanation} from '@pomelopick/core.types';
import {exitCodes, parseEndpoint, PomelopickCommand} from '../context.js';
import {formatExplanation} from '../format-explanation.js';
import {getJson} from '../operator-client.js';

/** `pomelopick explain`: asks a live instance how it decides for one client and service. */
export class ExplainCommand extends PomelopickCommand {
	static override paths = [['explain']];
	static override usage = Command.Usage({
		category: 'Fleet',
		description: 'Explain a decision',
		details: `
			Asks a live instance how it would respond to a client of a service: the block and site that it finds, the entry instances that it
			names or leaves out, and the backend servers that a call could be sent to, with the rule and the figures behind each.
		`,
		examples: [['Explain a client\'s calls', '$0 explain --client 127.0.1.9 --service corrections --instance 10.0.1.7:8082']],
	});

	client = Option.String('--client', {required: true, description: 'Address of the client'});
	service = Option.String('--service', {required: true, description: 'Name of the service'});
	instance = Option.String('--instance', {required: true, description: 'Listener for operators of a live instance, as IP:PORT'});

	async execute(): Promise<number> {
		if (isIP(this.client) === 0) {
			return this.fail({error: {code: 'bad-flag', message: `--client: expected an IP address, found ${JSON.stringify(this.client)}`}, exitCode: exitCodes.usage});
		}

		const endpoint = parseEndpoint({flag: '--instance', text: this.instance});
		return endpoint.caseOf<Promise<number>>({
			Left: async error => this.fail({error, exitCode: exitCodes.usage}),
			Right: async instance => this.#explain(instance),
		});
	}

	async #explain(endpoint: Endpoint): Promise<number> {
		const path = `/v1/explain?service=${encodeURIComponent(this.service)}&client=${encodeURIComponent(this.client)}`;
		const response = await getJson<Explanation>({endpoint, path}).run();
		return response.caseOf({
			Left: error => this.fail({error, exitCode: error.code === 'instance-unavailable' ? exitCodes.unavailable : exitCodes.refused}),
			Right: explanation => {
				this.print({document: explanation, text: formatExplanation(explanation)});
				return exitCodes.success;
			},
		});
	}
}
