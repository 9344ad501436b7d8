import {Command, Option} from 'clipanion';
import {collectChunks} from '@pomelopick/config.publishing';
import {exitCodes} from '../context.js';
import {StoreCommand} from '../store-command.js';

const DEFAULT_KEPT = 500;
const MAX_KEPT = 1_000_000;
/** Time after which an unfinished publish is fenced off, so that it can no longer take effect, in milliseconds. */
const PUBLISH_TIMEOUT_MS = 3_600_000;

/** `pomelopick config collect`: deletes versions beyond those that are kept, and chunks that no kept version needs. */
export class ConfigCollectCommand extends StoreCommand {
	static override paths = [['config', 'collect']];
	static override usage = Command.Usage({
		category: 'Configuration',
		description: 'Delete old versions',
		details: `
			Deletes all but the newest versions, and the chunks that no kept version needs. Safe to run while others publish.
			An unfinished publish that began more than an hour ago is fenced off.
		`,
		examples: [['Keep the last 500', '$0 config collect --store 10.0.0.5:8500']],
	});

	keep = Option.String('--keep', String(DEFAULT_KEPT), {description: 'Earlier versions to keep'});

	async execute(): Promise<number> {
		return this.withCount({flag: '--keep', text: this.keep, max: MAX_KEPT}, async (store, keepVersions) => {
			const collected = await collectChunks({
				store, keepVersions, publishTimeoutMs: PUBLISH_TIMEOUT_MS, nowMs: Date.now(),
			}).run();
			return collected.caseOf({
				Left: error => this.failToRead(error),
				Right: outcome => {
					const {deletedVersions, deletedChunks, sparedChunks} = outcome;
					this.print({document: outcome, text: `deleted ${deletedVersions} versions and ${deletedChunks} chunks; spared ${sparedChunks} chunks that are needed again`});
					return exitCodes.success;
				},
			});
		});
	}
}
