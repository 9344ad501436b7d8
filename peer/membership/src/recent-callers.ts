/** The instances that have sent heartbeats to this one of late. */
import type {InstanceId} from '@pomelopick/core.types';

/** Time for which an instance that called counts as a neighbour. */
const CALLER_KEPT_MS = 5000;

/** Remembers callers for a bounded time. */
export class RecentCallers {
	readonly #calledAtMs = new Map<InstanceId, number>();

	/** Takes note of a call, at a monotonic time in milliseconds. */
	note({id, nowMs}: {readonly id: InstanceId; readonly nowMs: number}): void {
		this.#calledAtMs.set(id, nowMs);
	}

	/** Those that still count. */
	list(nowMs: number): readonly InstanceId[] {
		for (const [id, calledAtMs] of this.#calledAtMs) {
			if (calledAtMs < nowMs - CALLER_KEPT_MS) {
				this.#calledAtMs.delete(id);
			}
		}

		return [...this.#calledAtMs.keys()];
	}
}
