/** Attempts that wait for a connection to their backend server, so that they can be taken back before a byte of them is sent. */
import type {BackendServerName, RetryReason} from '@pomelopick/core.types';

/** Options of {@link UnsentAttempts.recall}. */
export interface RecallOptions {
	readonly server: BackendServerName;
	/** Why the request is tried elsewhere. */
	readonly why: RetryReason;
	/** What the request's log line says. */
	readonly detail: string;
}

/** An attempt that may still be unsent. */
export interface RecallableAttempt {
	/** Ends the attempt if nothing of it was sent; answers whether it did. */
	recall(options: Omit<RecallOptions, 'server'>): boolean;
}

/** Attempts under way, by server. */
export class UnsentAttempts {
	readonly #attempts = new Map<BackendServerName, Set<RecallableAttempt>>();

	/** Takes an attempt in. */
	add({server, attempt}: {readonly server: BackendServerName; readonly attempt: RecallableAttempt}): void {
		const attempts = this.#attempts.get(server);
		if (attempts) {
			attempts.add(attempt);
		} else {
			this.#attempts.set(server, new Set([attempt]));
		}
	}

	/** Takes an attempt out that has ended. */
	delete({server, attempt}: {readonly server: BackendServerName; readonly attempt: RecallableAttempt}): void {
		const attempts = this.#attempts.get(server);
		attempts?.delete(attempt);
		if (attempts?.size === 0) {
			this.#attempts.delete(server);
		}
	}

	/** Ends the attempts at a server of which nothing was sent; answers how many. */
	recall({server, ...how}: RecallOptions): number {
		const attempts = [...this.#attempts.get(server) ?? []];
		return attempts.filter(attempt => attempt.recall(how)).length;
	}
}
