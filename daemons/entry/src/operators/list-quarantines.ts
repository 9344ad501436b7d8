/** Lists quarantined and suspect requests for operators. */
import type {QuarantineReport} from '@pomelopick/core.types';
import type {SuspectTable} from '@pomelopick/calls.quarantine';

/** Options of {@link listQuarantines}. */
export interface ListQuarantinesOptions {
	readonly table: Pick<SuspectTable, 'listQuarantined' | 'listCrashes'>;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Lists quarantined requests first (state `convicted` in the report), then suspect requests with the servers that crashed while running them. */
export function listQuarantines({table, nowMs}: ListQuarantinesOptions): QuarantineReport[] {
	const quarantined = table.listQuarantined({nowMs});
	const quarantinedFingerprints = new Set(quarantined.map(({fingerprint}) => fingerprint));
	const servers = new Map<string, string[]>();
	for (const {fingerprints, server} of table.listCrashes()) {
		for (const fingerprint of fingerprints.filter(candidate => !quarantinedFingerprints.has(candidate))) {
			servers.set(fingerprint, [...servers.get(fingerprint) ?? [], server]);
		}
	}

	return [
		...quarantined.map(({fingerprint, atMs}): QuarantineReport => ({fingerprint, state: 'convicted', detail: `${Math.round((nowMs - atMs) / 1000)} s ago`})),
		...[...servers].map(([fingerprint, names]): QuarantineReport => ({fingerprint, state: 'suspect', detail: `crashed: ${names.join(', ')}`})),
	];
}
