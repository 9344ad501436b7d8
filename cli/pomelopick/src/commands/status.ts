import {Command, Option} from 'clipanion';
import type {CodedError, Endpoint, StatusReport} from '@pomelopick/core.types';
import {exitCodes, parseEndpoint, PomelopickCommand} from '../context.js';
import {queryFleet} from '../fleet-client.js';
import type {FleetResponses} from '../fleet-client.js';
import {formatFleetStatus, summarizeFleet} from '../fleet-status.js';

/** `pomelopick status`: shows the fleet as its instances report it. */
export class StatusCommand extends PomelopickCommand {
	static override paths = [['status']];
	static override usage = Command.Usage({
		category: 'Fleet',
		description: 'Show the fleet',
		details: `
			Asks one instance for the list of instances, then all of them at the same time: versions, age of their view, load, memory,
			drains, shift caps and use, quarantined requests and the state of the store. Instances that do not respond are listed;
			the exit code is then 3.
		`,
		examples: [['Show the fleet', '$0 status --instance 10.0.1.7:8082']],
	});

	instance = Option.String('--instance', {required: true, description: 'Listener for operators of a live instance, as IP:PORT'});

	async execute(): Promise<number> {
		const endpoint = parseEndpoint({flag: '--instance', text: this.instance});
		return endpoint.caseOf<Promise<number>>({
			Left: async error => this.fail({error, exitCode: exitCodes.usage}),
			Right: async instance => this.#show(instance),
		});
	}

	async #show(instance: Endpoint): Promise<number> {
		const queried = await queryFleet<StatusReport>({
			instance, path: '/v1/status', onProgress: line => {
				this.progress(line);
			},
		}).run();
		return queried.caseOf({
			Left: (error: CodedError) => this.fail({error, exitCode: exitCodes.unavailable}),
			Right: (fleet: FleetResponses<StatusReport>) => {
				const summary = summarizeFleet(fleet);
				this.print({document: summary, text: formatFleetStatus(summary)});
				return summary.missing.length === 0 ? exitCodes.success : exitCodes.unavailable;
			},
		});
	}
}
