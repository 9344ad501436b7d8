/** Files that `npm run examples` writes: example sets, example settings and JSON Schemas for editors. */
import {configurationJsonSchema} from '@pomelopick/config.schema';
import {settingsJsonSchema} from '@pomelopick/config.settings';
import {hebrides, popescuVlad} from './deployment.js';
import {createExampleSet} from './example-set.js';
import {createExampleSettings} from './example-settings.js';

/** A file and its content. */
export interface ExampleFile {
	/** Path relative to the package directory. */
	readonly path: string;
	readonly content: string;
}

/** Lists the generated files that are committed. */
export function listExampleFiles(): readonly ExampleFile[] {
	return [
		{path: 'schemas/configuration-set.schema.json', content: formatJson(configurationJsonSchema())},
		{path: 'schemas/settings.schema.json', content: formatJson(settingsJsonSchema())},
		...[popescuVlad, hebrides].flatMap(deployment => [
			{path: `sets/${deployment.name}.json`, content: formatJson(createExampleSet(deployment))},
			{path: `settings/${deployment.name}.json`, content: formatJson(createExampleSettings(deployment))},
		]),
	];
}

/** Formats a document as JSON in the layout of the files. */
export function formatJson(document: unknown): string {
	return `${JSON.stringify(document, undefined, '\t')}\n`;
}
