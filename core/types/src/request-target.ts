/** Request targets of HTTP requests that reach this process. */

const BASE = 'http://listener';

/** Parses a request target. One that cannot be resolved to a URL, such as `//`, counts as `/`, where no listener has anything. Never throws. */
export function parseRequestTarget(target: string | undefined): URL {
	return new URL(target !== undefined && URL.canParse(target, BASE) ? target : '/', BASE);
}
