/** Debug logs by the `debug` package, with the namespace prefix `pomelopick:`. */
import process from 'node:process';
import createDebug from 'debug';

/** Writes one line when the namespace is enabled. */
export type Log = (format: string, ...values: readonly unknown[]) => void;

/** Creates the log of one part of the system, enabled by `DEBUG=pomelopick:PART`. */
export function createLog(part: string): Log & {readonly enabled: boolean} {
	return createDebug(`pomelopick:${part}`);
}

/** Enables the namespaces from the settings, unless the environment variable `DEBUG` is set. */
export function useLogNamespaces(namespaces: string): void {
	if (process.env.DEBUG === undefined && namespaces !== '') {
		createDebug.enable(namespaces);
	}
}
