/**
 * Remembers starts of backend servers whose entries were removed or replaced.
 *
 * The store may execute a write seconds after the call, so a heartbeat can arrive after the entry of its server was removed, or
 * after the server has started anew. It must not bring the ended start back. A start whose entry merely expired goes on with a
 * later heartbeat, which is accepted at once; a start that is not remembered is new, whatever its clock says.
 */
import type {BackendServerName, RegisteredServer} from '@pomelopick/core.types';

/** Maximum number of remembered starts; the oldest are forgotten first. */
const MAX_STARTS = 4096;

/** A heartbeat of one start of a server. */
export type ServerHeartbeat = Pick<RegisteredServer, 'name' | 'startedAtMs' | 'heartbeat'>;

/** How an entry ended: it was removed, it expired while the store was unavailable, or a later start of the server replaced it. */
export type EntryEnd = 'removed' | 'expired' | 'replaced';

/** The ended starts, each with the first heartbeat that shows that it goes on after all. */
export class EndedStarts {
	readonly #firstHeartbeats = new Map<string, number>();

	/** Records that the entry of a start has ended after a heartbeat. Starts of servers that do not state it are not remembered. */
	record({server: {name, startedAtMs, heartbeat}, end}: {readonly server: ServerHeartbeat; readonly end: EntryEnd}): void {
		if (startedAtMs === undefined) {
			return;
		}

		const key = keyOf({name, startedAtMs});
		// Starts are kept in the order in which they ended.
		this.#firstHeartbeats.delete(key);
		this.#firstHeartbeats.set(key, findFirstHeartbeat({heartbeat, end}));
		if (this.#firstHeartbeats.size > MAX_STARTS) {
			this.#firstHeartbeats.delete(this.#firstHeartbeats.keys().next().value!);
		}
	}

	/** Whether a heartbeat is of an ended start and does not show that it goes on. */
	includes({name, startedAtMs, heartbeat}: ServerHeartbeat): boolean {
		const firstHeartbeat = startedAtMs === undefined ? undefined : this.#firstHeartbeats.get(keyOf({name, startedAtMs}));
		return firstHeartbeat !== undefined && heartbeat < firstHeartbeat;
	}
}

function keyOf({name, startedAtMs}: {readonly name: BackendServerName; readonly startedAtMs: number}): string {
	return `${startedAtMs}/${name}`;
}

function findFirstHeartbeat({heartbeat, end}: {readonly heartbeat: number; readonly end: EntryEnd}): number {
	switch (end) {
		case 'removed': {
			return heartbeat + 1;
		}

		case 'expired': {
			// After an outage, a server may write its last entry again.
			return heartbeat;
		}

		case 'replaced': {
			return Number.POSITIVE_INFINITY;
		}
	}
}
