import {Command, Option} from 'clipanion';
import {exitCodes, parseCount, PomelopickCommand} from '../context.js';
import {formatLine} from '../logs/format-analysis.js';
import type {LogLine} from '../logs/log-line.js';
import {readLogs} from '../logs/read-logs.js';

const DEFAULT_LAST = '100';
const MAX_LAST = 2_000_000;

/** `pomelopick events read [FILE…]`: merges the logs of gateways, ordered by time, and filters them. */
export class EventsReadCommand extends PomelopickCommand {
	static override paths = [['events', 'read']];
	static override usage = Command.Usage({
		category: 'Logs',
		description: 'Merge and filter the logs of gateways',
		details: `
			Reads the logs of all gateways from files, or from standard input if no file is named, and prints the newest lines that pass
			all filters, ordered by time. With --json, prints one document per line.
		`,
		examples: [
			['Show the changes of a backend server and the requests sent to it', '$0 events read --subject i-7f3a91c2 gateway-*.log'],
			['Show the last refusals of one reason', '$0 events read --reason queue-timeout --last 20 gateway-*.log'],
		],
	});

	files = Option.Rest({name: 'FILE'});
	event = Option.String('--event', {description: 'Only lines of this event, such as request or server-changed'});
	subject = Option.String('--subject', {description: 'Only lines about this backend server, instance, failure domain or version'});
	instance = Option.String('--instance', {description: 'Only lines that this instance wrote'});
	reason = Option.String('--reason', {description: 'Only requests that were refused for this reason'});
	last = Option.String('--last', DEFAULT_LAST, {description: 'Newest lines to show'});

	async execute(): Promise<number> {
		const last = parseCount({flag: '--last', text: this.last, max: MAX_LAST});
		return last.caseOf<Promise<number>>({
			Left: async error => this.fail({error, exitCode: exitCodes.usage}),
			Right: async count => this.#show(count),
		});
	}

	async #show(last: number): Promise<number> {
		const read = await readLogs({files: this.files, input: this.context.stdin}).run();
		return read.caseOf({
			Left: error => this.fail({error, exitCode: exitCodes.usage}),
			Right: ({lines, skipped}) => {
				for (const line of lines.filter(candidate => this.#passes(candidate)).slice(-last)) {
					this.print({document: line, text: formatLine(line)});
				}

				if (skipped > 0) {
					this.progress(`${skipped} lines that are not from a gateway's log were skipped`);
				}

				return exitCodes.success;
			},
		});
	}

	#passes(line: LogLine): boolean {
		return (this.event === undefined || line.event === this.event)
			&& (this.subject === undefined || line.subject === this.subject || line.server === this.subject)
			&& (this.instance === undefined || line.instance === this.instance)
			&& (this.reason === undefined || line.reason === this.reason);
	}
}
