/** Interface to the decoding of the keys and values that the platform writes to the store. */
import type {Either} from 'purify-ts';
import type {
	BackendServerName, CodedError, FailureDomainName, RegisteredServer, RouteSet,
} from '@pomelopick/core.types';

/** What a key in the store refers to. */
export type Subject =
	| {readonly kind: 'route-set'}
	| {readonly kind: 'evacuation'; readonly failureDomain: FailureDomainName}
	| {readonly kind: 'server'; readonly server: BackendServerName};

/** Decodes the platform's keys and values. */
export interface PlatformFormat {
	/** Returns what a key refers to; undefined for an unknown key. */
	readonly readSubject: (key: string) => Subject | undefined;
	readonly decodeRouteSet: (bytes: Uint8Array) => Either<CodedError, RouteSet>;
	readonly decodeServer: (options: {readonly name: BackendServerName; readonly bytes: Uint8Array}) => Either<CodedError, RegisteredServer>;
}
