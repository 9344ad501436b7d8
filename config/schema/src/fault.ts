/** Faults that the checks of a configuration set report. */

/** One fault of a configuration set. */
export interface ConfigurationFault {
	readonly code: 'bad-shape' | 'unknown-name' | 'double-name' | 'impossible-cap' | 'overlapping-block' | 'loop' | 'bad-block' | 'same-region' | 'address-in-use' | 'mismatched-shift';
	/** Location in the set, such as `services[2].name`. */
	readonly path: string;
	/** Value at the path, usually as JSON. */
	readonly found: string;
	/** Explanation: usually the value that was expected. */
	readonly message: string;
}

/** Formats a fault as one line of text. */
export function formatFault({code, path, found, message}: ConfigurationFault): string {
	return `${path}: ${code}: ${message} (found ${found})`;
}
