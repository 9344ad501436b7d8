/**
 * Requests that one instance forwards to another because it cannot reach the backend servers itself.
 *
 * They arrive at the listener for instances under FORWARDED_PATH, followed by the path of the request. Headers state what
 * the forwarding instance has decided. The response is that of the backend server, with its name, or a refusal.
 */
import type {IncomingHttpHeaders} from 'node:http';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {describeValue, parseForeignJson, refusalReasons} from '@pomelopick/core.types';
import type {
	CodedError, OrganisationName, Refusal, ServiceName,
} from '@pomelopick/core.types';

/** Prefix of the paths of forwarded requests. */
export const FORWARDED_PATH = '/forwarded-requests';

/** Names of the headers, in lower case. */
export const forwardedHeaders = {
	/** Service that was chosen among the targets of the route. */
	service: 'x-forwarded-service',
	/** Version of the configuration that the forwarding instance applied. */
	version: 'x-forwarded-configuration',
	/** Address of the caller. */
	caller: 'x-forwarded-caller',
	/** Maximum number of backend servers to which the request may still be sent. */
	servers: 'x-forwarded-max-servers',
	/** Organisation of the caller; empty: the caller of a public route stated no valid key. Absent: callers are not authenticated, or the forwarding instance does not authenticate them. */
	organisation: 'x-forwarded-organisation',
	/** In responses of backend servers: the name of the server. */
	answeredBy: 'x-forwarded-answered-by',
	/** In refusals: the number of backend servers that the request was sent to. */
	refusedAfter: 'x-forwarded-refused-after',
} as const;

/** Removes the headers between instances, which are not meant for backend servers. */
export function omitForwarded(headers: Readonly<Record<string, string | string[]>>): Record<string, string | string[]> {
	const names: ReadonlySet<string> = new Set(Object.values(forwardedHeaders));
	return Object.fromEntries(Object.entries(headers).filter(([name]) => !names.has(name)));
}

const COUNT_PATTERN = /^\d{1,9}$/u;
const MAX_RETRY_AFTER_MS = 60_000;

/** What the forwarding instance states about a request. */
export interface ForwardedRequest {
	readonly service: ServiceName;
	readonly configurationVersion: number;
	readonly caller: string;
	readonly maxServers: number;
	/** Organisation of the caller; empty: the caller of a public route stated no valid key. Undefined: the forwarding instance states none. */
	readonly organisation: OrganisationName | '' | undefined;
}

/** Lists the headers that state it, as alternating names and values. */
export function encodeForwarded({service, configurationVersion, caller, maxServers, organisation}: ForwardedRequest): readonly string[] {
	const {service: serviceName, version, caller: callerName, servers, organisation: organisationName} = forwardedHeaders;
	const list = [serviceName, encodeURIComponent(service), version, String(configurationVersion), callerName, caller, servers, String(maxServers)];
	return organisation === undefined ? list : [...list, organisationName, encodeURIComponent(organisation)];
}

/** Decodes the headers of a forwarded request; Left names the wrong one. */
export function decodeForwarded(headers: IncomingHttpHeaders): Either<CodedError, ForwardedRequest> {
	const {service, version, caller, servers, organisation} = forwardedHeaders;
	const counts = [version, servers];
	const malformed = [service, caller].find(name => typeof headers[name] !== 'string') ?? counts.find(name => !COUNT_PATTERN.test(String(headers[name])));
	if (malformed !== undefined) {
		return Left({code: 'malformed-forwarded-request', message: `${malformed}: missing or malformed: ${describeValue(headers[malformed])}`});
	}

	const stated = headers[organisation];
	return decodeName({header: service, text: String(headers[service])}).chain(name => decodeOptionalName({header: organisation, text: stated}).map(organisationName => ({
		service: name as ServiceName,
		configurationVersion: Number(headers[version]),
		caller: String(headers[caller]),
		maxServers: Number(headers[servers]),
		organisation: organisationName as OrganisationName | undefined,
	})));
}

/** A refusal of the instance to which a request was forwarded. */
export interface PeerRefusal {
	readonly refusal: Refusal;
	/** Number of backend servers that the request was sent to. */
	readonly serversUsed: number;
}

/** Decodes the header and the problem document of a refusal. A refusal that cannot be read does not state that the request was not run. */
export function decodePeerRefusal({header, body}: {readonly header: string; readonly body: string}): PeerRefusal {
	return {
		serversUsed: COUNT_PATTERN.test(header) ? Number(header) : 1,
		refusal: parseForeignJson(body).chain(value => readRefusal(value)).orDefaultLazy(() => ({reason: 'backend-failed', execution: 'unknown', detail: 'the refusal of the instance cannot be read'})),
	};
}

function readRefusal(value: unknown): Either<CodedError, Refusal> {
	const {title, execution, detail, retryAfterMs} = (value ?? {}) as Readonly<Record<string, unknown>>;
	const reason = refusalReasons.find(known => known === title);
	const hasRetryAfter = typeof retryAfterMs === 'number' && retryAfterMs >= 0 && retryAfterMs <= MAX_RETRY_AFTER_MS;
	return reason && (execution === 'not-run' || execution === 'unknown') && typeof detail === 'string'
		? Right({
			reason, execution, detail, ...(hasRetryAfter && {retryAfterMs}),
		})
		: Left({code: 'malformed-refusal', message: describeValue(value)});
}

function decodeOptionalName({header, text}: {readonly header: string; readonly text: string | string[] | undefined}): Either<CodedError, string | undefined> {
	return text === undefined ? Right(undefined) : decodeName({header, text: String(text)});
}

function decodeName({header, text}: {readonly header: string; readonly text: string}): Either<CodedError, string> {
	try {
		return Right(decodeURIComponent(text));
	} catch {
		return Left({code: 'malformed-forwarded-request', message: `${header}: malformed: ${describeValue(text)}`});
	}
}
