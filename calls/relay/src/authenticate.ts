/** Determines the organisation of a request: by its caller's key, or as another instance stated it that forwarded the request. */
import type {IncomingMessage} from 'node:http';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {
	Organisation, OrganisationName, RegionName, Refusal, Route,
} from '@pomelopick/core.types';
import {readKeyDigest} from '@pomelopick/steering.routes';
import type {OrganisationTable} from '@pomelopick/steering.routes';
import type {ForwardedRequest} from './forwarded-request.js';
import type {RelayHeaders} from './relay-format.js';

/** Times after which a caller should retry, in milliseconds. */
const UNKNOWN_ORGANISATION_RETRY_AFTER_MS = 300;
const NO_HOME_RETRY_AFTER_MS = 1000;
/** Only another configuration ends this state, and an operator has to publish it. */
const UNREADABLE_QUOTA_RETRY_AFTER_MS = 5000;
const CHANGED_ORGANISATIONS_RETRY_AFTER_MS = 50;

/** Refusal of a request whose key was revoked, or moved to another organisation, before an attempt. */
const KEY_REVOKED: Refusal = {reason: 'unauthorised', execution: 'not-run', detail: 'the key was revoked or moved to another organisation while the request waited'};
/** Refusal of a request that has to be admitted anew, as what its caller needs has changed before an attempt. */
const ORGANISATIONS_CHANGED: Refusal = {
	reason: 'configuration-missing', execution: 'not-run', detail: 'the organisations of the configuration changed while the request waited', retryAfterMs: CHANGED_ORGANISATIONS_RETRY_AFTER_MS,
};

/** Refusal of a request of an organisation whose limit cannot be read: how many it may send is unknown. */
export const UNREADABLE_QUOTA: Refusal = {
	reason: 'quota-unavailable', execution: 'not-run', detail: 'the limit of the organisation in the active configuration cannot be read', retryAfterMs: UNREADABLE_QUOTA_RETRY_AFTER_MS,
};

/** Who sent a request. */
export interface Identity {
	/** Organisation of the caller; undefined: a request of a public route without a valid key. */
	readonly organisation: Organisation | undefined;
	/** Digest of the caller's key; undefined without one, and for forwarded requests. */
	readonly keyDigest: string | undefined;
}

/** Options of {@link authenticate}. */
export interface AuthenticateOptions {
	readonly request: Pick<IncomingMessage, 'rawHeaders'>;
	/** What another instance stated that forwarded the request; undefined: the request is a caller's own. */
	readonly forwarded: ForwardedRequest | undefined;
	readonly route: Route;
	/** Undefined: the configuration has no organisations, so that callers are not authenticated. */
	readonly organisations: OrganisationTable | undefined;
	readonly names: Pick<RelayHeaders, 'credentials'>;
}

/** Determines who sent a request. Right(undefined): callers are not authenticated. Left: the refusal, which quotes no key. */
export function authenticate({request, forwarded, route, organisations, names}: AuthenticateOptions): Either<Refusal, Identity | undefined> {
	if (!organisations) {
		return Right(undefined);
	}

	const credentials = listValues({request, name: names.credentials});
	// A forwarding instance of a build that does not authenticate callers passes on their credentials and their own statement of an organisation: with credentials, that statement is not trusted.
	if (forwarded?.organisation !== undefined && credentials.length === 0) {
		return readStatedOrganisation({name: forwarded.organisation, organisations}).chain(identity => refuseUnreadableQuota(identity));
	}

	const keyDigest = readKeyDigest(credentials);
	const organisation = keyDigest === undefined ? undefined : organisations.findByDigest(keyDigest);
	const mayPass = organisation !== undefined || route.isPublic;
	return mayPass
		? refuseUnreadableQuota({organisation, keyDigest: organisation && keyDigest})
		: Left({reason: 'unauthorised', execution: 'not-run', detail: 'expected one key of an organisation in the active configuration'});
}

function readStatedOrganisation({name, organisations}: {readonly name: OrganisationName | ''; readonly organisations: OrganisationTable}): Either<Refusal, Identity> {
	if (name === '') {
		return Right({organisation: undefined, keyDigest: undefined});
	}

	const organisation = organisations.findByName(name);
	return organisation
		? Right({organisation, keyDigest: undefined})
		: Left({
			reason: 'configuration-missing', execution: 'not-run', detail: 'the organisation that another instance stated is not in the active configuration', retryAfterMs: UNKNOWN_ORGANISATION_RETRY_AFTER_MS,
		});
}

/**
 * Lists the values of a header as received. The runtime's parsed headers keep only the first of repeated credentials, and its
 * lists of repeated headers throw an error for names that an object inherits before Node.js 20.20.2.
 */
function listValues({request: {rawHeaders}, name}: Pick<AuthenticateOptions, 'request'> & {readonly name: string}): readonly string[] {
	const values: string[] = [];
	for (let position = 0; position < rawHeaders.length; position += 2) {
		const found = rawHeaders[position]!;
		if (found.length === name.length && found.toLowerCase() === name) {
			values.push(rawHeaders[position + 1]!);
		}
	}

	return values;
}

function refuseUnreadableQuota(identity: Identity): Either<Refusal, Identity> {
	return identity.organisation?.quota === 'invalid' ? Left(UNREADABLE_QUOTA) : Right(identity);
}

/** Options of {@link findIdentityRefusal}. */
export interface FindIdentityRefusalOptions {
	/** Who sent the request, as determined on its arrival. */
	readonly identity: Identity | undefined;
	readonly route: Pick<Route, 'isPublic'>;
	/** Organisations of the active configuration. */
	readonly organisations: OrganisationTable | undefined;
}

/** Why a request that was admitted earlier may no longer be sent, as the organisations have changed; undefined while it may. */
export function findIdentityRefusal({identity, route, organisations}: FindIdentityRefusalOptions): Refusal | undefined {
	if (!organisations) {
		return undefined;
	}

	if (!identity) {
		// The headers of the request may hold a key, which no server may receive any more.
		return ORGANISATIONS_CHANGED;
	}

	const {organisation, keyDigest} = identity;
	if (!organisation) {
		return undefined;
	}

	const current = keyDigest === undefined ? organisations.findByName(organisation.name) : organisations.findByDigest(keyDigest);
	if (current?.name === organisation.name) {
		return undefined;
	}

	// On a public route the caller needs no key: it is served when it sends the request again.
	return route.isPublic ? ORGANISATIONS_CHANGED : KEY_REVOKED;
}

/** Applies the priority and the home regions of an organisation to a route; where both have homes, both bind. Left: no region is a home of both. */
export function restrictRoute({route, organisation}: {readonly route: Route; readonly organisation: Organisation | undefined}): Either<Refusal, Route> {
	if (!organisation) {
		return Right(route);
	}

	const priority = organisation.priority ?? route.priority;
	const homeRegions = intersectHomes(route.homeRegions, organisation.homeRegions);
	if (!homeRegions) {
		return Left({
			reason: 'no-backend-server', execution: 'not-run', detail: 'no region is a home of the route and of the organisation', retryAfterMs: NO_HOME_RETRY_AFTER_MS,
		});
	}

	return Right(priority === route.priority && homeRegions === route.homeRegions ? route : {...route, priority, homeRegions});
}

/** The regions that both lists allow, of which an empty one allows all; undefined when there is none. */
function intersectHomes(left: readonly RegionName[], right: readonly RegionName[]): readonly RegionName[] | undefined {
	if (left.length === 0 || right.length === 0) {
		return right.length === 0 ? left : right;
	}

	const common = left.filter(region => right.includes(region));
	return common.length > 0 ? common : undefined;
}

/** Options of {@link stateIdentity}. */
export interface StateIdentityOptions {
	/** End-to-end headers of a request. */
	readonly headers: Record<string, string | string[]>;
	readonly identity: Identity | undefined;
	readonly names: Pick<RelayHeaders, 'credentials' | 'organisation'>;
}

/** Replaces the caller's credentials, and whatever it stated as its organisation, by the organisation that was determined. */
export function stateIdentity({headers, identity, names}: StateIdentityOptions): Record<string, string | string[]> {
	if (!identity) {
		return headers;
	}

	// Each of these names is in lower case, as the names of the headers are.
	Reflect.deleteProperty(headers, names.credentials);
	Reflect.deleteProperty(headers, names.organisation);
	if (identity.organisation) {
		headers[names.organisation] = identity.organisation.name;
	}

	return headers;
}
