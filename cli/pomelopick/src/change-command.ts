/** Base of the commands that change the published set: they preview the change, check the headroom and publish. */
import {Option} from 'clipanion';
import {Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {PublishOutcome} from '@pomelopick/config.publishing';
import type {
	CodedError, Endpoint,
} from '@pomelopick/core.types';
import {PlatformStore} from '@pomelopick/platform.store';
import type {KeyValueStore} from '@pomelopick/platform.store';
import type {ChangeSet} from './change-set.js';
import {exitCodes, parseEndpoint, PomelopickCommand} from './context.js';
import {formatMissing} from './fleet-client.js';
import {readFleetUse} from './fleet-use.js';
import type {FleetUse} from './fleet-use.js';
import {formatPreview} from './format-preview.js';
import {previewChange} from './preview.js';
import type {Preview} from './preview.js';
import {prepareChange, publishChange} from './publish-change.js';
import type {PreparedChange} from './publish-change.js';
import {exitCodeOfStoreError} from './read-published.js';

/** Last part of the help text of each of these commands. */
export const CHANGE_HELP = [
	'Without --yes, only the preview is printed.',
	'With --instance, the headroom is checked against the calls that the fleet has in progress.',
	'A change without headroom is published only with --force.',
	'The publish is refused if another version was published in between.',
].join(' ');

interface RunChangeOptions {
	readonly store: KeyValueStore;
	readonly change: ChangeSet;
	readonly instance: Endpoint | undefined;
}

/** A command that changes the published set. */
export abstract class ChangeCommand extends PomelopickCommand {
	store = Option.String('--store', {required: true, description: 'Key-value service, as IP:PORT'});
	instance = Option.String('--instance', {description: 'Listener for operators of a live instance, as IP:PORT'});
	yes = Option.Boolean('--yes', false, {description: 'Publish; otherwise only preview'});
	force = Option.Boolean('--force', false, {description: 'Publish even without headroom'});

	/** Previews a change and publishes it if `--yes` is given. */
	protected async change(change: Either<CodedError, ChangeSet>): Promise<number> {
		const instance: Either<CodedError, Endpoint | undefined> = this.instance === undefined ? Right(undefined) : parseEndpoint({flag: '--instance', text: this.instance});
		const checked = parseEndpoint({flag: '--store', text: this.store})
			.chain(store => instance.chain(endpoint => change.map(changeSet => ({store, endpoint, changeSet}))));
		return checked.caseOf<Promise<number>>({
			Left: async error => this.fail({error, exitCode: exitCodes.usage}),
			Right: async ({store: endpoint, endpoint: instanceEndpoint, changeSet}) => {
				const store = new PlatformStore({endpoint});
				const exitCode = await this.#run({store, change: changeSet, instance: instanceEndpoint});
				await store.close();
				return exitCode;
			},
		});
	}

	async #run({store, change, instance}: RunChangeOptions): Promise<number> {
		this.progress('reading the published set');
		const read = await prepareChange({store, change}).run();
		if (read.isLeft()) {
			const error = read.extract();
			return this.fail({error, exitCode: exitCodeOf(error)});
		}

		const prepared = read.unsafeCoerce();
		const use = instance && await this.#readUse(instance);
		if (use?.isLeft()) {
			return this.fail({error: use.extract(), exitCode: exitCodes.unavailable});
		}

		const preview = previewChange({before: prepared.published.set, after: prepared.changed, use: use?.unsafeCoerce()});
		if (preview.shortages.length > 0 && this.yes && !this.force) {
			this.progress(formatPreview(preview));
			const message = `${preview.shortages.map(({detail}) => detail).join('; ')}; nothing was published, --force publishes all the same`;
			return this.fail({error: {code: 'no-headroom', message}, exitCode: exitCodes.refused});
		}

		return this.yes ? this.#publish({store, prepared, preview}) : this.#showPreview({prepared, preview});
	}

	async #readUse(instance: Endpoint): Promise<Either<CodedError, FleetUse>> {
		const read = await readFleetUse({
			instance, onProgress: line => {
				this.progress(line);
			},
		}).run();
		return read.map(({use, missing}) => {
			for (const line of formatMissing(missing)) {
				this.context.stderr.write(`${line}\n`);
			}

			return use;
		});
	}

	#showPreview({prepared, preview}: {readonly prepared: PreparedChange; readonly preview: Preview}): number {
		const {version} = prepared.published.root;
		const text = `${formatPreview(preview)}\npreview on top of version ${version}; nothing was published, --yes publishes`;
		this.print({document: {published: false, basedOn: version, preview}, text});
		return exitCodes.success;
	}

	async #publish({store, prepared, preview}: {readonly store: KeyValueStore; readonly prepared: PreparedChange; readonly preview: Preview}): Promise<number> {
		this.progress('publishing');
		const published = await publishChange({store, prepared}).run();
		return published.caseOf({
			Left: error => this.fail({error, exitCode: exitCodeOf(error)}),
			Right: outcome => this.#report({outcome, preview}),
		});
	}

	#report({outcome, preview}: {readonly outcome: PublishOutcome; readonly preview: Preview}): number {
		switch (outcome.kind) {
			case 'accepted': {
				this.print({document: {published: true, version: outcome.version, preview}, text: `${formatPreview(preview)}\naccepted as version ${outcome.version}`});
				return exitCodes.success;
			}

			case 'refused': {
				const {version, author} = outcome.winner;
				const message = `version ${version} by ${author} was published in between; nothing was changed, run the command again`;
				return this.fail({error: {code: 'refused', message}, exitCode: exitCodes.refused});
			}

			case 'undecided': {
				const message = `publish ${outcome.publishId}: ${outcome.detail}; "config history" names this publish if it took effect`;
				return this.fail({error: {code: 'undecided', message}, exitCode: exitCodes.undecided});
			}
		}
	}
}

function exitCodeOf(error: CodedError): number {
	return error.code === 'bad-flag' || error.code === 'unknown-name' ? exitCodes.usage : exitCodeOfStoreError(error);
}
