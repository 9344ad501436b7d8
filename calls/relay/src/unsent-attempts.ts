/** Tracks attempts that may still wait for a connection to their backend server, so that they can be recalled before a byte is sent. */
import type {BackendServerName, RetryReason} from '@pomelopick/core.types';

/** Options of {@link UnsentAttempts.recall}. */
export interface RecallOptions {
	readonly server: BackendServerName;
	/** Reason for the retry at another server. */
	readonly reason: RetryReason;
	/** Explanation for the log line of the request. */
	readonly detail: string;
}

/** An attempt that may still be unsent. */
export interface RecallableAttempt {
	/** Aborts the attempt if nothing of it was sent. Returns whether it was aborted. */
	recall(options: Omit<RecallOptions, 'server'>): boolean;
}

/** Attempts in progress, by server. */
export class UnsentAttempts {
	readonly #attempts = new Map<BackendServerName, Set<RecallableAttempt>>();

	/** Adds an attempt that was started. */
	add({server, attempt}: {readonly server: BackendServerName; readonly attempt: RecallableAttempt}): void {
		const attempts = this.#attempts.get(server);
		if (attempts) {
			attempts.add(attempt);
		} else {
			this.#attempts.set(server, new Set([attempt]));
		}
	}

	/** Removes an attempt that has ended. */
	delete({server, attempt}: {readonly server: BackendServerName; readonly attempt: RecallableAttempt}): void {
		const attempts = this.#attempts.get(server);
		attempts?.delete(attempt);
		if (attempts?.size === 0) {
			this.#attempts.delete(server);
		}
	}

	/** Aborts the attempts at a server of which nothing was sent. Returns how many. */
	recall({server, ...options}: RecallOptions): number {
		const attempts = [...this.#attempts.get(server) ?? []];
		return attempts.filter(attempt => attempt.recall(options)).length;
	}
}
