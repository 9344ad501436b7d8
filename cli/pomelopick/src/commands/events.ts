import {setTimeout as sleep} from 'node:timers/promises';
import {Command, Option} from 'clipanion';
import type {RecordedEvent} from '@pomelopick/core.telemetry';
import type {Endpoint, StatusReport} from '@pomelopick/core.types';
import {
	exitCodes, parseCount, parseEndpoint, PomelopickCommand,
} from '../context.js';
import {queryMembers, formatMissing} from '../fleet-client.js';
import {EventMerger, formatEvent} from '../fleet-events.js';
import {getJson} from '../operator-client.js';

const DEFAULT_LAST = '100';
const DEFAULT_SECONDS = '60';
const POLL_MS = 1000;
const MAX_EVENTS = 100_000;
const MAX_SECONDS = 86_400;

/** `pomelopick events`: merges the events that all instances recorded, ordered by time. */
export class EventsCommand extends PomelopickCommand {
	static override paths = [['events']];
	static override usage = Command.Usage({
		category: 'Fleet',
		description: 'Show what the fleet decided, repaired and refused',
		details: `
			Merges the events that the instances keep in memory, ordered by the time of their clocks. With --follow, new events are printed
			as they occur, for --seconds. With --json, prints one document per line.
		`,
		examples: [['Show the last 20 events', '$0 events --instance 10.0.1.7:8082 --last 20'], ['Follow for five minutes', '$0 events --instance 10.0.1.7:8082 --follow --seconds 300']],
	});

	instance = Option.String('--instance', {required: true, description: 'Listener for operators of a live instance, as IP:PORT'});
	last = Option.String('--last', DEFAULT_LAST, {description: 'Newest events to show'});
	follow = Option.Boolean('--follow', false, {description: 'Continue with new events'});
	seconds = Option.String('--seconds', DEFAULT_SECONDS, {description: 'How long to follow'});

	async execute(): Promise<number> {
		const endpoint = parseEndpoint({flag: '--instance', text: this.instance});
		const last = parseCount({flag: '--last', text: this.last, max: MAX_EVENTS});
		const seconds = parseCount({flag: '--seconds', text: this.seconds, max: MAX_SECONDS});
		const checked = endpoint.chain(instance => last.chain(count => seconds.map(duration => ({instance, count, duration}))));
		return checked.caseOf<Promise<number>>({
			Left: async error => this.fail({error, exitCode: exitCodes.usage}),
			Right: async ({instance, count, duration}) => this.#show({instance, last: count, seconds: this.follow ? duration : 0}),
		});
	}

	async #show({instance, last, seconds}: {readonly instance: Endpoint; readonly last: number; readonly seconds: number}): Promise<number> {
		const merger = new EventMerger();
		const endsAtMs = Date.now() + (seconds * 1000);
		let exitCode: number = exitCodes.success;
		for (let isFirst = true; isFirst || Date.now() < endsAtMs; isFirst = false) {
			if (!isFirst) {
				await sleep(POLL_MS);
			}

			const found = await getJson<StatusReport>({endpoint: instance, path: '/v1/status'}).run();
			if (found.isLeft()) {
				const error = found.extract();
				return this.fail({error, exitCode: exitCodes.unavailable});
			}

			exitCode = await this.#showNew({merger, status: found.unsafeCoerce(), last: isFirst ? last : Number.POSITIVE_INFINITY});
		}

		return exitCode;
	}

	async #showNew({merger, status, last}: {readonly merger: EventMerger; readonly status: StatusReport; readonly last: number}): Promise<number> {
		const results = await Promise.all(status.instances.map(async member => queryMembers<readonly RecordedEvent[]>({
			members: [member], path: `/v1/events?after=${merger.lastSequenceOf(member.id)}`,
		})));
		for (const {id, response} of results.flatMap(({responses}) => responses)) {
			merger.add({instance: id, events: response});
		}

		for (const event of merger.flush().slice(-last)) {
			this.print({document: event, text: formatEvent(event)});
		}

		const missing = results.flatMap(result => result.missing);
		for (const line of formatMissing(missing)) {
			this.context.stderr.write(`${line}\n`);
		}

		return missing.length === 0 ? exitCodes.success : exitCodes.unavailable;
	}
}
