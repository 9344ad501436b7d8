import {Command, Option} from 'clipanion';
import {listHistory} from '@pomelopick/config.publishing';
import type {ConfigurationRoot} from '@pomelopick/config.publishing';
import {exitCodes} from '../context.js';
import {StoreCommand} from '../store-command.js';

const DEFAULT_LIMIT = 20;
const MAX_LIMIT = 1000;

/** `pomelopick config history`: lists the newest versions. */
export class ConfigHistoryCommand extends StoreCommand {
	static override paths = [['config', 'history']];
	static override usage = Command.Usage({
		category: 'Configuration',
		description: 'List published versions',
		details: 'Lists the newest versions that are kept, newest first: number, time, author and, for a rollback, the version whose content it restores.',
		examples: [['List the last twenty', '$0 config history --store 10.0.0.5:8500']],
	});

	limit = Option.String('--limit', String(DEFAULT_LIMIT), {description: 'Maximum number of versions to list'});

	async execute(): Promise<number> {
		return this.withCount({flag: '--limit', text: this.limit, max: MAX_LIMIT}, async (store, limit) => {
			const history = await listHistory({store, limit}).run();
			return history.caseOf({
				Left: error => this.failToRead(error),
				Right: roots => {
					this.print({document: roots.map(({chunks: _, ...version}) => version), text: roots.map(root => describeVersion(root)).join('\n') || 'nothing was published yet'});
					return exitCodes.success;
				},
			});
		});
	}
}

function describeVersion({version, publishedAtMs, author, publishId, restores}: ConfigurationRoot): string {
	const content = restores === undefined ? '' : `  content of version ${restores}`;
	return `${String(version).padStart(6)}  ${new Date(publishedAtMs).toISOString()}  ${author}  ${publishId}${content}`;
}
