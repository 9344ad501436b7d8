/** Settings of a gateway, read from a JSON file. Durations are in seconds in the file and in milliseconds in {@link GatewaySettings}. */
import {readFile} from 'node:fs/promises';
import {isIP} from 'node:net';
import {EitherAsync, Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import * as z from 'zod/mini';
import {describeValue, parseEndpoint as parseUsableEndpoint} from '@pomelopick/core.types';
import type {
	Endpoint, FailureDomainName, InstanceCapacity, InstanceId, RegionName,
} from '@pomelopick/core.types';
import {heldBytesOfMemory} from './held-bytes.js';
import type {SettingsError} from './settings.js';

const MILLISECONDS_PER_SECOND = 1000;
const MAX_PORT = 65_535;
/** Maximum number of requests in progress if the settings state none. */
const DEFAULT_REQUESTS = 1500;

const name = z.string().check(z.minLength(1), z.maxLength(128));
const seconds = z.number().check(z.nonnegative());
const amount = z.nullish(z.number().check(z.positive()));
const endpointText = z.string().check(z.refine(text => parseEndpoint(text) !== undefined, 'expected IP:PORT'));

const schema = z.object({
	instance: name,
	failureDomain: name,
	region: name,
	/** Region of each failure domain. */
	regions: z.record(z.string(), name),
	listen: z.object({
		callers: endpointText, readiness: endpointText, directory: endpointText, metrics: endpointText,
		/** Listener for other instances. */
		peers: endpointText,
	}),
	/** The store is connected to, so that its address needs more than a form. */
	store: endpointText.check(z.refine(text => parseUsableEndpoint(text) !== undefined, 'expected IP:PORT of one host, without a scope')),
	/** Maximum time from the request to stop until the process exits. */
	shutdownSeconds: seconds,
	/** Maximum time for which callers may cache a response of the directory. */
	directoryMostSeconds: seconds,
	/** Limits the retries at another backend server, for each service over the whole fleet. */
	retries: z.object({ratio: z.number().check(z.nonnegative()), allowance: z.number().check(z.nonnegative()), windowSeconds: z.number().check(z.positive())}),
	/** Capacity of the instance. A value that a deployment does not state may be null. */
	capacity: z.optional(z.object({
		cores: amount,
		/** Share of each of the cores that the instance gets; 1 by default. */
		cpuShare: amount,
		/** Rate of its network link in each direction, in megabits per second. */
		linkMbps: amount,
		memoryMb: amount,
	})),
	limits: z.optional(z.object({
		/** Maximum number of requests in progress. */
		requests: z.int().check(z.positive()),
		/** Maximum size of the bodies that are held for all requests together, in bytes; by default derived from the memory. */
		heldBytes: z.int().check(z.positive()),
	})),
});

/** Validated settings of a gateway. */
export interface GatewaySettings {
	readonly instance: InstanceId;
	readonly failureDomain: FailureDomainName;
	readonly region: RegionName;
	readonly regions: ReadonlyMap<FailureDomainName, RegionName>;
	readonly listen: {readonly callers: Endpoint; readonly readiness: Endpoint; readonly directory: Endpoint; readonly metrics: Endpoint; readonly peers: Endpoint};
	readonly store: Endpoint;
	readonly shutdownMs: number;
	readonly directoryMaxAgeMs: number;
	readonly retries: {readonly ratio: number; readonly allowance: number; readonly windowMs: number};
	/** Capacity of the instance; undefined: its cores or its link rate are not stated. */
	readonly capacity: InstanceCapacity | undefined;
	readonly limits: {readonly requests: number; readonly heldBytes: number};
}

/** Settings as written in the file, before defaults are applied. */
export type GatewaySettingsInput = z.input<typeof schema>;

/** Reads and validates a settings file. */
export function readGatewaySettings(path: string): EitherAsync<SettingsError, GatewaySettings> {
	return EitherAsync.fromPromise(async () => {
		try {
			return parseGatewaySettings(JSON.parse(await readFile(path, 'utf8')));
		} catch (error) {
			return Left({code: 'unreadable-settings', message: `${path}: ${(error as Error).message}`});
		}
	});
}

/** Validates parsed JSON as settings. Left lists each invalid field and the value found. */
export function parseGatewaySettings(input: unknown): Either<SettingsError, GatewaySettings> {
	const parsed = z.safeParse(schema, input);
	if (!parsed.success) {
		const message = parsed.error.issues
			.map(issue => `${issue.path.join('.') || '(root)'}: ${issue.message || issue.code} (found ${describeValue(valueAt({input, path: issue.path}))})`)
			.join('\n');
		return Left({code: 'bad-settings', message});
	}

	return Right(toSettings(parsed.data));
}

function toSettings({listen, store, retries, regions, capacity, limits, ...rest}: z.output<typeof schema>): GatewaySettings {
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
		store: parseUsableEndpoint(store)!,
		shutdownMs: rest.shutdownSeconds * MILLISECONDS_PER_SECOND,
		directoryMaxAgeMs: rest.directoryMostSeconds * MILLISECONDS_PER_SECOND,
		retries: {ratio: retries.ratio, allowance: retries.allowance, windowMs: retries.windowSeconds * MILLISECONDS_PER_SECOND},
		capacity: toCapacity(capacity),
		limits: limits ?? {requests: DEFAULT_REQUESTS, heldBytes: heldBytesOfMemory(capacity?.memoryMb ?? undefined)},
	};
}

function toCapacity({cores, cpuShare, linkMbps, memoryMb}: NonNullable<z.output<typeof schema>['capacity']> = {}): InstanceCapacity | undefined {
	return typeof cores === 'number' && typeof linkMbps === 'number'
		? {cores: cores * (cpuShare ?? 1), linkMbps, ...(typeof memoryMb === 'number' && {memoryMb})}
		: undefined;
}

function parseEndpoint(text: string): Endpoint | undefined {
	const colon = text.lastIndexOf(':');
	const address = text.slice(0, colon).replace(/^\[(.*)\]$/u, '$1');
	const portText = text.slice(colon + 1);
	const port = Number(portText);
	const isValid = isIP(address) !== 0 && /^\d+$/u.test(portText) && port <= MAX_PORT;
	return isValid ? {address, port} : undefined;
}

function valueAt({input, path}: {readonly input: unknown; readonly path: readonly PropertyKey[]}): unknown {
	let value = input;
	for (const key of path) {
		value = (value as Record<PropertyKey, unknown> | undefined)?.[key];
	}

	return value;
}
