/** Settings of an entry instance, read from a JSON file. */
import {readFile} from 'node:fs/promises';
import {
	EitherAsync, Left, Right,
} from 'purify-ts';
import type {Either} from 'purify-ts';
import {z} from 'zod';
import {describeValue} from '@pomelopick/core.types';
import type {FailureDomainName, InstanceId} from '@pomelopick/core.types';

const address = z.union([z.ipv4(), z.ipv6()]);
const endpoint = z.strictObject({address, port: z.int().min(0).max(65_535)});

const settingsSchema = z.strictObject({
	instance: z.string().min(1).max(63).transform(value => value as InstanceId),
	failureDomain: z.string().min(1).max(63).transform(value => value as FailureDomainName),
	listen: z.strictObject({callers: endpoint, peers: endpoint, operators: endpoint}),
	/** Endpoint at which other instances reach this one, if it differs from the listening endpoint, for example behind NAT. */
	advertise: z.strictObject({peers: endpoint}).optional(),
	/** Source address of connections to other instances, for machines with several addresses. */
	peerSourceAddress: address.optional(),
	/** Endpoint of the key-value service. */
	store: endpoint,
	/** Endpoint of the service that lists the instances. */
	instanceList: endpoint,
	/** Peer listeners of other instances, queried while the list of instances is unavailable. */
	seeds: z.array(endpoint).default([]),
	metrics: z.strictObject({host: address, port: z.int().min(1).max(65_535)}).optional(),
	limits: z.strictObject({
		/** Maximum number of calls in progress at this instance, including waiting calls. */
		calls: z.int().min(1).max(100_000).default(2000),
		/** Maximum size of a request body, in bytes. */
		bodyBytes: z.int().min(0).max(1_073_741_824).default(8_388_608),
		/** Maximum size of the buffered request bodies of all calls together, in bytes. */
		heldBytes: z.int().min(65_536).max(17_179_869_184).default(134_217_728),
	}).default({calls: 2000, bodyBytes: 8_388_608, heldBytes: 134_217_728}),
	/** Maximum time that a stopping process waits for calls in flight, in milliseconds. */
	shutdownTimeoutMs: z.int().min(0).max(600_000).default(30_000),
	/** Enabled namespaces of the `debug` library; the environment variable `DEBUG` takes precedence. */
	logNamespaces: z.string().default(''),
});

/** Returns the JSON Schema (2020-12) of a settings file, for editors. */
export function settingsJsonSchema(): Record<string, unknown> {
	return z.toJSONSchema(settingsSchema, {io: 'input'});
}

/** Validated settings of an entry instance. */
export type Settings = z.output<typeof settingsSchema>;

/** Settings as written in the file, before defaults are applied. */
export type SettingsInput = z.input<typeof settingsSchema>;

/** Reason why settings were rejected; the message lists each invalid field with the value expected and the value found. */
export interface SettingsError {
	readonly code: 'unreadable-settings' | 'bad-settings';
	readonly message: string;
}

/** Reads and validates a settings file. */
export function readSettings(path: string): EitherAsync<SettingsError, Settings> {
	return EitherAsync.fromPromise(async () => {
		try {
			return parseSettings(JSON.parse(await readFile(path, 'utf8')));
		} catch (error) {
			return Left({code: 'unreadable-settings', message: `${path}: ${(error as Error).message}`});
		}
	});
}

/** Validates parsed JSON as settings. */
export function parseSettings(input: unknown): Either<SettingsError, Settings> {
	const parsed = settingsSchema.safeParse(input);
	if (parsed.success) {
		return Right(parsed.data);
	}

	const message = parsed.error.issues
		.map(issue => `${issue.path.join('.') || '(root)'}: ${issue.message} (found ${describeValue(valueAt(input, issue.path))})`)
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
