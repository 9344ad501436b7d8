import {Command, Option} from 'clipanion';
import {exitCodes, PomelopickCommand} from '../context.js';
import {findCause} from '../logs/find-cause.js';
import {formatAnalysis} from '../logs/format-analysis.js';
import {analyseRequest} from '../logs/request-analysis.js';
import {readLogs} from '../logs/read-logs.js';
import type {ReadLogs} from '../logs/read-logs.js';

/** `pomelopick explain request ID [FILE…]`: explains from logs why a request ended as it did. */
export class ExplainRequestCommand extends PomelopickCommand {
	static override paths = [['explain', 'request']];
	static override usage = Command.Usage({
		category: 'Logs',
		description: 'Explain a request from the logs of gateways',
		details: `
			Reads the logs of all gateways from files, or from standard input if no file is named, and explains the request with this id:
			its attempts, the results of other requests at its backend servers around that time, changes in the view of these servers,
			and the cause of its outcome. A prefix that a log collector puts before each line is skipped.
		`,
		examples: [['Explain a request', '$0 explain request 54163ffab8ff54a6 gateway-1.log gateway-2.log']],
	});

	requestId = Option.String({name: 'ID'});
	files = Option.Rest({name: 'FILE'});

	async execute(): Promise<number> {
		const read = await readLogs({files: this.files, input: this.context.stdin}).run();
		return read.caseOf({
			Left: error => this.fail({error, exitCode: exitCodes.usage}),
			Right: logs => this.#explain(logs),
		});
	}

	#explain({lines, skipped}: ReadLogs): number {
		const analyses = analyseRequest({lines, requestId: this.requestId});
		if (analyses.length === 0) {
			const message = `${this.requestId}: not among ${lines.length} lines (${skipped} others skipped); `
				+ 'it reached none of these instances, or its line was left out, see the lines request-lines-left-out';
			return this.fail({error: {code: 'unknown-request', message}, exitCode: exitCodes.refused});
		}

		for (const analysis of analyses) {
			const servers = analysis.servers.map(server => ({...server, failures: Object.fromEntries(server.failures)}));
			this.print({document: {...analysis, servers, cause: findCause(analysis)}, text: formatAnalysis(analysis)});
		}

		return exitCodes.success;
	}
}
