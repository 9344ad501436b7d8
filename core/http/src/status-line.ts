/** Checks the status line of a response. */

const versions: ReadonlySet<string> = new Set(['1.0', '1.1']);
/** Status codes (RFC 9110, section 15). */
const MIN_STATUS = 100;
const MAX_STATUS = 599;

/** Options of {@link findStatusLineFault}. */
export interface FindStatusLineFaultOptions {
	readonly status: number;
	/** Version in the status line, such as `1.1`; undefined: unknown. */
	readonly version: string | undefined;
}

/** Describes what is wrong with the version or the status code of a response (RFC 9110, section 15); undefined if both are valid for HTTP/1. */
export function findStatusLineFault({status, version}: FindStatusLineFaultOptions): string | undefined {
	if (version !== undefined && !versions.has(version)) {
		return `expected HTTP/1.0 or HTTP/1.1, found HTTP/${version}`;
	}

	return status >= MIN_STATUS && status <= MAX_STATUS ? undefined : `expected a status from ${MIN_STATUS} to ${MAX_STATUS}, found ${status}`;
}
