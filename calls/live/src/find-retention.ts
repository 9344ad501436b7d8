/** For how long servers and instances are still believed whose entries are found missing. */
import {isMassExpiry} from '@pomelopick/steering.servers';
import {INSTANCE_PREFIX} from './instance-record.js';

/** Until when what goes now is held; undefined: it is gone. */
export interface Retention {
	readonly serversUntilMs: number | undefined;
	readonly instancesUntilMs: number | undefined;
}

/** Options of {@link findRetention}. */
export interface FindRetentionOptions {
	/** Monotonic time until which entries that lapsed while the store was away may come back, in milliseconds; undefined: it was not away. */
	readonly retainedUntilMs: number | undefined;
	/** Whether a known key is still there after the changes. */
	readonly existsAfter: (key: string) => boolean;
	/** Keys that the changes write. */
	readonly written: readonly string[];
	/** Keys of the entries that are known. */
	readonly serverKeys: readonly string[];
	readonly instanceKeys: readonly string[];
}

/** Until when servers and instances that go now are held, as far as so many of them go that they lapsed. */
export function findRetention({retainedUntilMs, existsAfter, written, serverKeys, instanceKeys}: FindRetentionOptions): Retention {
	const findRetainedUntil = (known: readonly string[], prefix: string): number | undefined => {
		const after = new Set([...known.filter(key => existsAfter(key)), ...written.filter(key => key.startsWith(prefix))]);
		return isMassExpiry({before: known.length, after: after.size}) ? retainedUntilMs : undefined;
	};

	const serverPrefix = serverKeys[0]?.slice(0, serverKeys[0].lastIndexOf('/') + 1) ?? '';
	return {serversUntilMs: findRetainedUntil(serverKeys, serverPrefix), instancesUntilMs: findRetainedUntil(instanceKeys, INSTANCE_PREFIX)};
}
