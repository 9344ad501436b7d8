/** Settings of one gateway, read from a JSON file. Times are written in seconds and kept in milliseconds. */
import {readFile} from 'node:fs/promises';
import {isIP} from 'node:net';
import {EitherAsync, Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import * as z from 'zod/mini';
import type {
	Endpoint, FailureDomainName, InstanceId, RegionName,
} from '@pomelopick/core.types';
import type {SettingsError} from './settings.js';

const MILLISECONDS_PER_SECOND = 1000;
const HIGHEST_PORT = 65_535;

const name = z.string().check(z.minLength(1), z.maxLength(128));
const seconds = z.number().check(z.nonnegative());
const endpointText = z.string().check(z.refine(text => parseEndpoint(text) !== undefined, 'expected IP:PORT'));

const schema = z.object({
	instance: name,
	failureDomain: name,
	region: name,
	/** Region of each failure domain. */
	regions: z.record(z.string(), name),
	listen: z.object({
		callers: endpointText, readiness: endpointText, directory: endpointText, metrics: endpointText,
		/** For other instances. */
		peers: endpointText,
	}),
	store: endpointText,
	/** Longest time from the order to stop until the process is ended. */
	shutdownSeconds: seconds,
	/** Longest time for which callers may keep an answer of the directory. */
	directoryMostSeconds: seconds,
	/** Sends to a further backend server that a service may get over the whole fleet. */
	retries: z.object({ratio: z.number().check(z.nonnegative()), allowance: z.number().check(z.nonnegative()), windowSeconds: z.number().check(z.positive())}),
	limits: z._default(z.object({
		/** Requests in progress. */
		requests: z.int().check(z.positive()),
		/** Bytes of request bodies that all of them hold together. */
		heldBytes: z.int().check(z.positive()),
	}), {requests: 1500, heldBytes: 67_108_864}),
});

/** Settings of a gateway. */
export interface GatewaySettings {
	readonly instance: InstanceId;
	readonly failureDomain: FailureDomainName;
	readonly region: RegionName;
	readonly regions: ReadonlyMap<FailureDomainName, RegionName>;
	readonly listen: {readonly callers: Endpoint; readonly readiness: Endpoint; readonly directory: Endpoint; readonly metrics: Endpoint; readonly peers: Endpoint};
	readonly store: Endpoint;
	readonly shutdownMs: number;
	readonly directoryMostMs: number;
	readonly retries: {readonly ratio: number; readonly allowance: number; readonly windowMs: number};
	readonly limits: {readonly requests: number; readonly heldBytes: number};
}

/** Settings as written in a file. */
export type GatewaySettingsInput = z.input<typeof schema>;

/** Reads and checks a settings file. */
export function readGatewaySettings(path: string): EitherAsync<SettingsError, GatewaySettings> {
	return EitherAsync.fromPromise(async () => {
		try {
			return parseGatewaySettings(JSON.parse(await readFile(path, 'utf8')));
		} catch (error) {
			return Left({code: 'unreadable-settings', message: `${path}: ${(error as Error).message}`});
		}
	});
}

/** Checks settings that were read already. Left names every field at fault and the value found. */
export function parseGatewaySettings(input: unknown): Either<SettingsError, GatewaySettings> {
	const parsed = z.safeParse(schema, input);
	if (!parsed.success) {
		const message = parsed.error.issues
			.map(issue => `${issue.path.join('.') || '(root)'}: ${issue.message || issue.code} (found ${JSON.stringify(valueAt({input, path: issue.path})) ?? 'nothing'})`)
			.join('\n');
		return Left({code: 'bad-settings', message});
	}

	return Right(toSettings(parsed.data));
}

function toSettings({listen, store, retries, regions, ...rest}: z.output<typeof schema>): GatewaySettings {
	return {
		instance: rest.instance as InstanceId,
		failureDomain: rest.failureDomain as FailureDomainName,
		region: rest.region as RegionName,
		regions: new Map(Object.entries(regions)) as unknown as ReadonlyMap<FailureDomainName, RegionName>,
		listen: {
			callers: parseEndpoint(listen.callers)!,
			readiness: parseEndpoint(listen.readiness)!,
			directory: parseEndpoint(listen.directory)!,
			metrics: parseEndpoint(listen.metrics)!,
			peers: parseEndpoint(listen.peers)!,
		},
		store: parseEndpoint(store)!,
		shutdownMs: rest.shutdownSeconds * MILLISECONDS_PER_SECOND,
		directoryMostMs: rest.directoryMostSeconds * MILLISECONDS_PER_SECOND,
		retries: {ratio: retries.ratio, allowance: retries.allowance, windowMs: retries.windowSeconds * MILLISECONDS_PER_SECOND},
		limits: rest.limits,
	};
}

function parseEndpoint(text: string): Endpoint | undefined {
	const colon = text.lastIndexOf(':');
	const address = text.slice(0, colon).replace(/^\[(.*)\]$/u, '$1');
	const portText = text.slice(colon + 1);
	const port = Number(portText);
	const isValid = isIP(address) !== 0 && /^\d+$/u.test(portText) && port <= HIGHEST_PORT;
	return isValid ? {address, port} : undefined;
}

function valueAt({input, path}: {readonly input: unknown; readonly path: readonly PropertyKey[]}): unknown {
	let value = input;
	for (const key of path) {
		value = (value as Record<PropertyKey, unknown> | undefined)?.[key];
	}

	return value;
}
