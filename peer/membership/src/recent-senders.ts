/** The instances that have recently sent heartbeats to this one. */
import type {InstanceId} from '@pomelopick/core.types';

/** Time for which an instance counts as a neighbour after its last heartbeat, in milliseconds. */
const SENDER_KEPT_MS = 5000;

/** Keeps the senders of heartbeats for a bounded time. */
export class RecentSenders {
	readonly #calledAtMs = new Map<InstanceId, number>();

	/** Records a heartbeat at a monotonic time, in milliseconds. */
	record({id, nowMs}: {readonly id: InstanceId; readonly nowMs: number}): void {
		this.#calledAtMs.set(id, nowMs);
	}

	/** Instances whose last heartbeat is recent, at a monotonic time in milliseconds. */
	list(nowMs: number): readonly InstanceId[] {
		for (const [id, calledAtMs] of this.#calledAtMs) {
			if (calledAtMs < nowMs - SENDER_KEPT_MS) {
				this.#calledAtMs.delete(id);
			}
		}

		return [...this.#calledAtMs.keys()];
	}
}
