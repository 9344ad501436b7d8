/** What the quarantine shows to operators. */
import type {QuarantineReport} from '@pomelopick/core.types';
import type {SuspectTable} from '@pomelopick/calls.quarantine';

/** Options of {@link listQuarantines}. */
export interface ListQuarantinesOptions {
	readonly table: Pick<SuspectTable, 'listQuarantined' | 'listCrashes'>;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Convicted requests first, then suspects with the servers that went down under them. */
export function listQuarantines({table, nowMs}: ListQuarantinesOptions): QuarantineReport[] {
	const convictions = table.listQuarantined({nowMs});
	const convicted = new Set(convictions.map(({fingerprint}) => fingerprint));
	const servers = new Map<string, string[]>();
	for (const {fingerprints, server} of table.listCrashes()) {
		for (const fingerprint of fingerprints.filter(candidate => !convicted.has(candidate))) {
			servers.set(fingerprint, [...servers.get(fingerprint) ?? [], server]);
		}
	}

	return [
		...convictions.map(({fingerprint, atMs}): QuarantineReport => ({fingerprint, state: 'convicted', detail: `${Math.round((nowMs - atMs) / 1000)} s ago`})),
		...[...servers].map(([fingerprint, names]): QuarantineReport => ({fingerprint, state: 'suspect', detail: `went down: ${names.join(', ')}`})),
	];
}
