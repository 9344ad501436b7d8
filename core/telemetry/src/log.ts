/** Logs by the `debug` library, under the `pomelopick:` prefix. */
import createDebug from 'debug';

/** Writes one line when the namespace is enabled. */
export type Log = (format: string, ...values: readonly unknown[]) => void;

/** Creates the log of one part of the system, switched on by `DEBUG=pomelopick:PART`. */
export function createLog(part: string): Log & {readonly enabled: boolean} {
	return createDebug(`pomelopick:${part}`);
}
