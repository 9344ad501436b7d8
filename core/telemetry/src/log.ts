/** Logs by the `debug` library, under the `pomelopick:` prefix. */
import process from 'node:process';
import createDebug from 'debug';

/** Writes one line when the namespace is enabled. */
export type Log = (format: string, ...values: readonly unknown[]) => void;

/** Creates the log of one part of the system, switched on by `DEBUG=pomelopick:PART`. */
export function createLog(part: string): Log & {readonly enabled: boolean} {
	return createDebug(`pomelopick:${part}`);
}

/** Switches on the namespaces that the settings name, unless the `DEBUG` variable of the environment names some. */
export function useLogNamespaces(namespaces: string): void {
	if (process.env.DEBUG === undefined && namespaces !== '') {
		createDebug.enable(namespaces);
	}
}
