/** Records concurrent publishes and what instances had in force, and checks what must hold over the whole history. */

/** A publish that was reported as accepted. */
export interface AcceptedPublish {
	readonly version: number;
	readonly publishId: string;
	/** Time at which the publisher was told, in milliseconds. */
	readonly atMs: number;
}

/** What one process of an instance had in force at a time. */
export interface VersionSample {
	readonly instance: string;
	/** Tells processes of the same instance apart. */
	readonly processId: number;
	readonly atMs: number;
	/** 0 while there is none. */
	readonly version: number;
}

/** A version as the key-value service keeps it. */
export interface KeptVersion {
	readonly version: number;
	readonly publishId: string;
}

/** Options of {@link checkVersionHistory}. */
export interface CheckVersionHistoryOptions {
	readonly publishes: readonly AcceptedPublish[];
	readonly samples: readonly VersionSample[];
	readonly kept: readonly KeptVersion[];
	/** Processes that were ended on purpose; what had not arrived there by then is no violation. */
	readonly endedProcesses: ReadonlySet<number>;
	/** Time within which an accepted version must be in force everywhere, in milliseconds. */
	readonly boundMs: number;
}

/** Something that must not happen. */
export interface Violation {
	readonly kind: 'lost-publish' | 'doubled-version' | 'went-back' | 'unknown-version' | 'late';
	readonly detail: string;
}

/** Lists all violations. */
export function checkVersionHistory(options: CheckVersionHistoryOptions): readonly Violation[] {
	return [...checkPublishes(options), ...checkOrder(options), ...checkArrival(options)];
}

function checkPublishes({publishes, kept}: CheckVersionHistoryOptions): Violation[] {
	const violations: Violation[] = [];
	const keptIds = new Map(kept.map(({version, publishId}) => [version, publishId]));
	const seen = new Map<number, string>();
	for (const {version, publishId} of publishes) {
		if (keptIds.get(version) !== publishId) {
			violations.push({kind: 'lost-publish', detail: `version ${version} was accepted for publish ${publishId}, the service keeps ${keptIds.get(version) ?? 'none'}`});
		}

		if (seen.has(version) && seen.get(version) !== publishId) {
			violations.push({kind: 'doubled-version', detail: `version ${version} was accepted for publishes ${seen.get(version)} and ${publishId}`});
		}

		seen.set(version, publishId);
	}

	return violations;
}

function checkOrder({samples, kept}: CheckVersionHistoryOptions): Violation[] {
	const violations: Violation[] = [];
	const newestKept = Math.max(0, ...kept.map(({version}) => version));
	for (const [process, list] of groupByProcess(samples)) {
		let highest = 0;
		for (const {version, atMs} of list) {
			if (version < highest) {
				violations.push({kind: 'went-back', detail: `${process} went from version ${highest} to ${version} at ${Math.round(atMs)} ms`});
			}

			if (version > newestKept) {
				violations.push({kind: 'unknown-version', detail: `${process} had version ${version} at ${Math.round(atMs)} ms, the newest kept is ${newestKept}`});
			}

			highest = Math.max(highest, version);
		}
	}

	return violations;
}

function checkArrival({publishes, samples, endedProcesses, boundMs}: CheckVersionHistoryOptions): Violation[] {
	return listArrivals({publishes, samples, endedProcesses})
		.filter(({delayMs}) => delayMs > boundMs)
		.map(({version, process, delayMs}) => ({kind: 'late' as const, detail: `version ${version} was in force at ${process} after ${Math.round(delayMs)} ms`}));
}

/** When a version, or a higher one, was first seen in force at a process. */
export interface Arrival {
	readonly version: number;
	readonly process: string;
	/** Time since the publisher was told, in milliseconds; infinite when it was never seen. */
	readonly delayMs: number;
}

type ListArrivalsOptions = Pick<CheckVersionHistoryOptions, 'publishes' | 'samples' | 'endedProcesses'>;

/** Arrivals of all accepted versions at all processes that were watched from before the publish, unless they ended before its arrival. */
export function listArrivals({publishes, samples, endedProcesses}: ListArrivalsOptions): readonly Arrival[] {
	const arrivals: Arrival[] = [];
	for (const [process, list] of groupByProcess(samples)) {
		const first = list[0]!.atMs;
		const hasEnded = endedProcesses.has(list[0]!.processId);
		for (const {version, atMs} of publishes) {
			const arrived = list.find(sample => sample.version >= version);
			const isWatched = first <= atMs && (arrived !== undefined || !hasEnded);
			if (isWatched) {
				arrivals.push({version, process, delayMs: arrived ? Math.max(0, arrived.atMs - atMs) : Number.POSITIVE_INFINITY});
			}
		}
	}

	return arrivals;
}

function groupByProcess(samples: readonly VersionSample[]): Map<string, VersionSample[]> {
	const groups = new Map<string, VersionSample[]>();
	for (const sample of samples) {
		const key = `${sample.instance}/${sample.processId}`;
		const group = groups.get(key) ?? [];
		group.push(sample);
		groups.set(key, group);
	}

	return groups;
}
