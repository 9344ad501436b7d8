/** Guards against requests that run as another organisation than that of their key, and against keys that are passed on. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	authenticate, findIdentityRefusal, restrictRoute, stateIdentity,
} from '@pomelopick/calls.relay';
import type {ForwardedRequest, Identity} from '@pomelopick/calls.relay';
import {endToEndRequestHeaders} from '@pomelopick/calls.forwarding';
import type {
	Organisation, OrganisationKey, OrganisationName, RegionName, Route, RouteName, ServiceName,
} from '@pomelopick/core.types';
import {OrganisationTable, readKeyDigest} from '@pomelopick/steering.routes';
import {createOrganisation, createRoute} from './records.js';

const names = {credentials: 'authorization', organisation: 'x-tenant'};

const first = createOrganisation('first');
const table = new OrganisationTable([first, createOrganisation('second'), createOrganisation('unreadable', {quota: 'invalid'})]);
const bearer = (name: string): readonly string[] => ['Authorization', `Bearer key-of-${name}`];

interface Case {
	readonly name: string;
	readonly rawHeaders?: readonly string[];
	readonly isPublic?: boolean;
	readonly organisations?: OrganisationTable | undefined;
	/** Organisation that another instance states; `none` if it forwards the request and states nothing. */
	readonly stated?: string;
	/** Name of the organisation, `anonymous`, or the reason of the refusal. */
	readonly expected: string;
}

const unauthenticated = 'callers are not authenticated';
const cases: readonly Case[] = [
	{name: 'a key', rawHeaders: bearer('first'), expected: 'first'},
	{name: 'a key in a header in capitals', rawHeaders: ['AUTHORIZATION', 'Bearer key-of-first'], expected: 'first'},
	{name: 'a key whose header is named in Connection', rawHeaders: ['connection', 'authorization', ...bearer('first')], expected: 'first'},
	{name: 'a key beside another organisation that the caller states', rawHeaders: ['x-tenant', 'second', ...bearer('first')], expected: 'first'},
	{name: 'no key', expected: 'unauthorised'},
	{name: 'no key beside an organisation that the caller states', rawHeaders: ['x-tenant', 'first'], expected: 'unauthorised'},
	{name: 'an organisation stated as another instance would', rawHeaders: ['x-forwarded-organisation', 'first'], expected: 'unauthorised'},
	{name: 'an unknown key', rawHeaders: bearer('nobody'), expected: 'unauthorised'},
	{name: 'a key twice', rawHeaders: [...bearer('first'), ...bearer('first')], expected: 'unauthorised'},
	{name: 'two keys in headers of different case', rawHeaders: [...bearer('first'), 'authorization', 'Bearer key-of-second'], expected: 'unauthorised'},
	{name: 'headers with the names of inherited properties', rawHeaders: ['__proto__', 'x', 'constructor', 'x', ...bearer('first')], expected: 'first'},
	{name: 'a key in another header', rawHeaders: ['proxy-authorization', 'Bearer key-of-first'], expected: 'unauthorised'},
	{name: 'a key of an organisation whose limit cannot be read', rawHeaders: bearer('unreadable'), expected: 'quota-unavailable'},
	{name: 'no key on a public route', isPublic: true, expected: 'anonymous'},
	{
		name: 'an unknown key on a public route', isPublic: true, rawHeaders: bearer('nobody'), expected: 'anonymous',
	},
	{
		name: 'two keys on a public route', isPublic: true, rawHeaders: [...bearer('first'), ...bearer('second')], expected: 'anonymous',
	},
	{
		name: 'a key on a public route', isPublic: true, rawHeaders: bearer('first'), expected: 'first',
	},
	{
		name: 'a key of an organisation whose limit cannot be read, on a public route', isPublic: true, rawHeaders: bearer('unreadable'), expected: 'quota-unavailable',
	},
	{
		name: 'a key when no organisation is configured', organisations: new OrganisationTable([]), rawHeaders: bearer('first'), expected: 'unauthorised',
	},
	{
		name: 'a key when there are no organisations', organisations: undefined, rawHeaders: bearer('first'), expected: unauthenticated,
	},
	{name: 'no key when there are no organisations', organisations: undefined, expected: unauthenticated},
	{name: 'an organisation that another instance states', stated: 'first', expected: 'first'},
	{
		name: 'an organisation that another instance states beside one of the caller', stated: 'first', rawHeaders: ['x-tenant', 'second'], expected: 'first',
	},
	{name: 'no organisation, as another instance states', stated: '', expected: 'anonymous'},
	{name: 'an unknown organisation that another instance states', stated: 'third', expected: 'configuration-missing'},
	{name: 'an organisation whose limit cannot be read, as another instance states', stated: 'unreadable', expected: 'quota-unavailable'},
	{
		name: 'an organisation that another instance states, which also passes credentials on', stated: 'second', rawHeaders: bearer('first'), expected: 'first',
	},
	{
		name: 'an organisation that another instance states, which also passes on unknown credentials', stated: 'second', rawHeaders: bearer('nobody'), expected: 'unauthorised',
	},
	{
		name: 'a key that an instance of an older build passes on', stated: 'none', rawHeaders: bearer('second'), expected: 'second',
	},
	{name: 'no key from an instance of an older build', stated: 'none', expected: 'unauthorised'},
	{
		name: 'an organisation that another instance states when there are no organisations', organisations: undefined, stated: 'first', expected: unauthenticated,
	},
];

function forwardedBy(stated: string): ForwardedRequest {
	return {
		service: 'ledger' as ServiceName, configurationVersion: 1, caller: '10.0.0.1', maxServers: 2, organisation: stated === 'none' ? undefined : stated as OrganisationName,
	};
}

describe('authenticate', () => {
	for (const {name, rawHeaders = [], isPublic = false, stated, expected, ...options} of cases) {
		it(`finds ${expected} for ${name}`, () => {
			const result = authenticate({
				request: {rawHeaders: [...rawHeaders]}, forwarded: stated === undefined ? undefined : forwardedBy(stated), route: createRoute({isPublic}), organisations: 'organisations' in options ? options.organisations : table, names,
			});
			const found = result.caseOf({
				Left({reason, execution, retryAfterMs}) {
					assert.equal(execution, 'not-run');
					assert.ok(reason !== 'quota-unavailable' || retryAfterMs === 5000, String(retryAfterMs));
					return reason;
				},
				Right: identity => identity ? (identity.organisation?.name ?? 'anonymous') as string : unauthenticated,
			});
			assert.equal(found, expected);
		});
	}
});

const keyDigest = readKeyDigest(['Bearer key-of-first']);
const holder: Identity = {organisation: first, keyDigest};
const stated: Identity = {organisation: first, keyDigest: undefined};
const anonymous: Identity = {organisation: undefined, keyDigest: undefined};
const revoked = new OrganisationTable([createOrganisation('first', {keys: ['other' as OrganisationKey]}), createOrganisation('second')]);
const moved = new OrganisationTable([createOrganisation('first', {keys: []}), createOrganisation('second', {keys: first.keys})]);
const renamed = new OrganisationTable([createOrganisation('renamed', {keys: first.keys})]);

const waits: ReadonlyArray<{name: string; identity: Identity | undefined; isPublic?: boolean; organisations: OrganisationTable | undefined; expected: string | undefined}> = [
	{
		name: 'a key that is valid', identity: holder, organisations: table, expected: undefined,
	},
	{
		name: 'a key that was revoked', identity: holder, organisations: revoked, expected: 'unauthorised',
	},
	{
		name: 'a key that moved to another organisation', identity: holder, organisations: moved, expected: 'unauthorised',
	},
	{
		name: 'a key whose organisation was renamed', identity: holder, organisations: renamed, expected: 'unauthorised',
	},
	{
		name: 'a key when every organisation was removed', identity: holder, organisations: new OrganisationTable([]), expected: 'unauthorised',
	},
	{
		name: 'a key when callers are no longer authenticated', identity: holder, organisations: undefined, expected: undefined,
	},
	{
		name: 'a key that was revoked, on a public route', identity: holder, isPublic: true, organisations: revoked, expected: 'configuration-missing',
	},
	{
		name: 'an organisation that another instance stated', identity: stated, organisations: revoked, expected: undefined,
	},
	{
		name: 'an organisation that another instance stated, which was removed', identity: stated, organisations: renamed, expected: 'unauthorised',
	},
	{
		name: 'no key on a public route', identity: anonymous, isPublic: true, organisations: table, expected: undefined,
	},
	{
		name: 'a request that was not authenticated, when callers are still not', identity: undefined, organisations: undefined, expected: undefined,
	},
	{
		name: 'a request that was not authenticated, when callers are now', identity: undefined, organisations: table, expected: 'configuration-missing',
	},
];

describe('findIdentityRefusal', () => {
	for (const {name, identity, isPublic = false, organisations, expected} of waits) {
		it(`finds ${expected ?? 'none'} for ${name}`, () => {
			assert.equal(findIdentityRefusal({identity, route: {isPublic}, organisations})?.reason, expected);
		});
	}
});

const regions = (...list: readonly string[]): readonly RegionName[] => list as RegionName[];
const restrictions: ReadonlyArray<{name: string; homes?: readonly string[]; organisation: Organisation | undefined; expected: {priority: number; homeRegions: readonly string[]} | undefined}> = [
	{
		name: 'no organisation', homes: ['north'], organisation: undefined, expected: {priority: 3, homeRegions: ['north']},
	},
	{
		name: 'neither homes nor a priority', homes: ['north'], organisation: first, expected: {priority: 3, homeRegions: ['north']},
	},
	{name: 'the most urgent priority', organisation: createOrganisation('a', {priority: 0}), expected: {priority: 0, homeRegions: []}},
	{name: 'a less urgent priority', organisation: createOrganisation('a', {priority: 9}), expected: {priority: 9, homeRegions: []}},
	{name: 'homes of its own', organisation: createOrganisation('a', {homeRegions: regions('south')}), expected: {priority: 3, homeRegions: ['south']}},
	{
		name: 'homes that the route shares in part', homes: ['north', 'west'], organisation: createOrganisation('a', {homeRegions: regions('west', 'south')}), expected: {priority: 3, homeRegions: ['west']},
	},
	{
		name: 'homes that the route does not share', homes: ['north'], organisation: createOrganisation('a', {homeRegions: regions('south')}), expected: undefined,
	},
];

describe('restrictRoute', () => {
	for (const {name, homes = [], organisation: restricting, expected} of restrictions) {
		it(`${expected ? 'restricts' : 'refuses'} a route by an organisation with ${name}`, () => {
			const result = restrictRoute({route: createRoute({homeRegions: regions(...homes)}), organisation: restricting});
			assert.deepEqual(result.map(({priority, homeRegions}) => ({priority, homeRegions})).toMaybe().extract(), expected);
			assert.equal(result.swap().map(({reason}) => reason).toMaybe().extract(), expected ? undefined : 'no-backend-server');
		});
	}
});

const statements: ReadonlyArray<{name: string; rawHeaders: readonly string[]; identity: Identity | undefined; expected: Record<string, string | string[]>}> = [
	{
		name: 'replaces the key by the organisation', rawHeaders: ['accept', 'a', ...bearer('first')], identity: holder, expected: {accept: 'a', 'x-tenant': 'first'},
	},
	{
		name: 'replaces what the caller states, in any case and repeated', rawHeaders: ['X-Tenant', 'second', 'x-TENANT', 'third', ...bearer('first')], identity: holder, expected: {'x-tenant': 'first'},
	},
	{
		name: 'states the organisation although Connection names its header', rawHeaders: ['connection', 'X-Tenant, Authorization', 'x-tenant', 'second', ...bearer('first')], identity: holder, expected: {'x-tenant': 'first'},
	},
	{
		name: 'removes what a caller without a valid key states', rawHeaders: ['x-tenant', 'first', ...bearer('nobody'), ...bearer('nobody')], identity: anonymous, expected: {},
	},
	{
		name: 'changes nothing where callers are not authenticated', rawHeaders: ['authorization', 'Basic a', 'x-tenant', 'first'], identity: undefined, expected: {authorization: 'Basic a', 'x-tenant': 'first'},
	},
];

describe('stateIdentity', () => {
	for (const {name, rawHeaders, identity, expected} of statements) {
		it(name, () => {
			const connection = rawHeaders[rawHeaders.indexOf('connection') + 1];
			const headers = endToEndRequestHeaders({headers: rawHeaders.includes('connection') ? {connection} : {}, rawHeaders: [...rawHeaders]});
			assert.deepEqual({...stateIdentity({headers, identity, names})}, expected);
		});
	}
});
