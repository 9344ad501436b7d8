/** Decides for how long servers and instances are retained whose entries are missing from the store. */
import {isMassExpiry} from '@pomelopick/steering.servers';
import {INSTANCE_PREFIX} from './instance-record.js';

/** Monotonic times until which missing entries are retained, in milliseconds; undefined: they are removed at once. */
export interface Retention {
	readonly serversUntilMs: number | undefined;
	readonly instancesUntilMs: number | undefined;
}

/** Options of {@link findRetention}. */
export interface FindRetentionOptions {
	/** Monotonic time until which entries that expired while the store was unavailable may be written again, in milliseconds; undefined: the store was available. */
	readonly retainedUntilMs: number | undefined;
	/** Whether a known key still exists after the changes. */
	readonly existsAfter: (key: string) => boolean;
	/** Keys that the changes write. */
	readonly written: readonly string[];
	/** Keys of the known servers. */
	readonly serverKeys: readonly string[];
	/** Keys of the known instances. */
	readonly instanceKeys: readonly string[];
}

/** Returns until when missing servers and instances are retained. Each kind is retained only if so many of it are missing at once that their entries must have expired. */
export function findRetention({retainedUntilMs, existsAfter, written, serverKeys, instanceKeys}: FindRetentionOptions): Retention {
	const findRetainedUntil = (known: readonly string[], prefix: string): number | undefined => {
		const after = new Set([...known.filter(key => existsAfter(key)), ...written.filter(key => key.startsWith(prefix))]);
		return isMassExpiry({before: known.length, after: after.size}) ? retainedUntilMs : undefined;
	};

	const serverPrefix = serverKeys[0]?.slice(0, serverKeys[0].lastIndexOf('/') + 1) ?? '';
	return {serversUntilMs: findRetainedUntil(serverKeys, serverPrefix), instancesUntilMs: findRetainedUntil(instanceKeys, INSTANCE_PREFIX)};
}
