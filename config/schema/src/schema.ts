/** Schema of a configuration set, written with zod. The names of a validated set get their branded types here. */
import {z} from 'zod';
import type {ConfigurationSet} from '@pomelopick/core.types';

const NAME_PATTERN = /^[a-z\d][a-z\d.-]{0,62}$/u;
const MAX_SLOTS = 10_000;
const MAX_CONNECTIONS = 100_000;
const MAX_TIMEOUT_MS = 600_000;
const MAX_RAMP_MS = 86_400_000;
const MAX_QUEUED_CALLS = 10_000;

const name = z.string().regex(NAME_PATTERN, 'expected lower-case letters, digits, dots and dashes, at most 63').describe('Unique name among objects of the same kind');
const port = z.int().min(1).max(65_535);

const region = z.strictObject({name});
const failureDomain = z.strictObject({name, region: name});
const site = z.strictObject({name, failureDomain: name});
const link = z.strictObject({
	name,
	between: z.tuple([name, name]),
	megabitsPerSecond: z.number().positive().describe('Capacity each way, in megabits per second'),
	oneWayMs: z.number().min(0).describe('One-way delay, in milliseconds'),
});
const service = z.strictObject({
	name,
	priority: z.enum(['interactive', 'deferrable']).default('interactive'),
	defaultTimeoutMs: z.int().min(1).max(MAX_TIMEOUT_MS).default(10_000).describe('Deadline of a call that brings none, in milliseconds'),
	answerBytes: z.int().min(0).default(4096).describe('Expected size of an answer, in bytes'),
	queueCalls: z.int().min(0).max(MAX_QUEUED_CALLS).default(64).describe('Calls that may wait at one entry instance'),
});
const backendServer = z.strictObject({
	name,
	service: name,
	site: name,
	address: z.union([z.ipv4(), z.ipv6()]),
	port,
	slots: z.int().min(1).max(MAX_SLOTS).describe('Calls that it runs at the same time'),
	connections: z.int().min(1).max(MAX_CONNECTIONS).default(330).describe('Connections that it accepts in all'),
});
const shift = z.strictObject({
	name,
	service: name,
	from: name,
	to: name,
	capCallsPerSecond: z.number().positive().describe('Most calls per second that the whole fleet may send under this shift'),
	rampMs: z.int().min(0).max(MAX_RAMP_MS).default(0).describe('Time over which the cap is ramped up, in milliseconds'),
});
const spillRule = z.strictObject({
	name, service: name, from: name, to: z.array(name).min(1), shift: name.optional(),
});
const drain = z.strictObject({
	name,
	target: z.strictObject({kind: z.enum(['backendServer', 'site', 'failureDomain']), name}),
});
const clientBlock = z.strictObject({
	prefix: z.union([z.cidrv4(), z.cidrv6()]),
	site: name,
});

/** Schema of a whole configuration set. */
export const configurationSetSchema = z.strictObject({
	regions: z.array(region).min(1),
	failureDomains: z.array(failureDomain).min(1),
	sites: z.array(site).min(1),
	links: z.array(link).default([]),
	services: z.array(service).min(1),
	backendServers: z.array(backendServer).default([]),
	shifts: z.array(shift).default([]),
	spillRules: z.array(spillRule).default([]),
	drains: z.array(drain).default([]),
	clientBlocks: z.array(clientBlock).default([]),
});

/** Schemas of the objects, by the list that contains them. */
export const objectSchemas = {
	regions: region,
	failureDomains: failureDomain,
	sites: site,
	links: link,
	services: service,
	backendServers: backendServer,
	shifts: shift,
	spillRules: spillRule,
	drains: drain,
	clientBlocks: clientBlock,
} as const;

/** A configuration set as an operator writes it, before defaults are applied. */
export type ConfigurationSetInput = z.input<typeof configurationSetSchema>;

/** Returns the JSON Schema (2020-12) of a configuration set, for editors. */
export function configurationJsonSchema(): Record<string, unknown> {
	return z.toJSONSchema(configurationSetSchema, {io: 'input'});
}

/** Gives the names of a validated set their branded types. */
export function brandSet(checked: z.output<typeof configurationSetSchema>): ConfigurationSet {
	return checked as unknown as ConfigurationSet;
}
