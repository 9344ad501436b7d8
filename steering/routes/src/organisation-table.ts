/** Finds the organisation of a request by the key that its caller sends. */
import {hash} from 'node:crypto';
import type {Organisation, OrganisationName} from '@pomelopick/core.types';

/** Credentials of the scheme `Bearer`, whose name is not case-sensitive (RFC 9110, section 11.1). */
const CREDENTIALS_PATTERN = /^bearer +(?<key>\S+) *$/iu;

/** The organisations of one version of the route set. */
export class OrganisationTable {
	/** Organisations by the digests of their keys, so that the time of a look-up does not tell how much of a key is right. */
	readonly #byDigest = new Map<string, Organisation>();
	readonly #byName = new Map<OrganisationName, Organisation>();

	constructor(organisations: readonly Organisation[]) {
		for (const organisation of organisations) {
			this.#byName.set(organisation.name, organisation);
			for (const key of organisation.keys) {
				this.#byDigest.set(digestOf(key), organisation);
			}
		}
	}

	/** The organisation with a name; undefined when there is none. */
	findByName(name: OrganisationName): Organisation | undefined {
		return this.#byName.get(name);
	}

	/** The organisation that holds a key, by the digest of {@link readKeyDigest}; undefined when there is none. */
	findByDigest(digest: string): Organisation | undefined {
		return this.#byDigest.get(digest);
	}
}

/** Returns the digest of the key in the credentials of a request; undefined unless there is exactly one header with one key. */
export function readKeyDigest(credentials: readonly string[]): string | undefined {
	const key = credentials.length === 1 ? CREDENTIALS_PATTERN.exec(credentials[0]!)?.groups?.key : undefined;
	return key === undefined ? undefined : digestOf(key);
}

function digestOf(key: string): string {
	return hash('sha256', key, 'base64');
}
