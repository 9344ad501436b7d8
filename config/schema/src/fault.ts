/** What a check found wrong. */

/** One fault of a configuration set. */
export interface ConfigurationFault {
	readonly code: 'bad-shape' | 'unknown-name' | 'double-name' | 'impossible-cap' | 'overlapping-block' | 'loop' | 'bad-block' | 'same-region' | 'address-in-use' | 'mismatched-shift';
	/** Where, as a path such as `services[2].name`. */
	readonly path: string;
	/** The value found. */
	readonly found: string;
	/** What was expected. */
	readonly message: string;
}

/** Renders a fault as one line for a person. */
export function formatFault({code, path, found, message}: ConfigurationFault): string {
	return `${path}: ${code}: ${message} (found ${found})`;
}
