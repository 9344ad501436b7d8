/**
 * Asks a backend server for its state on a connection before a request is sent on it.
 *
 * While the store is unavailable, a server that restarted is only noticed by the instances whose requests failed, and by
 * none if it was away for a moment. An instance that opens a connection then must not assume that the process at its
 * other end is the one that it knew.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {CheckOnConnectionOptions, Connection, ProbeResponseHead} from '@pomelopick/calls.connections';
import type {CallCounters} from '@pomelopick/core.telemetry';
import {mustCheckConnection} from '@pomelopick/steering.servers';
import type {KnownServer, ViewConfirmation} from '@pomelopick/steering.servers';

/** Time in which a server must answer, in milliseconds: health checks of a busy server take up to a second. */
const TIMEOUT_MS = 1200;

/** Options of {@link ConnectionCheck}. */
export interface ConnectionCheckOptions {
	/** How well the store confirms the view. */
	readonly view: () => ViewConfirmation;
	/** Whether a server warms up or must be assumed to; its requests take tokens then, whatever the check would find. */
	readonly isCold: (known: KnownServer) => boolean;
	/** Whether the servers of a service have a rate for the time in which they warm up. */
	readonly hasWarmupRate: (known: KnownServer) => boolean;
	/** Sends a health request on a connection; never rejects. */
	readonly ask: (options: CheckOnConnectionOptions) => Promise<boolean>;
	/** Applies the answer; recalls the attempts at the server if it turns out to be cold. */
	readonly onAnswer: (options: {readonly known: KnownServer; readonly head: ProbeResponseHead; readonly sentAtMs: number}) => void;
	/** Called when a server did not answer on a connection that was open, as it may have restarted. */
	readonly onNoAnswer: (known: KnownServer) => void;
	readonly counters: CallCounters;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Options of {@link ConnectionCheck.check}. */
export interface CheckConnectionOptions {
	readonly known: KnownServer;
	/** The connection, which is open. */
	readonly connection: Connection;
	/** Whether its socket has carried nothing yet. */
	readonly isNew: boolean;
}

/** Checks connections while the store does not tell of restarts. */
export class ConnectionCheck {
	readonly #options: ConnectionCheckOptions;

	constructor(options: ConnectionCheckOptions) {
		this.#options = options;
	}

	/** Checks the server on a connection; undefined: it need not be checked. Left: it did not answer, so that it may have restarted. Never rejects. */
	check(options: CheckConnectionOptions): Promise<Either<Error, void>> | undefined {
		return this.#mustCheck(options) ? this.#ask(options) : undefined;
	}

	#mustCheck({known, connection: {openedAtMs, isChecked}, isNew}: CheckConnectionOptions): boolean {
		const {view, isCold, hasWarmupRate, now} = this.#options;
		const nowMs = now();
		return (isNew || !isChecked) && mustCheckConnection({openedAtMs: isNew ? nowMs : openedAtMs, view: view(), nowMs}) && hasWarmupRate(known) && !isCold(known);
	}

	async #ask({known, connection, isNew}: CheckConnectionOptions): Promise<Either<Error, void>> {
		const {ask, onAnswer, onNoAnswer, counters, now} = this.#options;
		const sentAtMs = now();
		counters.add('contact.connection-checked');
		let hasHead = false;
		const hasAnswered = await ask({
			connection, timeoutMs: TIMEOUT_MS, onHead(head) {
				hasHead = true;
				onAnswer({known, head, sentAtMs});
			},
		});
		if (hasAnswered) {
			return Right(undefined);
		}

		// A server that turns out to be cold has answered: its attempt was recalled, which resets the connection.
		if (!hasHead && (isNew || connection.isOpen)) {
			onNoAnswer(known);
		}

		return Left(new Error('the server did not answer a health check on this connection'));
	}
}
