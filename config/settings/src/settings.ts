/** Settings of one process, read from a JSON file. */
import {readFile} from 'node:fs/promises';
import {
	EitherAsync, Left, Right,
} from 'purify-ts';
import type {Either} from 'purify-ts';
import {z} from 'zod';
import type {FailureDomainName, InstanceId} from '@pomelopick/core.types';

const address = z.union([z.ipv4(), z.ipv6()]);
const endpoint = z.strictObject({address, port: z.int().min(0).max(65_535)});

const settingsSchema = z.strictObject({
	instance: z.string().min(1).max(63).transform(value => value as InstanceId),
	failureDomain: z.string().min(1).max(63).transform(value => value as FailureDomainName),
	listen: z.strictObject({callers: endpoint, peers: endpoint, operators: endpoint}),
	/** Where other instances reach this one, when that is not where it listens: behind a translation of addresses, for example. */
	advertise: z.strictObject({peers: endpoint}).optional(),
	/** Address from which connections to other instances leave, on a machine with several. */
	peerSourceAddress: address.optional(),
	/** Key-value service. */
	store: endpoint,
	/** List of instances. */
	instanceList: endpoint,
	/** Peer listeners of other instances, asked while the list of instances does not answer. */
	seeds: z.array(endpoint).default([]),
	metrics: z.strictObject({host: address, port: z.int().min(1).max(65_535)}).optional(),
	limits: z.strictObject({
		/** Calls in progress at this instance, waiting ones included. */
		calls: z.int().min(1).max(100_000).default(2000),
		/** Size of a request body, in bytes. */
		bodyBytes: z.int().min(0).max(1_073_741_824).default(8_388_608),
		/** Bytes of request bodies that all calls together hold. */
		heldBytes: z.int().min(65_536).max(17_179_869_184).default(134_217_728),
	}).default({calls: 2000, bodyBytes: 8_388_608, heldBytes: 134_217_728}),
	/** Longest time that a stopping process waits for calls in flight, in milliseconds. */
	shutdownTimeoutMs: z.int().min(0).max(600_000).default(30_000),
	/** Namespaces of the `debug` library that are written; the `DEBUG` variable of the environment goes before it. */
	logNamespaces: z.string().default(''),
});

/** JSON Schema (2020-12) of a settings file, for editors. */
export function settingsJsonSchema(): Record<string, unknown> {
	return z.toJSONSchema(settingsSchema, {io: 'input'});
}

/** Settings of one process. */
export type Settings = z.output<typeof settingsSchema>;

/** Settings as written in a file. */
export type SettingsInput = z.input<typeof settingsSchema>;

/** Why settings were refused: every field at fault, the value found and what was expected. */
export interface SettingsError {
	readonly code: 'unreadable-settings' | 'bad-settings';
	readonly message: string;
}

/** Reads and checks a settings file. */
export function readSettings(path: string): EitherAsync<SettingsError, Settings> {
	return EitherAsync.fromPromise(async () => {
		try {
			return parseSettings(JSON.parse(await readFile(path, 'utf8')));
		} catch (error) {
			return Left({code: 'unreadable-settings', message: `${path}: ${(error as Error).message}`});
		}
	});
}

/** Checks settings that were read already. */
export function parseSettings(input: unknown): Either<SettingsError, Settings> {
	const parsed = settingsSchema.safeParse(input);
	if (parsed.success) {
		return Right(parsed.data);
	}

	const message = parsed.error.issues
		.map(issue => `${issue.path.join('.') || '(root)'}: ${issue.message} (found ${JSON.stringify(valueAt(input, issue.path)) ?? 'nothing'})`)
		.join('\n');
	return Left({code: 'bad-settings', message});
}

function valueAt(input: unknown, path: readonly PropertyKey[]): unknown {
	let value = input;
	for (const key of path) {
		value = (value as Record<PropertyKey, unknown> | undefined)?.[key];
	}

	return value;
}
