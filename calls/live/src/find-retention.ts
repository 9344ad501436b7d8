/** Decides for how long servers and instances are retained whose entries are missing from the store. */
import {isMassExpiry} from '@pomelopick/steering.servers';
import {INSTANCE_PREFIX} from './instance-record.js';

/** Monotonic times until which missing entries are retained, in milliseconds; undefined: they are removed at once. */
export interface Retention {
	readonly serversUntilMs: number | undefined;
	readonly instancesUntilMs: number | undefined;
	readonly evacuationsUntilMs: number | undefined;
}

/** Options of {@link findRetention}. */
export interface FindRetentionOptions {
	/** Monotonic time until which entries that expired while the store was unavailable may be written again, in milliseconds; undefined: the store was available. */
	readonly retainedUntilMs: number | undefined;
	/** Whether the store has returned from an older copy, so that any entry that is missing may have been written after the copy. */
	readonly hasReturned: boolean;
	/** Whether a known key still exists after the changes. */
	readonly existsAfter: (key: string) => boolean;
	/** Keys that the changes write. */
	readonly written: readonly string[];
	/** Keys of the known servers. */
	readonly serverKeys: readonly string[];
	/** Keys of the known instances. */
	readonly instanceKeys: readonly string[];
}

/**
 * Returns until when missing servers, instances and evacuations are retained. After a return of the store from an older copy, all
 * are. Otherwise servers and instances are, each kind only if so many of it are missing at once that their entries must have expired.
 */
export function findRetention({retainedUntilMs, hasReturned, existsAfter, written, serverKeys, instanceKeys}: FindRetentionOptions): Retention {
	if (hasReturned) {
		return {serversUntilMs: retainedUntilMs, instancesUntilMs: retainedUntilMs, evacuationsUntilMs: retainedUntilMs};
	}

	const findRetainedUntil = (known: readonly string[], prefix: string): number | undefined => {
		const after = new Set([...known.filter(key => existsAfter(key)), ...written.filter(key => key.startsWith(prefix))]);
		return isMassExpiry({before: known.length, after: after.size}) ? retainedUntilMs : undefined;
	};

	const serverPrefix = serverKeys[0]?.slice(0, serverKeys[0].lastIndexOf('/') + 1) ?? '';
	return {
		serversUntilMs: findRetainedUntil(serverKeys, serverPrefix), instancesUntilMs: findRetainedUntil(instanceKeys, INSTANCE_PREFIX), evacuationsUntilMs: undefined,
	};
}
